/**
 * Pause of a VM, which gets no new tasks meanwhile so that they start on others.
 *
 * This answers two loads: VMs that fail or slow down tasks while others work, and tasks that have a place on paused VMs only. The latter start there
 * after a bounded time, as no other VM becomes free for them.
 */

/**
 * Time from the begin of a pause, or a failure during it, after which the VM may get tasks that have no place on any other. A long-running task
 * must be at work again within 6 s.
 */
const LAST_RESORT_AFTER_MS = 2_000

/** Why a VM is paused. @public */
export enum PauseReason {
  /** It refused an order. */
  Refusal = 'order was refused',
  /** Runs of several jobs are overdue there. */
  OverdueRuns = 'tasks of several jobs are overdue',
  /** Tasks of several jobs failed there. */
  Failures = 'tasks of several jobs failed',
}

/** Pause of one VM. @public */
export class VmPause {
  /** Time until which the VM is paused. */
  untilMs = 0
  private lastResortFromMs = Infinity
  private hasFailures = false

  private constructor () {}

  static create (): VmPause {
    return new VmPause()
  }

  isActive (nowMs: number): boolean {
    return nowMs < this.untilMs
  }

  /** Begins a pause, or prolongs the one in progress. */
  begin (reason: PauseReason, forMs: number, nowMs: number): void {
    if (!this.isActive(nowMs)) {
      this.lastResortFromMs = nowMs + LAST_RESORT_AFTER_MS
      this.hasFailures = false
    }
    this.hasFailures ||= reason === PauseReason.Failures
    this.untilMs = Math.max(this.untilMs, nowMs + forMs)
  }

  /** Records that a task failed on the VM, so that a paused one does not get tasks again at once. */
  recordFailure (nowMs: number): void {
    if (this.isActive(nowMs)) this.lastResortFromMs = nowMs + LAST_RESORT_AFTER_MS
  }

  /**
   * Returns true if tasks that have no place on other VMs may start on this one although it is paused. Finite tasks do not where tasks fail, as each
   * failure is one of their attempts.
   */
  allowsLastResort (isLongRunning: boolean, nowMs: number): boolean {
    return this.isActive(nowMs) && nowMs >= this.lastResortFromMs && (isLongRunning || !this.hasFailures)
  }
}
