/**
 * Bounds the lines that one event may write in a second, and says how many were left out.
 */
import { EventCode } from '@vanillathread/model'
import type { Subscription, TimerService } from '../timer/TimerService.js'
import type { EventFields, EventLog } from './EventLog.js'

/** Length of the window that a bound holds for. */
const WINDOW_MS = 1_000

/** Options of {@link BoundedEventLog.create}. @public */
export interface BoundedEventLogOptions {
  readonly log: EventLog
  readonly timers: TimerService
  /** Lines of one event in a second. */
  readonly linesPerSecond: number
  /** Told of every event, written or left out. */
  observe? (code: EventCode): void
}

/** Passes events on within a bound. @public */
export class BoundedEventLog implements EventLog {
  private readonly counts = new Map<EventCode, number>()
  private readonly window: Subscription

  private constructor (private readonly options: BoundedEventLogOptions) {
    this.window = options.timers.every(WINDOW_MS, () => this.closeWindow())
  }

  static create (options: BoundedEventLogOptions): BoundedEventLog {
    return new BoundedEventLog(options)
  }

  write (code: EventCode, fields?: EventFields): void {
    this.options.observe?.(code)
    const count = (this.counts.get(code) ?? 0) + 1
    this.counts.set(code, count)
    if (count <= this.options.linesPerSecond) this.options.log.write(code, fields)
  }

  dispose (): void {
    this.closeWindow()
    this.window.dispose()
  }

  private closeWindow (): void {
    for (const [code, count] of this.counts) {
      const left = count - this.options.linesPerSecond
      if (left > 0) this.options.log.write(EventCode.LogLinesDropped, { of: code, lines: left, inMs: WINDOW_MS })
    }
    this.counts.clear()
  }
}
