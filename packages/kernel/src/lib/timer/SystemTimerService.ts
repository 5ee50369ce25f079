/**
 * Timer service that uses the clock and event loop of the process.
 */
import { performance } from 'node:perf_hooks'
import type { Subscription, TimerService } from './TimerService.js'

/** Timer service in real time. @public */
export class SystemTimerService implements TimerService {
  private constructor () {}

  static create (): SystemTimerService {
    return new SystemTimerService()
  }

  now (): number {
    return performance.now()
  }

  wallClock (): number {
    return Date.now()
  }

  after (delayMs: number, callback: () => void): Subscription {
    const timer = setTimeout(callback, delayMs)
    return { dispose: () => clearTimeout(timer) }
  }

  every (periodMs: number, callback: () => void): Subscription {
    const timer = setInterval(callback, periodMs)
    return { dispose: () => clearInterval(timer) }
  }
}
