/**
 * Plays a day of load through the scheduler and the capacity planner on a simulated clock, without processes or a network.
 * It answers what callers get: jobs in time, late and missed, by queue and by window.
 */
import { RunEnd, type TeamRules } from '@vanillathread/model'
import { JobScheduler, OrderKind, RandomSource, StartOutcome, type PlannedMachine, type PlannedMove, type PlannedPool, type StopReason, type TrackedRun } from '@vanillathread/policy'
import { EventQueue } from './EventQueue.js'
import { createLongRunningJobs, generateJobs, type LoadJob, type LoadSite } from './LoadSite.js'
import { createEntry, isStandby, type SimulatedMachine, type SimulatedVm } from './SimulatedMachine.js'
import { summarizeLoadDay, type LoadDayResult, type StoppedWork } from './summarizeLoadDay.js'

/** Decides on moves of machines. */
export interface MovePlanner {
  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[]
}

/** A period in which some machines provide no capacity. Times are counted from the first arrival. */
export interface Absence {
  readonly fromMs: number
  readonly toMs: number
  readonly machines: number
}

/** Options of {@link LoadDay.create}. */
export interface LoadDayOptions {
  readonly site: LoadSite
  readonly seed: number
  readonly planner: MovePlanner
  /** Periods in which machines are evacuated and then away, as for maintenance. */
  readonly absences?: readonly Absence[]
  /** The operator's rules for the teams of the site; without them, teams make no difference. */
  readonly teams?: readonly TeamRules[]
}

/** Times of the platform and of the owner's calls, in milliseconds. */
const CALL_MS = 2
const REPORT_MS = 4
const COMMIT_MS = 30
const PLAN_SPACING_MS = 8
const MACHINE_PERIOD_MS = 200
const MOVE_MS = 1_500
/** Time from the start of a VM until its owner may place tasks on it: its registration, its first report and its roster row. */
const VM_READY_MS = 150
const FINITE_TASK_GRACE_MS = 4_000
const STOP_MS = 200
/** Time at which the long-running jobs arrive. */
const LONG_RUNNING_AT_MS = 1_000
const DRAIN_MS = 16_000
const LEASE_MS = 5_000

/** A day in progress. */
export class LoadDay {
  private nowMs = 0
  private readonly events = EventQueue.create()
  private readonly scheduler: JobScheduler
  private readonly machines: SimulatedMachine[] = []
  private readonly vms = new Map<string, SimulatedVm>()
  private readonly jobs = new Map<string, LoadJob>()
  private readonly completedAtMs = new Map<string, number>()
  private planScheduled = false
  private commitScheduled = false
  private machineSeconds = 0
  private moves = 0
  private readonly stops = new Map<StopReason | undefined, StoppedWork>()
  /** Orders that the platform still accepts in this period. */
  private ordersLeft = 0
  private readonly random: RandomSource

  private constructor (private readonly options: LoadDayOptions) {
    this.random = RandomSource.create(options.seed)
    this.scheduler = JobScheduler.create({ generation: 0, fencingToken: 1, leaseMs: LEASE_MS, stopMs: 900, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {} })
    this.scheduler.setTeams(options.teams ?? [])
  }

  static create (options: LoadDayOptions): LoadDay {
    return new LoadDay(options)
  }

  /** Plays the day and returns what callers got. */
  run (): LoadDayResult {
    const { site } = this.options
    for (const pool of site.pools) {
      for (let index = 0; index < pool.machines; index++) this.addMachine(`${pool.name}-${index}`, pool.name)
    }
    for (const accepted of createLongRunningJobs(site)) this.at(LONG_RUNNING_AT_MS, () => this.accept(accepted))
    for (const job of generateJobs(site, this.random)) {
      const accepted = { ...job.accepted, acceptedAtMs: job.accepted.acceptedAtMs + site.warmUpMs }
      this.jobs.set(accepted.id, { ...job, accepted })
      this.at(accepted.acceptedAtMs, () => this.accept(accepted))
    }
    for (const absence of this.options.absences ?? []) this.at(site.warmUpMs + absence.fromMs, () => this.beginAbsence(absence))
    const endMs = site.warmUpMs + site.lengthMs + DRAIN_MS
    for (let atMs = 100; atMs < endMs; atMs += MACHINE_PERIOD_MS) this.at(atMs, () => this.planMachines())
    for (let atMs = 100; atMs < endMs; atMs += 100) this.at(atMs, () => this.requestPlan())
    for (let event = this.events.takeNext(); event !== undefined && event.atMs < endMs; event = this.events.takeNext()) {
      this.nowMs = event.atMs
      event.run()
    }
    const { completedAtMs, machineSeconds, moves, stops } = this
    return summarizeLoadDay({ site, startedAtMs: site.warmUpMs, jobs: this.jobs.values(), completedAtMs, machineSeconds, moves, stops })
  }

  private accept (accepted: LoadJob['accepted']): void {
    this.scheduler.addJob(accepted, 2, this.nowMs)
    this.requestPlan()
  }

  private requestPlan (): void {
    if (this.planScheduled) return
    this.planScheduled = true
    this.at(this.nowMs + PLAN_SPACING_MS, () => this.plan())
  }

  private plan (): void {
    this.planScheduled = false
    const orders = this.scheduler.plan({ nowMs: this.nowMs, storeNowMs: this.nowMs, wallClockMs: this.nowMs }, () => undefined)
    for (const order of orders) {
      if (order.kind === OrderKind.Start) this.at(this.nowMs + CALL_MS, () => this.start(order.run))
      else if (order.kind === OrderKind.Stop) this.at(this.nowMs + CALL_MS, () => this.stop(order.run))
    }
  }

  private start (run: TrackedRun): void {
    const vm = this.vms.get(run.vmId)
    if (vm === undefined) return
    this.scheduler.applyStart(run, StartOutcome.Accepted, this.nowMs)
    const { step } = run.task
    const job = this.jobs.get(step.occurrence.job.id)
    const durationMs = (run.number === 1 ? job?.durationsMs : job?.restartedMs)?.[step.index]?.[run.task.index]
    vm.runs.set(run, this.nowMs)
    if (durationMs === undefined) this.report(run.vmId, 300)
    else this.at(this.nowMs + durationMs, () => this.end(run, RunEnd.Done))
  }

  private stop (run: TrackedRun): void {
    this.scheduler.applyStop(run, true, this.nowMs)
    this.at(this.nowMs + STOP_MS, () => this.end(run, RunEnd.Stopped))
  }

  private end (run: TrackedRun, end: RunEnd): void {
    const vm = this.vms.get(run.vmId)
    const startedAtMs = vm?.runs.get(run)
    if (vm === undefined || startedAtMs === undefined) return
    vm.runs.delete(run)
    if (end === RunEnd.Stopped) {
      const sum = this.stops.get(run.stopReason) ?? { runs: 0, coreSeconds: 0 }
      this.stops.set(run.stopReason, { runs: sum.runs + 1, coreSeconds: sum.coreSeconds + (this.nowMs - startedAtMs) * run.task.step.spec.need.cpuMillis / 1e6 })
    }
    vm.ends.push({ number: vm.nextEnd++, task: run.name, run: run.number, end, checkpoint: '' })
    this.report(run.vmId, REPORT_MS)
  }

  /** Delivers a VM's report to the owner after a delay, unless one is under way already. */
  private report (vmId: string, delayMs: number): void {
    const vm = this.vms.get(vmId)
    if (vm === undefined || vm.reportDue) return
    vm.reportDue = true
    this.at(this.nowMs + delayMs, () => {
      vm.reportDue = false
      const tracked = this.scheduler.state.vms.get(vmId)
      if (tracked === undefined) return
      const running = [...vm.runs].map(([run, startedAtMs]) => ({ task: run.name, run: run.number, checkpoint: '', percent: this.nowMs - startedAtMs < 250 ? 0 : 100 }))
      this.scheduler.applyReport(tracked, { clockMs: this.nowMs, bornMs: tracked.entry.bornMs, running, ends: vm.ends.splice(0) }, this.nowMs, this.nowMs)
      this.requestPlan()
      this.requestCommit()
    })
  }

  private requestCommit (): void {
    if (this.commitScheduled) return
    this.commitScheduled = true
    this.at(this.nowMs + COMMIT_MS, () => {
      this.commitScheduled = false
      for (const job of this.scheduler.listJobsToStore()) {
        job.changed = false
        const progress = job.toProgress(this.nowMs)
        this.scheduler.markStored(job, progress)
        if (job.isComplete && !this.completedAtMs.has(job.id)) this.completedAtMs.set(job.id, this.nowMs)
      }
    })
  }

  private addMachine (id: string, pool: string): void {
    const machine: SimulatedMachine = { id, pool, vmId: undefined, toPool: undefined, down: false, bootNumber: 0, awayUntilMs: 0 }
    this.machines.push(machine)
    this.boot(machine)
  }

  /** Starts a VM on a machine, unless the machine is in standby. */
  private boot (machine: SimulatedMachine): void {
    const { site } = this.options
    machine.down = false
    if (site.pools.some((pool) => pool.standby && pool.name === machine.pool)) return
    const id = `${machine.id}-vm-${machine.bootNumber++}`
    this.at(this.nowMs + VM_READY_MS, () => {
      machine.vmId = id
      this.vms.set(id, { runs: new Map(), ends: [], nextEnd: 1, reportDue: false })
      this.scheduler.applyRegistration(createEntry(id, machine, site.machine, this.nowMs), this.nowMs)
      const tracked = this.scheduler.state.vms.get(id)
      if (tracked === undefined) return
      tracked.recorded = true
      this.scheduler.applyReport(tracked, { clockMs: this.nowMs, bornMs: tracked.entry.bornMs, running: [], ends: [] }, this.nowMs, this.nowMs)
      tracked.extendLease(this.nowMs, 1e9)
      this.requestPlan()
    })
  }

  /** Takes random machines away; those with the fewest long-running tasks, so that no step loses two at once. */
  private beginAbsence ({ toMs, machines }: Absence): void {
    const free = this.machines.filter((machine) => machine.awayUntilMs === 0 && machine.toPool === undefined && !machine.down)
    const chosen = this.random.sample(free, free.length).filter((machine) => !this.hasLongRunningTask(machine)).slice(0, machines)
    for (const machine of chosen) {
      machine.awayUntilMs = this.options.site.warmUpMs + toMs
      if (machine.vmId !== undefined) this.scheduler.evacuate(machine.vmId, this.nowMs + FINITE_TASK_GRACE_MS)
      this.at(machine.awayUntilMs, () => {
        machine.awayUntilMs = 0
        if (machine.vmId !== undefined) this.retire(machine)
        this.boot(machine)
      })
    }
  }

  private hasLongRunningTask (machine: SimulatedMachine): boolean {
    const vm = machine.vmId === undefined ? undefined : this.scheduler.state.vms.get(machine.vmId)
    return [...vm?.runs.values() ?? []].some((run) => run.task.step.spec.longRunning)
  }

  /** Forgets the VM of a machine, which has no runs any more. */
  private retire (machine: SimulatedMachine): void {
    if (machine.vmId === undefined) return
    this.scheduler.retireVm(machine.vmId, 'its machine was taken down')
    this.vms.delete(machine.vmId)
    machine.vmId = undefined
  }

  private planMachines (): void {
    const { site, planner } = this.options
    if (this.nowMs >= site.warmUpMs) this.machineSeconds += this.machines.filter((machine) => !isStandby(site, machine.toPool ?? machine.pool)).length * MACHINE_PERIOD_MS / 1_000
    const clocks = { nowMs: this.nowMs, storeNowMs: this.nowMs }
    const pools = site.pools.map((pool) => ({ standby: pool.standby, demand: this.scheduler.getDemand(pool.name, clocks) }))
    for (const move of planner.plan(this.nowMs, pools, this.machines.filter((machine) => machine.awayUntilMs === 0).map((machine) => this.describe(machine)))) {
      const machine = this.machines.find(({ id }) => id === move.machine)
      if (machine === undefined || machine.toPool !== undefined) continue
      machine.toPool = move.toPool
      if (machine.vmId !== undefined) this.scheduler.evacuate(machine.vmId, this.nowMs + FINITE_TASK_GRACE_MS)
    }
    this.ordersLeft = site.ordersPerSecond * MACHINE_PERIOD_MS / 1_000
    for (const machine of this.machines) {
      if (this.ordersLeft < 1) break
      if (machine.toPool === undefined || machine.down || (machine.vmId !== undefined && !this.scheduler.isEvacuated(machine.vmId))) continue
      this.order(machine)
    }
  }

  /** Orders the move of an evacuated machine. */
  private order (machine: SimulatedMachine): void {
    if (this.nowMs >= this.options.site.warmUpMs) this.moves += 1
    this.ordersLeft -= 1
    this.retire(machine)
    machine.down = true
    this.at(this.nowMs + 15 + MOVE_MS, () => {
      machine.pool = machine.toPool ?? machine.pool
      machine.toPool = undefined
      this.boot(machine)
    })
  }

  private describe (machine: SimulatedMachine): PlannedMachine {
    const capacity = this.options.site.machine
    const idle = { id: machine.id, capacity, drainable: false, usedCpuMillis: 0 }
    if (machine.toPool !== undefined) return { ...idle, pool: machine.toPool, movable: false }
    const vm = machine.vmId === undefined ? undefined : this.scheduler.state.vms.get(machine.vmId)
    if (vm === undefined) return { ...idle, pool: machine.pool, movable: isStandby(this.options.site, machine.pool) }
    const drainable = vm.isUsable(this.nowMs) && [...vm.runs.values()].every((run) => !run.task.step.spec.longRunning)
    return { id: machine.id, capacity, pool: machine.pool, movable: vm.isUsable(this.nowMs) && vm.runs.size === 0, drainable, usedCpuMillis: capacity.cpuMillis - vm.freeCpuMillis }
  }

  private at (atMs: number, run: () => void): void {
    this.events.add(atMs, run)
  }
}
