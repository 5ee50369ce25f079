/**
 * The owner's connection to one VM: renews the VM's lease, receives its reports and sends it orders.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode, exhaustiveSwitchError, OrderRefusal } from '@vanillathread/model'
import { OrderKind, PauseReason, RunPhase, StartOutcome, TRIAL_MS, type JobScheduler, type Order, type TrackedRun, type TrackedVm } from '@vanillathread/policy'
import { VmAnswerKind, type RunReference, type VmAnswer, type VmClient } from '@vanillathread/ports'
import { taskOptions } from './jobOptions.js'
import { readMoment } from './OwnershipProver.js'

/** Options of {@link VmSession.create}. */
export interface VmSessionOptions {
  readonly vm: TrackedVm
  readonly client: VmClient
  readonly scheduler: JobScheduler
  readonly timers: TimerService
  readonly log: EventLog
  readonly fencingToken: number
  readonly leaseMs: number
  /** Called after a change that planning or committing may act on. */
  onChange (): void
  /** Called if the VM has seen a higher fencing token. */
  onFenced (vmId: string): void
  /** Called if another VM answers at the address. */
  onReplaced (vmId: string): void
  /** Called if the VM refused the start of a run because of its ticket. */
  onTicketRefused (run: TrackedRun, ticket: string): void
  /** Called if an unresponsive VM answers again; `unresponsiveForMs` is the time for which it was. */
  onResponsive (vmId: string, unresponsiveForMs: number): void
}

/** Makes the calls to one VM. */
export class VmSession {
  private disposed = false
  /** Number of consecutive renewals that failed. */
  private lostRenewals = 0
  /** Ends the wait for a commit, if there is one. */
  private resolveCommitWait: (() => void) | undefined

  private constructor (private readonly options: VmSessionOptions) {}

  static create (options: VmSessionOptions): VmSession {
    return new VmSession(options)
  }

  /** Renews the lease and applies reports until the session is disposed. */
  async run (): Promise<void> {
    const { vm, timers } = this.options
    while (!this.disposed) {
      if (!await this.tryToRenew()) await delay(timers, taskOptions.failedSessionRetryMs)
      if (this.disposed) return
      // A VM lists its end entries again until they are acknowledged, so the next long poll waits for their commit.
      // The VM gets no lease until the recorded end of its former one is withdrawn.
      if (vm.appliedEnd > vm.acknowledgedEnd || (vm.unresponsiveSinceMs === undefined && !vm.mayBeLeased)) await this.waitForCommit()
      // A VM that answers is not reconciled while jobs of its runs are being read from the store.
      else if (vm.unresponsiveSinceMs !== undefined || !vm.isReconciled) await delay(timers, taskOptions.unresponsiveRetryMs)
    }
  }

  /** Resumes renewals after a commit, which may have stored this VM's end entries. */
  resumeAfterCommit (): void {
    this.resolveCommitWait?.()
  }

  async execute (order: Order): Promise<void> {
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
    this.resolveCommitWait?.()
    this.options.client.dispose()
  }

  /**
   * Renews the lease. If the handling of the answer fails, the VM counts as unresponsive, so that its runs end with its lease and starts in
   * its pool do not wait for it.
   *
   * @returns false if the handling failed.
   */
  private async tryToRenew (): Promise<boolean> {
    const { vm, log, scheduler, timers } = this.options
    try {
      await this.renew()
      return true
    } catch (err) {
      log.write(EventCode.VmCallFailed, { vm: vm.id, call: 'renew', reason: String(err) })
      if (!this.disposed) scheduler.markUnresponsive(vm, timers.now())
      return false
    }
  }

  private async renew (): Promise<void> {
    const { vm, client, scheduler, timers, fencingToken, leaseMs } = this.options
    const sentAtMs = timers.now()
    const bornMs = vm.answeringBornMs
    const answer = await client.renew({
      fencingToken,
      bornMs,
      leaseUntilMs: vm.knowsClock && vm.mayBeLeased && scheduler.ownership.mayAct(readMoment(timers)) ? vm.extendLease(sentAtMs, leaseMs) : undefined,
      acknowledgedEnd: vm.acknowledgedEnd,
      waitMs: this.lostRenewals > 0 ? 0 : this.getPollWaitMs(),
    })
    if (this.disposed) return
    if (answer.kind === VmAnswerKind.Done) {
      this.lostRenewals = 0
      const { unresponsiveSinceMs } = vm
      scheduler.applyReport(vm, answer.value, sentAtMs, timers.now())
      if (unresponsiveSinceMs !== undefined) this.options.onResponsive(vm.id, timers.now() - unresponsiveSinceMs)
      this.options.onChange()
      return
    }
    this.applyFailure(answer, bornMs)
  }

  /** Returns the longest wait of the next long poll: short if the VM's tasks or their stops must be followed closely. */
  private getPollWaitMs (): number {
    const { vm, timers, scheduler } = this.options
    if (!vm.isReconciled || !vm.mayBeLeased) return 0
    if (vm.isOnTrial) return taskOptions.startingRenewWaitMs
    const nowMs = timers.now()
    let hasLatencySensitiveTasks = false
    let hasBestEffortTasks = false
    let hasFiniteTasks = false
    for (const run of vm.runs.values()) {
      if (run.phase === RunPhase.Unknown || (run.phase === RunPhase.Stopping && run.confirmedAtMs === undefined)) return 0
      const { spec } = run.task.step
      // Other tasks of the step may be evacuated from their VMs only once this one is known to be running.
      if (spec.longRunning && run.percent < 100 && nowMs - run.orderedAtMs < taskOptions.startingMs) return taskOptions.startingRenewWaitMs
      hasLatencySensitiveTasks ||= spec.targetMs !== undefined
      hasBestEffortTasks ||= spec.fills
      hasFiniteTasks ||= !spec.longRunning
    }
    return hasFiniteTasks || (hasLatencySensitiveTasks && hasBestEffortTasks) || scheduler.isEvacuatingLongRunningTasks(vm.entry.pool) ? taskOptions.shortRenewWaitMs : taskOptions.renewWaitMs
  }

  private async waitForCommit (): Promise<void> {
    const waited = new Promise<void>((resolve) => { this.resolveCommitWait = resolve })
    await Promise.race([waited, delay(this.options.timers, taskOptions.unresponsiveRetryMs)])
    this.resolveCommitWait = undefined
  }

  private async start (run: TrackedRun, ticket: string | undefined): Promise<void> {
    const { vm, client, scheduler, timers, leaseMs } = this.options
    const { task } = run
    const reference = this.toReference(run)
    // The process or its VM may have stood still since the plan.
    if (!scheduler.ownership.mayAct(readMoment(timers))) {
      scheduler.applyStart(run, StartOutcome.Refused, timers.now(), 'ownership is not proven')
      return
    }
    const answer = await client.start({
      ...reference,
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
        if (run === vm.trialRuns.at(-1)) timers.after(TRIAL_MS, () => { this.endTrial(run) })
        return
      case VmAnswerKind.Unknown:
        scheduler.applyStart(run, StartOutcome.Unknown, nowMs, answer.reason)
        return
      case VmAnswerKind.Refused:
        scheduler.applyStart(run, StartOutcome.Refused, nowMs, answer.refusal)
        if (answer.refusal === OrderRefusal.NoTicket && ticket !== undefined) this.options.onTicketRefused(run, ticket)
        else this.applyRefusal(answer.refusal, reference.bornMs)
        this.options.onChange()
    }
  }

  /** Calls the VM after the start of a trial's last run, as an answer shows that the VM has not crashed. */
  private async endTrial (run: TrackedRun): Promise<void> {
    const { vm, client, scheduler, timers } = this.options
    if (this.disposed || !vm.isOnTrial) return
    const answer = await client.pace({ ...this.toReference(run), percent: FULL_PACE_PERCENT })
    if (!this.disposed && answer.kind === VmAnswerKind.Done) scheduler.recordAnswer(vm, timers.now())
  }

  private async stop (run: TrackedRun): Promise<void> {
    const reference = this.toReference(run)
    const answer = await this.options.client.stop(reference)
    if (this.disposed) return
    this.options.scheduler.applyStop(run, answer.kind === VmAnswerKind.Done, this.options.timers.now())
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal, reference.bornMs)
  }

  private async pace (run: TrackedRun, percent: number): Promise<void> {
    const reference = this.toReference(run)
    const answer = await this.options.client.pace({ ...reference, percent })
    if (this.disposed) return
    // The pace in force on the VM is unknown; pace control sends it again after the next report.
    if (answer.kind !== VmAnswerKind.Done) run.orderedPacePercent = Number.NaN
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal, reference.bornMs)
  }

  private toReference (run: TrackedRun): RunReference {
    const { vm, fencingToken } = this.options
    return { task: run.name, run: run.number, fencingToken, bornMs: vm.answeringBornMs }
  }

  private applyFailure (answer: VmAnswer<unknown>, calledBornMs: number | undefined): void {
    const { vm, scheduler, timers } = this.options
    this.lostRenewals += 1
    // One lost answer does not make a VM unresponsive: the next renewal, which is sent without a wait, shows whether the VM
    // responds.
    if (answer.kind === VmAnswerKind.Refused || this.lostRenewals >= taskOptions.lostRenewalsUntilUnresponsive || !vm.isReconciled) scheduler.markUnresponsive(vm, timers.now())
    if (answer.kind === VmAnswerKind.Refused) this.applyRefusal(answer.refusal, calledBornMs)
    this.options.onChange()
  }

  private applyRefusal (refusal: OrderRefusal, calledBornMs: number | undefined): void {
    const { vm, timers } = this.options
    if (refusal === OrderRefusal.Fenced) this.options.onFenced(vm.id)
    else if (refusal === OrderRefusal.OtherIncarnation) this.options.onReplaced(vm.id)
    else if (refusal === OrderRefusal.Restarted) vm.suspectRestart(calledBornMs, timers.now())
    else if (refusal !== OrderRefusal.OldRun) vm.pause.begin(PauseReason.Refusal, REFUSAL_PAUSE_MS, timers.now())
  }
}

/** Pace of a run from its start on, so that an order for it changes nothing. */
const FULL_PACE_PERCENT = 100

/**
 * Time for which a VM that refused a call gets no new runs: long enough for a few renewals, which refresh the owner's view
 * of the VM.
 */
const REFUSAL_PAUSE_MS = 500
