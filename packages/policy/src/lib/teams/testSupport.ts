/**
 * A shard with fake VMs and up to two owners, on which random events are played.
 */
import { RunEnd, type AcceptedJob, type Capacity, type EndEntry, type TeamRules } from '@vanillathread/model'
import { JobScheduler } from '../jobs/JobScheduler.js'
import type { JobProgress } from '../jobs/JobProgress.js'
import { OrderKind, StartOutcome, type Order } from '../jobs/orders.js'
import { createTestJob, createTestStep, createVmEntry, STOP_MS } from '../jobs/testSupport.js'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import { RandomSource } from '../random/RandomSource.js'

const LEASE_MS = 5_000
const PREVIOUS_OWNER_MS = 2_000

export function createTeam (name: string, weight: number, cap: Partial<Capacity> = {}): TeamRules {
  return { name, keys: [], weight, cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0, ...cap } }
}

interface FakeVm {
  readonly id: string
  bornMs: number
  fencingToken: number
  silentUntilMs: number
  leaseUntilMs: number
  readonly runs: Map<string, TrackedRun>
  ends: EndEntry[]
  nextEnd: number
}

interface Owner {
  readonly scheduler: JobScheduler
  readonly fencingToken: number
  /** Time until which the owner works although another one has taken the shard over. */
  untilMs: number
  teams?: readonly TeamRules[]
}

/** Plays random events. The caller checks the state after each one. */
export class TeamWorld {
  nowMs = 1_000
  readonly vms: FakeVm[] = []
  owners: Owner[] = []
  teams: TeamRules[] = []
  /** Configurations so far, with the times from which they were in force. */
  private readonly configurations: Array<{ readonly atMs: number, readonly teams: readonly TeamRules[] }> = []
  /** Largest excess of a team over its cap, after a start that raised it, in thousandths of a core, less one task. */
  worstExcess = -Infinity
  starts = 0
  private readonly jobs: AcceptedJob[] = []
  private readonly progress = new Map<string, JobProgress>()
  private readonly lateStarts: Array<() => void> = []
  private readonly random: RandomSource

  constructor (seed: number) {
    this.random = RandomSource.create(seed)
    for (let index = 0; index < 6; index++) this.vms.push({ id: `vm-${index}`, bornMs: 1, fencingToken: 0, silentUntilMs: 0, leaseUntilMs: 0, runs: new Map(), ends: [], nextEnd: 1 })
    this.configure()
    this.takeOver()
  }

  /** Plays one event and what follows from it. */
  step (): void {
    this.nowMs += 1 + this.random.nextBelow(120)
    const vm = this.vms[this.random.nextBelow(this.vms.length)]
    const event = this.random.nextBelow(100)
    if (event < 30) this.addJob()
    else if (event < 55 && vm !== undefined) this.endRun(vm)
    else if (event < 57 && vm !== undefined) this.restart(vm)
    else if (event < 59 && vm !== undefined) vm.silentUntilMs = this.nowMs + this.random.nextBelow(9_000)
    else if (event < 62) this.configure()
    else if (event < 63 && this.owners.length === 1) this.takeOver()
    else if (event < 68) this.cancelJob()
    else if (event < 75) this.lateStarts.shift()?.()
    for (const each of this.vms) {
      if (each.leaseUntilMs < this.nowMs) each.runs.clear()
    }
    this.owners = this.owners.filter((owner) => owner.untilMs > this.nowMs)
    for (const owner of this.owners) this.work(owner)
  }

  private get newest (): Owner | undefined {
    return this.owners.at(-1)
  }

  private chance (share: number): boolean {
    return this.random.nextFloat() < share
  }

  /** Sets new caps. At times a team is removed or has no cap. */
  private configure (): void {
    this.teams = ['a', 'b', 'c'].filter(() => !this.chance(0.15)).map((name) => createTeam(name, 2, { cpuMillis: this.chance(0.2) ? 0 : 5_000 + this.random.nextBelow(15_000) }))
    this.configurations.push({ atMs: this.nowMs, teams: this.teams })
  }

  private addJob (): void {
    const kind = this.random.nextBelow(5)
    const step = createTestStep({
      taskCount: 1 + this.random.nextBelow(6), gang: kind === 1, speculative: kind === 2, fills: kind === 3, need: { cpuMillis: 500 + this.random.nextBelow(2_500), memoryMb: 100, accelerators: 0 },
    })
    const id = (this.jobs.length + 1).toString(16).padStart(16, '0')
    const job = { ...createTestJob({ id, acceptedAtMs: this.nowMs, steps: [step, { ...step, after: [0] }] }), team: ['a', 'b', 'c'][this.random.nextBelow(3)] ?? 'a', maxAttempts: 99 }
    this.jobs.push(job)
    for (const owner of this.owners) owner.scheduler.addJob(job, owner.fencingToken + 1, this.nowMs)
  }

  private cancelJob (): void {
    const job = this.jobs[this.random.nextBelow(Math.max(1, this.jobs.length))]
    if (job !== undefined) this.newest?.scheduler.cancelJob(job.id, this.nowMs)
  }

  private endRun (vm: FakeVm): void {
    const [key, run] = [...vm.runs][this.random.nextBelow(Math.max(1, vm.runs.size))] ?? []
    if (key === undefined || run === undefined) return
    vm.runs.delete(key)
    vm.ends.push({ number: vm.nextEnd++, task: run.name, run: run.number, end: this.chance(0.8) ? RunEnd.Done : RunEnd.Failed, checkpoint: '' })
  }

  private restart (vm: FakeVm): void {
    vm.runs.clear()
    vm.ends = []
    vm.nextEnd = 1
    vm.bornMs += 1
  }

  /** Starts a new owner from what is stored, while the former one works on for a while. */
  private takeOver (): void {
    const fencingToken = (this.newest?.fencingToken ?? 0) + 10
    const scheduler = JobScheduler.create({
      generation: this.newest === undefined ? 0 : 1 + Math.round(fencingToken / 10), fencingToken, leaseMs: LEASE_MS, stopMs: STOP_MS, previousOwnerRenewalMs: PREVIOUS_OWNER_MS, startedAtMs: this.nowMs, logDecision: () => {},
    })
    for (const former of this.owners) former.untilMs = this.nowMs + this.random.nextBelow(PREVIOUS_OWNER_MS)
    for (const job of this.jobs) scheduler.addJob(job, 1, this.nowMs, this.progress.get(job.id))
    for (const vm of this.vms) {
      const entry = createVmEntry(vm.id, { bornMs: vm.bornMs })
      if (this.newest === undefined) scheduler.applyRegistration(entry, this.nowMs)
      else scheduler.restoreVm({ entry }, { nowMs: this.nowMs, storeNowMs: this.nowMs })
      const tracked = scheduler.state.vms.get(vm.id)
      if (tracked !== undefined) tracked.recorded = true
    }
    this.owners.push({ scheduler, fencingToken, untilMs: Infinity })
  }

  /** Exchanges reports with some VMs, plans, sends the orders and commits. */
  private work (owner: Owner): void {
    for (const vm of this.vms) {
      if (this.chance(0.4)) this.contact(owner, vm)
    }
    // An owner may learn of a configuration late.
    if (owner.teams === undefined || this.chance(0.9)) owner.teams = this.teams
    owner.scheduler.setTeams(owner.teams)
    const orders = owner.scheduler.plan({ nowMs: this.nowMs, storeNowMs: this.nowMs, wallClockMs: this.nowMs }, () => undefined)
    for (const order of orders) this.send(owner, order)
    if (owner !== this.newest) return
    for (const job of owner.scheduler.listJobsToStore()) {
      job.changed = false
      const progress = job.toProgress(this.nowMs)
      this.progress.set(job.id, progress)
      owner.scheduler.markStored(job, progress)
    }
    for (const vm of this.vms) vm.ends = vm.ends.filter(({ number }) => number > (owner.scheduler.state.vms.get(vm.id)?.appliedEnd ?? 0) || vm.fencingToken !== owner.fencingToken)
  }

  private contact (owner: Owner, vm: FakeVm): void {
    const tracked = owner.scheduler.state.vms.get(vm.id)
    if (tracked === undefined || vm.fencingToken > owner.fencingToken) return
    if (vm.silentUntilMs > this.nowMs) {
      owner.scheduler.markUnresponsive(tracked, this.nowMs)
      return
    }
    vm.fencingToken = owner.fencingToken
    vm.leaseUntilMs = this.nowMs + LEASE_MS
    const running = [...vm.runs.values()].map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
    owner.scheduler.applyReport(tracked, { clockMs: this.nowMs, bornMs: vm.bornMs, running, ends: [...vm.ends] }, this.nowMs, this.nowMs)
    tracked.extendLease(this.nowMs, LEASE_MS)
  }

  private send (owner: Owner, order: Order): void {
    const { run } = order
    const vm = this.vms.find(({ id }) => id === run.vmId)
    if (vm === undefined || order.kind === OrderKind.Pace) return
    const reaches = vm.silentUntilMs <= this.nowMs && vm.fencingToken <= owner.fencingToken
    if (order.kind === OrderKind.Start) this.start(owner, vm, run, reaches)
    else if (reaches && this.chance(0.8)) {
      owner.scheduler.applyStop(run, true, this.nowMs)
      if (vm.runs.delete(run.key)) vm.ends.push({ number: vm.nextEnd++, task: run.name, run: run.number, end: RunEnd.Stopped, checkpoint: '' })
    }
  }

  private start (owner: Owner, vm: FakeVm, run: TrackedRun, reaches: boolean): void {
    const { bornMs } = vm
    const teamsAtOrder = owner.teams ?? []
    const deliver = (): void => {
      if (vm.bornMs === bornMs && vm.fencingToken <= owner.fencingToken) this.begin(vm, run, teamsAtOrder)
    }
    const outcome = this.random.nextFloat()
    if (outcome < 0.1) owner.scheduler.applyStart(run, StartOutcome.Refused, this.nowMs)
    else if (outcome < 0.2 || !reaches) {
      owner.scheduler.applyStart(run, StartOutcome.Unknown, this.nowMs)
      if (reaches && this.chance(0.5)) deliver()
      else if (reaches && vm.leaseUntilMs > this.nowMs) this.lateStarts.push(() => { if (owner.scheduler.state.vms.get(vm.id)?.runs.has(run.key) === true) deliver() })
    } else {
      deliver()
      owner.scheduler.applyStart(run, StartOutcome.Accepted, this.nowMs)
    }
  }

  private begin (vm: FakeVm, run: TrackedRun, teamsAtOrder: readonly TeamRules[]): void {
    vm.runs.set(run.key, run)
    this.starts += 1
    const { team } = run.task.step.occurrence.job.accepted
    // A start that is carried out late may find runs that a higher cap allowed after its order, and a lower cap since then.
    const configurations = [teamsAtOrder, this.teams, ...this.configurations.filter(({ atMs }) => atMs >= run.orderedAtMs).map(({ teams }) => teams)]
    const caps = configurations.map((teams) => teams.find(({ name }) => name === team)?.cap.cpuMillis)
    if (caps.includes(undefined) || caps.includes(0)) return
    let running = 0
    for (const each of this.vms.flatMap(({ runs }) => [...runs.values()])) {
      if (each.task.step.occurrence.job.accepted.team === team) running += each.task.step.spec.need.cpuMillis
    }
    this.worstExcess = Math.max(this.worstExcess, running - Math.max(...caps.filter((cap) => cap !== undefined)) - run.task.step.spec.need.cpuMillis)
  }
}
