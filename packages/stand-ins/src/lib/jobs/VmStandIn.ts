/**
 * In-memory VM that runs tasks under a lease, on a fake clock, with injected faults.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { OrderRefusal, RunEnd, type EndEntry, type VmEntry, type VmReport } from '@vanillathread/model'
import { VmAnswerKind, type RenewCall, type RunReference, type StartCall, type VmAnswer, type VmClient } from '@vanillathread/ports'

/** Round-trip latency of a call. */
const CALL_ROUND_TRIP_MS = 2

/** Time after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 600

/** Time from a stop order until the run ends, unless {@link VmStandIn.stopDurationMs} is set. */
const STOP_DURATION_MS = 200

/** Faults of a VM. @public */
export enum VmFault {
  None = 'none',
  /** Keeps running, but receives no calls and sends no answers. */
  Partitioned = 'cut',
  /** Carries out start orders late and does not answer them. */
  LateStarts = 'late-orders',
  /** Every task fails shortly after its start. */
  FailsTasks = 'fails-tasks',
}

/**
 * Time that a task needs after its start to restore its state; until then its pace is reported as 0 percent.
 * @public
 */
export const RESTORE_DURATION_MS = 300

/** Delay of a start order while {@link VmFault.LateStarts} is switched on. */
const LATE_START_DELAY_MS = 2_500

/** Behaviour of a task after its start. @public */
export interface TaskBehaviour {
  /** Time from the start to the end of a finite task; undefined for a long-running task. */
  readonly durationMs?: number
  /** True if every run of the task fails. */
  readonly fails: boolean
  /** True if every run of the task crashes its VM. */
  readonly crashesVm?: boolean
  /** Thousandths of a core that each run needs. */
  readonly cpuMillis: number
  readonly memoryMb: number
}

/** A run on the VM. @public */
export interface VmStandInRun {
  readonly task: string
  readonly run: number
  /** Time of the start, by the timer service's clock. */
  readonly startedAtMs: number
  readonly behaviour: TaskBehaviour
}

/** What an observer sees of a VM. @public */
export interface ObservedVm {
  readonly id: string
  /** False once the VM has ended. */
  readonly alive: boolean
  readonly entry: VmEntry
  readonly runs: ReadonlyMap<string, VmStandInRun>
}

/** Observes the runs of VMs. @public */
export interface VmObserver {
  onStart (vm: ObservedVm, run: VmStandInRun, call: StartCall): void
  onEnd (vm: ObservedVm, run: VmStandInRun, end: RunEnd): void
  /** Called when the owner has acknowledged end entries, which the VM then drops. */
  onEndsAcknowledged (vm: ObservedVm, ends: readonly EndEntry[]): void
}

/** Options of {@link VmStandIn.create}. @public */
export interface VmStandInOptions {
  readonly entry: VmEntry
  readonly timers: TimerService
  readonly observer: VmObserver
  getBehaviour (task: string): TaskBehaviour
  /** True if runs go on after the lease has expired, which breaks the contract of VMs. */
  readonly ignoresLease?: boolean
  /** Called when a run crashes the VM, which is to be killed. */
  onCrash? (run: VmStandInRun): void
}

/** One incarnation of a VM. @public */
export class VmStandIn {
  fault = VmFault.None
  /** True until {@link kill} is called. */
  alive = true
  /** Number n if the answer to every n-th renewal is lost; 0 if none is lost. */
  lostRenewalInterval = 0
  /** Time from a stop order until the run ends. */
  stopDurationMs = STOP_DURATION_MS
  /** Speed of the VM's steady clock. Set it before the first lease. */
  clockRate = 1
  entry: VmEntry
  readonly runs = new Map<string, VmStandInRun>()
  /** End entries that the owner has not acknowledged. */
  private ends: EndEntry[] = []
  private nextEndNumber = 1
  private renewalCount = 0
  private highestFencingToken = 0
  /** End of the lease, on the VM's clock. */
  private leaseUntilMs = 0
  /** Highest run number that the VM no longer starts, by task. */
  private readonly highestBarredRuns = new Map<string, number>()
  /** Callbacks that each end one call of {@link waitForEnd}. */
  private readonly waiters = new Set<() => void>()
  private readonly startedAtMs: number

  private constructor (private readonly options: VmStandInOptions) {
    this.entry = options.entry
    this.startedAtMs = options.timers.now()
  }

  static create (options: VmStandInOptions): VmStandIn {
    return new VmStandIn(options)
  }

  get id (): string {
    return this.entry.id
  }

  /** Ends the VM and its runs, without end entries. */
  kill (): void {
    this.alive = false
    for (const run of [...this.runs.values()]) this.removeRun(run)
  }

  /** Ends a run as failed. */
  fail (run: VmStandInRun): void {
    this.end(run, RunEnd.Failed)
  }

  /** Opens a client; {@link VmFault.Partitioned} affects all clients. */
  connect (): VmClient {
    return {
      start: (call) => this.order(call, () => this.start(call), call),
      stop: (call) => this.order(call, () => this.stop(call)),
      pace: (call) => this.order(call, () => ({ kind: VmAnswerKind.Done, value: undefined })),
      renew: (call) => this.renew(this.isMeant(call) ? call : { fencingToken: call.fencingToken, acknowledgedEnd: 0, waitMs: 0 }),
      dispose: () => {},
    }
  }

  /** Returns true if a call is meant for this incarnation or for any. */
  private isMeant (call: Pick<RenewCall, 'bornMs'>): boolean {
    return call.bornMs === undefined || call.bornMs === this.entry.bornMs
  }

  private order (reference: RunReference, execute: () => VmAnswer<void>, startCall?: StartCall): Promise<VmAnswer<void>> {
    return this.isMeant(reference) ? this.call(execute, startCall) : this.call(() => ({ kind: VmAnswerKind.Refused, refusal: OrderRefusal.Restarted }))
  }

  /** Time on the VM's steady clock, which begins at 0 when the VM starts. */
  get clockMs (): number {
    return Math.floor((this.options.timers.now() - this.startedAtMs) * this.clockRate)
  }

  private async call<T> (execute: () => VmAnswer<T>, startCall?: StartCall): Promise<VmAnswer<T>> {
    const { timers } = this.options
    await delay(timers, CALL_ROUND_TRIP_MS / 2)
    if (!this.alive) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.NotSent }
    if (this.fault === VmFault.Partitioned) return this.loseAnswer()
    if (startCall !== undefined && this.fault === VmFault.LateStarts) {
      timers.after(LATE_START_DELAY_MS, () => { if (this.alive) this.start(startCall) })
      return this.loseAnswer()
    }
    const answer = execute()
    await delay(timers, CALL_ROUND_TRIP_MS / 2)
    return answer
  }

  private async loseAnswer<T> (): Promise<VmAnswer<T>> {
    await delay(this.options.timers, CALL_TIMEOUT_MS)
    return { kind: VmAnswerKind.Unknown, reason: 'no answer' }
  }

  private start (call: StartCall): VmAnswer<void> {
    const refusal = this.checkStart(call)
    if (refusal !== undefined) return { kind: VmAnswerKind.Refused, refusal }
    if (this.runs.has(`${call.task}#${call.run}`)) return { kind: VmAnswerKind.Done, value: undefined }
    const behaviour = this.options.getBehaviour(call.task)
    const run: VmStandInRun = { task: call.task, run: call.run, startedAtMs: this.options.timers.now(), behaviour }
    this.runs.set(`${call.task}#${call.run}`, run)
    this.options.observer.onStart(this, run, call)
    if (behaviour.crashesVm === true) this.options.timers.after(CRASH_DELAY_MS, () => { if (this.runs.get(`${call.task}#${call.run}`) === run) this.options.onCrash?.(run) })
    const fails = behaviour.fails || this.fault === VmFault.FailsTasks
    const endsAfterMs = fails ? TASK_FAILURE_DELAY_MS : behaviour.durationMs
    if (endsAfterMs !== undefined) this.options.timers.after(endsAfterMs, () => this.end(run, fails ? RunEnd.Failed : RunEnd.Done))
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  /**
   * Returns the reason for which a start order is refused, or undefined if it is accepted.
   * Unless the order is fenced, its fencing token is recorded and the lease is extended, even if the order is then refused.
   */
  private checkStart (call: StartCall): OrderRefusal | undefined {
    if (call.fencingToken < this.highestFencingToken) return OrderRefusal.Fenced
    this.highestFencingToken = call.fencingToken
    this.extendLease(call.leaseUntilMs)
    if (call.leaseUntilMs <= this.clockMs) return OrderRefusal.LeaseExpired
    return call.run <= (this.highestBarredRuns.get(call.task) ?? 0) ? OrderRefusal.OldRun : undefined
  }

  private stop (call: RunReference): VmAnswer<void> {
    if (call.fencingToken < this.highestFencingToken) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.Fenced }
    this.highestFencingToken = call.fencingToken
    this.highestBarredRuns.set(call.task, Math.max(this.highestBarredRuns.get(call.task) ?? 0, call.run))
    const run = this.runs.get(`${call.task}#${call.run}`)
    if (run !== undefined) this.options.timers.after(this.stopDurationMs, () => this.end(run, RunEnd.Stopped))
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  private async renew (call: RenewCall): Promise<VmAnswer<VmReport>> {
    const renewed = await this.call(() => this.acceptRenewal(call))
    this.renewalCount += 1
    if (this.lostRenewalInterval > 0 && this.renewalCount % this.lostRenewalInterval === 0) {
      await delay(this.options.timers, call.waitMs)
      return this.loseAnswer()
    }
    if (renewed.kind !== VmAnswerKind.Done) return renewed
    if (this.ends.length === 0 && call.waitMs > 0) await this.waitForEnd(call.waitMs)
    if (!this.alive) return { kind: VmAnswerKind.Unknown, reason: 'connection reset' }
    if (this.fault === VmFault.Partitioned) return this.loseAnswer()
    const running = [...this.runs.values()].map((run) => ({ task: run.task, run: run.run, checkpoint: '', percent: this.options.timers.now() - run.startedAtMs < RESTORE_DURATION_MS ? 0 : 100 }))
    return { kind: VmAnswerKind.Done, value: { clockMs: this.clockMs, bornMs: this.entry.bornMs, running, ends: [...this.ends] } }
  }

  private acceptRenewal (call: RenewCall): VmAnswer<void> {
    if (call.fencingToken < this.highestFencingToken) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.Fenced }
    this.highestFencingToken = call.fencingToken
    const acknowledged = this.ends.filter((end) => end.number <= call.acknowledgedEnd)
    this.ends = this.ends.filter((end) => end.number > call.acknowledgedEnd)
    if (acknowledged.length > 0) this.options.observer.onEndsAcknowledged(this, acknowledged)
    if (call.leaseUntilMs !== undefined) this.extendLease(call.leaseUntilMs)
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  /** Extends the lease if the new end is later. All runs end when the lease expires. */
  private extendLease (untilMs: number): void {
    if (untilMs <= this.leaseUntilMs) return
    this.leaseUntilMs = untilMs
    this.options.timers.after(Math.ceil((untilMs - this.clockMs) / this.clockRate), () => {
      // A later extension has a timer of its own. The clock decides nothing here, as a timer may fire a fraction of a millisecond early.
      if (untilMs < this.leaseUntilMs || this.options.ignoresLease === true) return
      for (const run of [...this.runs.values()]) this.end(run, RunEnd.LeaseExpired)
    })
  }

  private waitForEnd (limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timeout.dispose()
        this.waiters.delete(finish)
        resolve()
      }
      const timeout = this.options.timers.after(limitMs, finish)
      this.waiters.add(finish)
    })
  }

  private end (run: VmStandInRun, outcome: RunEnd): void {
    if (!this.removeRun(run)) return
    this.highestBarredRuns.set(run.task, Math.max(this.highestBarredRuns.get(run.task) ?? 0, run.run))
    this.ends.push({ number: this.nextEndNumber++, task: run.task, run: run.run, end: outcome, checkpoint: '' })
    this.options.observer.onEnd(this, run, outcome)
    for (const finish of [...this.waiters]) finish()
  }

  /** Returns true if the run was present. */
  private removeRun (run: VmStandInRun): boolean {
    const key = `${run.task}#${run.run}`
    return this.runs.get(key) === run && this.runs.delete(key)
  }
}

/** Time from the start of a task that crashes its VM until the crash. */
const CRASH_DELAY_MS = 10

/** Time from its start until a failing task fails. */
const TASK_FAILURE_DELAY_MS = 100
