/**
 * Logs when the platform's store stops answering and when it answers again.
 */
import type { EventLog, Metrics, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { RowStore } from '@vanillathread/ports'
import { clientOptions } from './jobOptions.js'

/** Options of {@link StoreOutageMonitor.create}. */
export interface StoreOutageMonitorOptions {
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Detects outages of the store. Every daemon keeps a feed open at the store, so a store that is available answers often. */
export class StoreOutageMonitor {
  private readonly timer: Subscription
  private outageStartMs: number | undefined

  private constructor (private readonly options: StoreOutageMonitorOptions) {
    this.timer = options.timers.every(clientOptions.storeCheckPeriodMs, () => this.check())
  }

  static create (options: StoreOutageMonitorOptions): StoreOutageMonitor {
    return new StoreOutageMonitor(options)
  }

  dispose (): void {
    this.timer.dispose()
  }

  private check (): void {
    const { rows, timers, log, metrics } = this.options
    const unansweredMs = rows.getTimeSinceAnswerMs()
    if (unansweredMs >= clientOptions.storeSilentMs && this.outageStartMs === undefined) {
      this.outageStartMs = timers.now() - unansweredMs
      log.write(EventCode.StoreLost, { silentMs: Math.round(unansweredMs) })
      metrics.increment('store_losses')
    } else if (unansweredMs < clientOptions.storeSilentMs && this.outageStartMs !== undefined) {
      log.write(EventCode.StoreRegained, { awayMs: Math.round(timers.now() - unansweredMs - this.outageStartMs) })
      this.outageStartMs = undefined
    }
  }
}
