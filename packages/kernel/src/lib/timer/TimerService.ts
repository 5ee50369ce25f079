/**
 * The timer service: the only source of time for every other part.
 */

/** A timer that can be cancelled. @public */
export interface Subscription {
  dispose (): void
}

/** Time and timers. @public */
export interface TimerService {
  /** Returns monotonic time in milliseconds; only differences have a meaning. */
  now (): number
  /** Returns wall-clock time in milliseconds since 1970, for display and maintenance windows. */
  wallClock (): number
  /** Calls back once after a delay in milliseconds. */
  after (delayMs: number, callback: () => void): Subscription
  /** Calls back on a period in milliseconds until it is disposed. */
  every (periodMs: number, callback: () => void): Subscription
}

/**
 * Resolves after a delay.
 *
 * @param timers - the service that keeps the delay.
 * @public
 */
export function delay (timers: TimerService, delayMs: number): Promise<void> {
  return new Promise((resolve) => { timers.after(delayMs, resolve) })
}
