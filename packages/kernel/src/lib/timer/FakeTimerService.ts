/**
 * A timer service whose time moves only when a test says so.
 */
import type { Subscription, TimerService } from './TimerService.js'

interface PendingTimer {
  dueMs: number
  readonly order: number
  readonly periodMs?: number
  readonly callback: () => void
}

/** Manual time for tests. @public */
export class FakeTimerService implements TimerService {
  private nowMs = 0
  private nextOrder = 0
  private readonly timers = new Set<PendingTimer>()

  private constructor (private readonly wallClockStartMs: number) {}

  static create (options: { wallClockStartMs?: number } = {}): FakeTimerService {
    return new FakeTimerService(options.wallClockStartMs ?? 0)
  }

  now (): number {
    return this.nowMs
  }

  wallClock (): number {
    return this.wallClockStartMs + this.nowMs
  }

  after (delayMs: number, callback: () => void): Subscription {
    return this.add({ dueMs: this.nowMs + delayMs, order: this.nextOrder++, callback })
  }

  every (periodMs: number, callback: () => void): Subscription {
    return this.add({ dueMs: this.nowMs + periodMs, order: this.nextOrder++, periodMs, callback })
  }

  /** Moves time forward and runs due timers in order; promises get turns between timers. */
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

/** Lets every promise that can settle do so: a turn of the event loop comes after all of them. */
function settle (): Promise<void> {
  return new Promise((resolve) => { setImmediate(resolve) })
}
