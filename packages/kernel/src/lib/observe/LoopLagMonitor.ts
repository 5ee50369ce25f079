/**
 * Measures the lag of the event loop: how late it runs timers.
 */
import { EventCode } from '@vanillathread/model'
import type { Subscription, TimerService } from '../timer/TimerService.js'
import type { EventLog } from './EventLog.js'
import type { Metrics } from './Metrics.js'

const SAMPLE_PERIOD_MS = 500
/** Lag from which an event is logged. */
const HIGH_LAG_MS = 200

/** Publishes the event loop's lag as the gauge `loop.lag_ms`, and logs an event if it is high. @public */
export class LoopLagMonitor {
  private lastTickMs: number
  private currentLagMs = 0
  private readonly subscription: Subscription

  private constructor (
    private readonly timers: TimerService,
    private readonly log: EventLog,
    private readonly metrics: Metrics
  ) {
    this.lastTickMs = timers.now()
    this.subscription = timers.every(SAMPLE_PERIOD_MS, () => this.sample())
  }

  static create (options: { timers: TimerService, log: EventLog, metrics: Metrics }): LoopLagMonitor {
    return new LoopLagMonitor(options.timers, options.log, options.metrics)
  }

  /** Lag at the latest sample, in milliseconds. */
  get lagMs (): number {
    return this.currentLagMs
  }

  dispose (): void {
    this.subscription.dispose()
  }

  private sample (): void {
    const nowMs = this.timers.now()
    this.currentLagMs = Math.max(0, nowMs - this.lastTickMs - SAMPLE_PERIOD_MS)
    this.lastTickMs = nowMs
    this.metrics.gauge('loop.lag_ms', this.currentLagMs)
    if (this.currentLagMs >= HIGH_LAG_MS) this.log.write(EventCode.LoopLagHigh, { lagMs: Math.round(this.currentLagMs) })
  }
}
