/**
 * The owner's link to one VM: renews its lease, hears its lists, carries orders.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { exhaustiveSwitchError, OrderRefusal } from '@vanillathread/model'
import { OrderKind, RunPhase, StartOutcome, type JobScheduler, type Order, type TrackedRun, type TrackedVm } from '@vanillathread/policy'
import { VmAnswerKind, type RunReference, type VmAnswer, type VmClient } from '@vanillathread/ports'
import { taskOptions } from './jobOptions.js'

/** Options of {@link VmSession.create}. */
export interface VmSessionOptions {
  readonly vm: TrackedVm
  readonly client: VmClient
  readonly scheduler: JobScheduler
  readonly timers: TimerService
  readonly fencingToken: number
  readonly leaseMs: number
  /** Called after something has changed that planning or committing may act on. */
  onChange (): void
  /** Called where the VM has seen a higher fencing token. */
  onFenced (vmId: string): void
  /** Called where another VM answers at the address. */
  onReplaced (vmId: string): void
  /** Called where a VM answers after silence. */
  onAnswers (vmId: string, silentMs: number): void
}

/** Calls to one VM. */
export class VmSession {
  private disposed = false
  /** Renewals in a row that got no answer. */
  private lostRenewals = 0
  /** Resolves the wait for a commit. */
  private wake: (() => void) | undefined

  private constructor (private readonly options: VmSessionOptions) {}

  static create (options: VmSessionOptions): VmSession {
    return new VmSession(options)
  }

  /** Renews the lease and takes in reports until it is disposed. */
  async run (): Promise<void> {
    const { vm, timers } = this.options
    while (!this.disposed) {
      await this.renew()
      if (this.disposed) return
      // A VM lists its ends again until they are noted, so the next look waits for the commit.
      if (vm.appliedEnd > vm.notedEnd) await this.waitForCommit()
      else if (vm.silentSinceMs !== undefined) await delay(timers, taskOptions.silentRetryMs)
    }
  }

  /** Tells the session that ends may have been noted. */
  noteCommit (): void {
    this.wake?.()
  }

  async carryOut (order: Order): Promise<void> {
    if (this.disposed) return
    switch (order.kind) {
      case OrderKind.Start: return this.start(order.run, order.ticket)
      case OrderKind.Stop: return this.stop(order.run)
      case OrderKind.Pace: return this.pace(order.run, order.percent)
      default: throw exhaustiveSwitchError(order)
    }
  }

  dispose (): void {
    this.disposed = true
    this.wake?.()
    this.options.client.dispose()
  }

  private async renew (): Promise<void> {
    const { vm, client, scheduler, timers, fencingToken, leaseMs } = this.options
    const sentAtMs = timers.now()
    const answer = await client.renew({
      fencingToken,
      // A lease that is given to a silent VM may have arrived, so giving more would put off the time at which it has surely ended.
      leaseUntilMs: vm.knowsClock && vm.silentSinceMs === undefined ? vm.extendLease(sentAtMs, leaseMs) : undefined,
      notedEnd: vm.notedEnd,
      waitMs: this.lostRenewals > 0 ? 0 : this.getWaitMs(),
    })
    if (this.disposed) return
    if (answer.kind === VmAnswerKind.Done) {
      this.lostRenewals = 0
      const { silentSinceMs } = vm
      scheduler.applyReport(vm, answer.value, sentAtMs, timers.now())
      if (silentSinceMs !== undefined) this.options.onAnswers(vm.id, timers.now() - silentSinceMs)
      this.options.onChange()
      return
    }
    this.applyFailure(answer)
  }

  private getWaitMs (): number {
    const { vm, timers, scheduler } = this.options
    if (!vm.heard) return 0
    const nowMs = timers.now()
    let serves = false
    let fills = false
    let ends = false
    for (const run of vm.runs.values()) {
      if (run.phase === RunPhase.Unsure || (run.phase === RunPhase.Stopping && run.confirmedAtMs === undefined)) return 0
      const { spec } = run.task.step
      // Others of its step may leave their VMs only once this one is seen at work.
      if (spec.longRunning && run.percent < 100 && nowMs - run.orderedAtMs < taskOptions.startingMs) return taskOptions.startingRenewWaitMs
      serves ||= spec.targetMs !== undefined
      fills ||= spec.fills
      ends ||= !spec.longRunning
    }
    return ends || (serves && fills) || scheduler.isEmptying(vm.entry.pool) ? taskOptions.watchedRenewWaitMs : taskOptions.renewWaitMs
  }

  private async waitForCommit (): Promise<void> {
    const waited = new Promise<void>((resolve) => { this.wake = resolve })
    await Promise.race([waited, delay(this.options.timers, taskOptions.silentRetryMs)])
    this.wake = undefined
  }

  private async start (run: TrackedRun, ticket: string | undefined): Promise<void> {
    const { vm, client, scheduler, timers, leaseMs } = this.options
    const { task } = run
    const answer = await client.start({
      ...this.refer(run),
      payload: task.step.occurrence.job.accepted.spec.payload,
      leaseUntilMs: vm.extendLease(timers.now(), leaseMs),
      checkpoint: task.step.spec.checkpointing ? task.checkpoint : '',
      ticket,
    })
    if (this.disposed) return
    const nowMs = timers.now()
    switch (answer.kind) {
      case VmAnswerKind.Done:
        scheduler.applyStart(run, StartOutcome.Accepted, nowMs)
        return
      case VmAnswerKind.Unknown:
        scheduler.applyStart(run, StartOutcome.Unknown, nowMs, answer.reason)
        return
      case VmAnswerKind.Refused:
        scheduler.applyStart(run, StartOutcome.Refused, nowMs, answer.refusal)
        this.applyRefusal(answer.refusal)
        this.options.onChange()
    }
  }

  private async stop (run: TrackedRun): Promise<void> {
    const answer = await this.options.client.stop(this.refer(run))
    if (this.disposed) return
    this.options.scheduler.applyStop(run, answer.kind === VmAnswerKind.Done, this.options.timers.now())
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal)
  }

  private async pace (run: TrackedRun, percent: number): Promise<void> {
    const answer = await this.options.client.pace({ ...this.refer(run), percent })
    if (this.disposed) return
    // The share that the VM keeps is not known; the next report's decision sends it again.
    if (answer.kind !== VmAnswerKind.Done) run.pacePercent = Number.NaN
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal)
  }

  private refer (run: TrackedRun): RunReference {
    return { task: run.name, run: run.number, fencingToken: this.options.fencingToken }
  }

  private applyFailure (answer: VmAnswer<unknown>): void {
    const { vm, scheduler, timers } = this.options
    this.lostRenewals += 1
    // One lost answer is no silence: the next look, which does not wait, tells within moments.
    if (answer.kind === VmAnswerKind.Refused || this.lostRenewals >= taskOptions.lostRenewalsToSilence || !vm.heard) scheduler.noteSilence(vm, timers.now())
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal)
    this.options.onChange()
  }

  private applyRefusal (refusal: OrderRefusal): void {
    const { vm, timers } = this.options
    if (refusal === OrderRefusal.Fenced) this.options.onFenced(vm.id)
    else if (refusal === OrderRefusal.OtherLife) this.options.onReplaced(vm.id)
    else if (refusal !== OrderRefusal.OldRun) vm.avoidUntilMs = timers.now() + REFUSED_PAUSE_MS
  }
}

/** Time for which a VM that refused a start gets no other: a few renewals, after which its lists are known anew. */
const REFUSED_PAUSE_MS = 500
