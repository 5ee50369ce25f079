/**
 * A VM that runs tasks under a lease, on a fake clock, with its faults.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { OrderRefusal, RunEnd, type EndEntry, type VmEntry, type VmReport } from '@vanillathread/model'
import { VmAnswerKind, type RenewCall, type RunReference, type StartCall, type VmAnswer, type VmClient } from '@vanillathread/ports'

/** Latency of a call there and back. */
const CALL_MS = 2

/** Time after which a caller gives a call up. */
const TIMEOUT_MS = 600

/** Time that a stop takes. */
const STOP_MS = 200

/** How a VM answers. @public */
export enum VmFault {
  None = 'none',
  /** Runs on and neither gets calls nor answers. */
  Cut = 'cut',
  /** Carries starts out late and does not answer them. */
  LateOrders = 'late-orders',
  /** Fails every task at once. */
  FailsTasks = 'fails-tasks',
}

/** Time after its start from which a task works in full. */
const RESTORE_MS = 300

/** Time by which a late start is late. */
const LATE_MS = 2_500

/** What a task does once it is started. @public */
export interface TaskBehaviour {
  /** Work of the task, or undefined where it lasts. */
  readonly durationMs?: number
  /** Ends as failed every time. */
  readonly fails: boolean
  readonly cpuMillis: number
  readonly memoryMb: number
}

/** A run on the VM. @public */
export interface StandInRun {
  readonly task: string
  readonly run: number
  readonly startedAtMs: number
  readonly behaviour: TaskBehaviour
}

/** Told of what happens on a VM. @public */
export interface VmObserver {
  onStart (vm: VmStandIn, run: StandInRun, call: StartCall): void
  onEnd (vm: VmStandIn, run: StandInRun, end: RunEnd): void
  onNoted (vm: VmStandIn, ends: readonly EndEntry[]): void
}

/** Options of {@link VmStandIn.create}. @public */
export interface VmStandInOptions {
  readonly entry: VmEntry
  readonly timers: TimerService
  readonly observer: VmObserver
  getBehaviour (task: string): TaskBehaviour
}

/** One life of a VM. @public */
export class VmStandIn {
  fault = VmFault.None
  alive = true
  /** Renewals whose answer is lost: each n-th, or none for 0. */
  losesRenewal = 0
  entry: VmEntry
  readonly runs = new Map<string, StandInRun>()
  private ends: EndEntry[] = []
  private nextEnd = 1
  private renewals = 0
  private fence = 0
  private leaseUntilMs = 0
  private readonly barred = new Map<string, number>()
  private readonly waiting = new Set<() => void>()
  private readonly bornAtMs: number

  private constructor (private readonly options: VmStandInOptions) {
    this.entry = options.entry
    this.bornAtMs = options.timers.now()
  }

  static create (options: VmStandInOptions): VmStandIn {
    return new VmStandIn(options)
  }

  get id (): string {
    return this.entry.id
  }

  /** Ends the VM and everything on it. */
  kill (): void {
    this.alive = false
    for (const run of [...this.runs.values()]) this.drop(run)
  }

  /** Opens a client; a cut VM is cut from every client. */
  connect (): VmClient {
    return {
      start: (call) => this.call(() => this.start(call), call),
      stop: (call) => this.call(() => this.stop(call)),
      pace: () => this.call(() => ({ kind: VmAnswerKind.Done, value: undefined })),
      renew: (call) => this.renew(call),
      dispose: () => {},
    }
  }

  private get clockMs (): number {
    return Math.floor(this.options.timers.now() - this.bornAtMs)
  }

  private async call<T> (carryOut: () => VmAnswer<T>, start?: StartCall): Promise<VmAnswer<T>> {
    const { timers } = this.options
    await delay(timers, CALL_MS / 2)
    if (!this.alive) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.NotSent }
    if (this.fault === VmFault.Cut) return this.loseAnswer()
    if (start !== undefined && this.fault === VmFault.LateOrders) {
      timers.after(LATE_MS, () => { if (this.alive) this.start(start) })
      return this.loseAnswer()
    }
    const answer = carryOut()
    await delay(timers, CALL_MS / 2)
    return answer
  }

  private async loseAnswer<T> (): Promise<VmAnswer<T>> {
    await delay(this.options.timers, TIMEOUT_MS)
    return { kind: VmAnswerKind.Unknown, reason: 'no answer' }
  }

  private start (call: StartCall): VmAnswer<void> {
    const refusal = this.checkStart(call)
    if (refusal !== undefined) return { kind: VmAnswerKind.Refused, refusal }
    if (this.runs.has(`${call.task}#${call.run}`)) return { kind: VmAnswerKind.Done, value: undefined }
    const behaviour = this.options.getBehaviour(call.task)
    const run: StandInRun = { task: call.task, run: call.run, startedAtMs: this.options.timers.now(), behaviour }
    this.runs.set(`${call.task}#${call.run}`, run)
    this.options.observer.onStart(this, run, call)
    const fails = behaviour.fails || this.fault === VmFault.FailsTasks
    const endsAfterMs = fails ? FAILS_AFTER_MS : behaviour.durationMs
    if (endsAfterMs !== undefined) this.options.timers.after(endsAfterMs, () => this.end(run, fails ? RunEnd.Failed : RunEnd.Done))
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  private checkStart (call: StartCall): OrderRefusal | undefined {
    if (call.fencingToken < this.fence) return OrderRefusal.Fenced
    this.fence = call.fencingToken
    this.extendLease(call.leaseUntilMs)
    if (call.leaseUntilMs <= this.clockMs) return OrderRefusal.LeaseOver
    return call.run <= (this.barred.get(call.task) ?? 0) ? OrderRefusal.OldRun : undefined
  }

  private stop (call: RunReference): VmAnswer<void> {
    if (call.fencingToken < this.fence) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.Fenced }
    this.fence = call.fencingToken
    this.barred.set(call.task, Math.max(this.barred.get(call.task) ?? 0, call.run))
    const run = this.runs.get(`${call.task}#${call.run}`)
    if (run !== undefined) this.options.timers.after(STOP_MS, () => this.end(run, RunEnd.Stopped))
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  private async renew (call: RenewCall): Promise<VmAnswer<VmReport>> {
    const taken = await this.call(() => this.takeRenewal(call))
    this.renewals += 1
    if (this.losesRenewal > 0 && this.renewals % this.losesRenewal === 0) {
      await delay(this.options.timers, call.waitMs)
      return this.loseAnswer()
    }
    if (taken.kind !== VmAnswerKind.Done) return taken
    if (this.ends.length === 0 && call.waitMs > 0) await this.waitForEnd(call.waitMs)
    if (!this.alive) return { kind: VmAnswerKind.Unknown, reason: 'connection reset' }
    if (this.fault === VmFault.Cut) return this.loseAnswer()
    const running = [...this.runs.values()].map((run) => ({ task: run.task, run: run.run, checkpoint: '', percent: this.options.timers.now() - run.startedAtMs < RESTORE_MS ? 0 : 100 }))
    return { kind: VmAnswerKind.Done, value: { clockMs: this.clockMs, bornMs: this.entry.bornMs, running, ends: [...this.ends] } }
  }

  private takeRenewal (call: RenewCall): VmAnswer<void> {
    if (call.fencingToken < this.fence) return { kind: VmAnswerKind.Refused, refusal: OrderRefusal.Fenced }
    this.fence = call.fencingToken
    const noted = this.ends.filter((end) => end.number <= call.notedEnd)
    this.ends = this.ends.filter((end) => end.number > call.notedEnd)
    if (noted.length > 0) this.options.observer.onNoted(this, noted)
    if (call.leaseUntilMs !== undefined) this.extendLease(call.leaseUntilMs)
    return { kind: VmAnswerKind.Done, value: undefined }
  }

  private extendLease (untilMs: number): void {
    if (untilMs <= this.leaseUntilMs) return
    this.leaseUntilMs = untilMs
    this.options.timers.after(untilMs - this.clockMs, () => {
      if (this.clockMs < this.leaseUntilMs) return
      for (const run of [...this.runs.values()]) this.end(run, RunEnd.Lapsed)
    })
  }

  private waitForEnd (limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        limit.dispose()
        this.waiting.delete(finish)
        resolve()
      }
      const limit = this.options.timers.after(limitMs, finish)
      this.waiting.add(finish)
    })
  }

  private end (run: StandInRun, how: RunEnd): void {
    if (!this.drop(run)) return
    this.barred.set(run.task, Math.max(this.barred.get(run.task) ?? 0, run.run))
    this.ends.push({ number: this.nextEnd++, task: run.task, run: run.run, end: how, checkpoint: '' })
    this.options.observer.onEnd(this, run, how)
    for (const finish of [...this.waiting]) finish()
  }

  private drop (run: StandInRun): boolean {
    const key = `${run.task}#${run.run}`
    return this.runs.get(key) === run && this.runs.delete(key)
  }
}

/** Time after which a task that fails does so. */
const FAILS_AFTER_MS = 100
