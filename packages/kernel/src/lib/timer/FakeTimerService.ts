/**
 * Timer service whose time moves only when a test advances it.
 */
import type { Subscription, TimerService } from './TimerService.js'

interface PendingTimer {
  dueMs: number
  /** Number in the order of creation, which decides between timers that are due at the same time. */
  readonly order: number
  /** Absent for a timer that runs once. */
  readonly periodMs?: number
  readonly callback: () => void
}

/** Timer service for tests, whose time starts at 0. @public */
export class FakeTimerService implements TimerService {
  private nowMs = 0
  private nextOrder = 0
  private readonly timers = new Set<PendingTimer>()

  private constructor (private wallClockStartMs: number) {}

  static create (options: { wallClockStartMs?: number } = {}): FakeTimerService {
    return new FakeTimerService(options.wallClockStartMs ?? 0)
  }

  now (): number {
    return this.nowMs
  }

  wallClock (): number {
    return this.wallClockStartMs + this.nowMs
  }

  /** Sets the wall clock ahead while the steady clock stands still, as when the VM of a process is suspended. */
  jumpWallClock (byMs: number): void {
    this.wallClockStartMs += byMs
  }

  after (delayMs: number, callback: () => void): Subscription {
    return this.add({ dueMs: this.nowMs + delayMs, order: this.nextOrder++, callback })
  }

  every (periodMs: number, callback: () => void): Subscription {
    return this.add({ dueMs: this.nowMs + periodMs, order: this.nextOrder++, periodMs, callback })
  }

  /** Moves time forward and runs the due timers in order. After each timer, pending promises may settle. */
  async advance (byMs: number): Promise<void> {
    const endMs = this.nowMs + byMs
    for (;;) {
      const timer = this.nextDue(endMs)
      if (timer === undefined) break
      this.nowMs = Math.max(this.nowMs, timer.dueMs)
      if (timer.periodMs === undefined) this.timers.delete(timer)
      else timer.dueMs += timer.periodMs
      timer.callback()
      await settle()
    }
    this.nowMs = endMs
    await settle()
  }

  private add (timer: PendingTimer): Subscription {
    this.timers.add(timer)
    return { dispose: () => { this.timers.delete(timer) } }
  }

  private nextDue (endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined
    for (const timer of this.timers) {
      if (timer.dueMs > endMs) continue
      if (next === undefined || timer.dueMs < next.dueMs || (timer.dueMs === next.dueMs && timer.order < next.order)) next = timer
    }
    return next
  }
}

/** Waits until every promise that can settle has done so, as one turn of the event loop comes after all of them. */
function settle (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}
