/**
 * Logs when the platform's store is lost and when it answers again.
 */
import type { EventLog, Metrics, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { RowStore } from '@vanillathread/ports'
import { clientOptions } from './jobOptions.js'

/** Options of {@link StoreWatch.create}. */
export interface StoreWatchOptions {
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Every daemon has a feed open at the store, so a store that answers is never silent for long. */
export class StoreWatch {
  private readonly timer: Subscription
  private lostAtMs: number | undefined

  private constructor (private readonly options: StoreWatchOptions) {
    this.timer = options.timers.every(clientOptions.storeWatchPeriodMs, () => this.look())
  }

  static create (options: StoreWatchOptions): StoreWatch {
    return new StoreWatch(options)
  }

  dispose (): void {
    this.timer.dispose()
  }

  private look (): void {
    const { rows, timers, log, metrics } = this.options
    const silentMs = rows.silentForMs()
    if (silentMs >= clientOptions.storeSilentMs && this.lostAtMs === undefined) {
      this.lostAtMs = timers.now() - silentMs
      log.write(EventCode.StoreLost, { silentMs: Math.round(silentMs) })
      metrics.increment('store_losses')
    } else if (silentMs < clientOptions.storeSilentMs && this.lostAtMs !== undefined) {
      log.write(EventCode.StoreRegained, { awayMs: Math.round(timers.now() - silentMs - this.lostAtMs) })
      this.lostAtMs = undefined
    }
  }
}
