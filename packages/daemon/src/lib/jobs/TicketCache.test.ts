/**
 * Requests for tickets of a queue whose admission service is slower than the load.
 */
import { assert, describe } from '@vanillathread/testing'
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { Result, STEP_DEFAULTS, type AcceptedJob, type AdmissionServiceRules, type StepSpec, type VmEntry } from '@vanillathread/model'
import { JobScheduler, OrderKind, StartOutcome, type Order } from '@vanillathread/policy'
import type { AdmissionService } from '@vanillathread/ports'
import { TicketCache } from './TicketCache.js'

const TASK_MS = 640
const PLAN_PERIOD_MS = 100

function createVm (id: string, entry: Partial<VmEntry> = {}): VmEntry {
  return { id, pool: 'p', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 0 }, labels: [], draining: false, bornMs: 1, ...entry }
}

/** Handles one request at a time, and grants all VMs that it does not exclude. */
class SlowAdmissionService implements AdmissionService {
  readonly requests: Array<{ step: string, vms: readonly string[] }> = []
  private freeAtMs = 0

  private constructor (private readonly timers: FakeTimerService, private readonly rules: AdmissionServiceRules, private readonly excluded: readonly string[]) {}

  static create (timers: FakeTimerService, rules: AdmissionServiceRules, excluded: readonly string[] = []): SlowAdmissionService {
    return new SlowAdmissionService(timers, rules, excluded)
  }

  async advise (step: string, vms: readonly string[]): ReturnType<AdmissionService['advise']> {
    this.requests.push({ step, vms })
    this.freeAtMs = Math.max(this.freeAtMs, this.timers.now()) + this.rules.decideMs + this.rules.perVmMs * vms.length
    await new Promise<void>((resolve) => this.timers.after(this.freeAtMs - this.timers.now(), resolve))
    const granted = vms.filter((vm) => !this.excluded.includes(vm))
    const expiresAtMs = this.timers.now() + this.rules.validMs
    return Result.ok({ tickets: new Map(granted.map((vm) => [vm, String(expiresAtMs)])), validMs: this.rules.validMs })
  }
}

/** A shard's scheduler and its tickets. Starts are accepted at once and their tasks end after `TASK_MS`. */
class Shard {
  readonly timers = FakeTimerService.create()
  readonly starts: Order[] = []
  readonly scheduler = JobScheduler.create({ generation: 0, fencingToken: 1, leaseMs: 1e6, stopMs: 900, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {} })
  readonly service: SlowAdmissionService
  private readonly tickets: TicketCache
  private readonly rules: AdmissionServiceRules

  private constructor (options: { rules: AdmissionServiceRules, vms: readonly VmEntry[], excluded?: readonly string[] }) {
    this.rules = options.rules
    this.service = SlowAdmissionService.create(this.timers, options.rules, options.excluded)
    for (const entry of options.vms) this.report(entry)
    this.tickets = TicketCache.create({ timers: this.timers, log: MemoryEventLog.create(), scheduler: this.scheduler, admissionService: this.service, onChange: () => this.plan() })
    this.timers.every(PLAN_PERIOD_MS, () => this.plan())
  }

  static create (options: { rules: AdmissionServiceRules, vms: readonly VmEntry[], excluded?: readonly string[] }): Shard {
    return new Shard(options)
  }

  addJob (index: number, step: Partial<StepSpec> = {}): void {
    const accepted: AcceptedJob = {
      id: index.toString(16).padStart(16, '0'),
      queue: 'q',
      pool: 'p',
      spec: { payload: '', steps: [{ ...STEP_DEFAULTS, taskCount: 6, need: { cpuMillis: 1_800, memoryMb: 100, accelerators: 0 }, estimateMs: TASK_MS, ...step }], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
      priority: 0,
      maxAttempts: 3,
      deadlineFactor: 2,
      targetLatencyMs: 600,
      acceptedAtMs: this.timers.now(),
      configurationVersion: 1,
      advice: this.rules,
    }
    this.scheduler.addJob(accepted, 1, this.timers.now())
  }

  plan (): void {
    const nowMs = this.timers.now()
    for (const order of this.tickets.runPlan((getTickets) => this.scheduler.plan({ nowMs, storeNowMs: nowMs, wallClockMs: nowMs }, getTickets))) {
      if (order.kind !== OrderKind.Start) continue
      if (nowMs > Number(order.ticket)) {
        this.scheduler.applyStart(order.run, StartOutcome.Refused, nowMs)
        this.tickets.rejectTicket(order.run, order.ticket ?? '')
        continue
      }
      this.starts.push(order)
      this.scheduler.applyStart(order.run, StartOutcome.Accepted, nowMs)
      this.timers.after(TASK_MS, () => {
        order.run.task.step.occurrence.job.markDone(order.run.task)
        this.scheduler.state.releaseRun(order.run)
      })
    }
  }

  /** Registers a VM and has it answer without runs. */
  report (entry: VmEntry): void {
    const nowMs = this.timers.now()
    this.scheduler.applyRegistration(entry, nowMs)
    const vm = this.scheduler.state.vms.get(entry.id)
    if (vm === undefined) throw new Error('VM is not tracked')
    vm.recorded = true
    this.scheduler.applyReport(vm, { clockMs: nowMs, bornMs: entry.bornMs, running: [], ends: [] }, nowMs, nowMs)
  }

  /** Returns the jobs of which no task has started. */
  listIdleJobs (): string[] {
    return [...this.scheduler.state.jobs.values()].filter((job) => !job.begun).map((job) => job.id)
  }
}

const SIX_VMS = Array.from({ length: 6 }, (_, index) => createVm(`vm-${index}`))

describe('TicketCache', ({ describe, it }) => {
  describe('under more steps than the service decides within the validity of a ticket', ({ it }) => {
    // Guards against LOST: the validity was counted from the time at which a request was queued, so steps asked again for ever.
    it('starts every job after a burst', async () => {
      for (const rules of [{ decideMs: 90, perVmMs: 10, validMs: 2_000 }, { decideMs: 100, perVmMs: 10, validMs: 3_000 }, { decideMs: 100, perVmMs: 10, validMs: 400 }]) {
        const shard = Shard.create({ rules, vms: SIX_VMS })
        let jobs = 0
        for (let atMs = 0; atMs < 15_000; atMs += atMs >= 5_000 && atMs < 9_000 ? 77 : 200) {
          await shard.timers.advance(atMs - shard.timers.now())
          shard.addJob(++jobs)
        }
        await shard.timers.advance(14_000)
        assert.equal(shard.listIdleJobs(), [], JSON.stringify(rules))
      }
    })

    // Guards against LOST of the other steps: those ranked first took every request although they could not start.
    it('gives tickets to steps that can start although others cannot use theirs', async () => {
      const shard = Shard.create({ rules: { decideMs: 150, perVmMs: 0, validMs: 1_000 }, vms: SIX_VMS })
      for (let index = 1; index <= 30; index++) shard.addJob(index, { gang: true, taskCount: 200 })
      await shard.timers.advance(5_000)
      for (let index = 31; index <= 40; index++) shard.addJob(index)
      await shard.timers.advance(5_000)
      assert.equal(shard.listIdleJobs().length, 30)
    })

    it('requests nothing for jobs that are cancelled while they wait', async () => {
      const shard = Shard.create({ rules: { decideMs: 150, perVmMs: 0, validMs: 1_000 }, vms: SIX_VMS })
      for (let index = 1; index <= 30; index++) shard.addJob(index)
      shard.plan()
      for (const id of [...shard.scheduler.state.jobs.keys()].slice(0, 29)) shard.scheduler.cancelJob(id, 0)
      await shard.timers.advance(1_000)
      assert.ok(shard.service.requests.length <= 3, `${shard.service.requests.length} requests`)
      assert.ok(shard.scheduler.state.jobs.get((30).toString(16).padStart(16, '0'))?.begun === true)
    })
  })

  it('does not ask again about VMs that the service has left out, as its policy does not change', async () => {
    const shard = Shard.create({ rules: { decideMs: 10, perVmMs: 0, validMs: 500 }, vms: SIX_VMS, excluded: SIX_VMS.map(({ id }) => id) })
    shard.addJob(1)
    await shard.timers.advance(5_000)
    assert.is(shard.service.requests.length, 1)
    shard.report(createVm('new'))
    await shard.timers.advance(200)
    assert.equal(shard.service.requests.at(1)?.vms, ['new'])
    assert.is(shard.starts.length, 6)
  })

  it('does not use a ticket for a later incarnation of its VM', async () => {
    const shard = Shard.create({ rules: { decideMs: 10, perVmMs: 0, validMs: 5_000 }, vms: [createVm('a', { capacity: { cpuMillis: 1_800, memoryMb: 100, accelerators: 0 } })] })
    shard.addJob(1, { taskCount: 2 })
    await shard.timers.advance(200)
    assert.is(shard.starts.length, 1)
    shard.report(createVm('a', { bornMs: 2 }))
    await shard.timers.advance(400)
    assert.is(shard.service.requests.length, 2)
  })
})
