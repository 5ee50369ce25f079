/**
 * Interface to time and timers: the only source of time for all other code, so that tests can control it.
 */

/** A running timer. @public */
export interface Subscription {
  /** Cancels the timer. */
  dispose (): void
}

/** Time and timers. @public */
export interface TimerService {
  /** Returns monotonic time in milliseconds. Only differences between two values have a meaning. */
  now (): number
  /** Returns wall-clock time in milliseconds since 1970, for display, maintenance windows and time for which the VM was suspended. */
  wallClock (): number
  /** Calls the function once, after a delay in milliseconds. */
  after (delayMs: number, callback: () => void): Subscription
  /** Calls the function once per period, in milliseconds, until the subscription is disposed of. */
  every (periodMs: number, callback: () => void): Subscription
}

/**
 * Resolves after a delay.
 *
 * @param timers - the service that measures the delay.
 * @public
 */
export function delay (timers: TimerService, delayMs: number): Promise<void> {
  return new Promise((resolve) => { timers.after(delayMs, resolve) })
}
