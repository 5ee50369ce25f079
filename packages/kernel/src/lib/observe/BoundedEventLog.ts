/**
 * Limits the log lines that one event may write per second, and reports how many were dropped.
 */
import { EventCode } from '@vanillathread/model'
import type { Subscription, TimerService } from '../timer/TimerService.js'
import type { EventFields, EventLog } from './EventLog.js'

/** Length of the window in which lines are counted. */
const WINDOW_MS = 1_000

/** Options of {@link BoundedEventLog.create}. @public */
export interface BoundedEventLogOptions {
  readonly log: EventLog
  readonly timers: TimerService
  /** Largest number of lines that one event may write per second. */
  readonly linesPerSecond: number
  /** Called for every event, written or dropped. */
  onEvent? (code: EventCode): void
}

/** Passes events on to another log, up to a number per second for each event code. @public */
export class BoundedEventLog implements EventLog {
  private readonly counts = new Map<EventCode, number>()
  private readonly windowTimer: Subscription

  private constructor (private readonly options: BoundedEventLogOptions) {
    this.windowTimer = options.timers.every(WINDOW_MS, () => this.closeWindow())
  }

  static create (options: BoundedEventLogOptions): BoundedEventLog {
    return new BoundedEventLog(options)
  }

  write (code: EventCode, fields?: EventFields): void {
    this.options.onEvent?.(code)
    const count = (this.counts.get(code) ?? 0) + 1
    this.counts.set(code, count)
    if (count <= this.options.linesPerSecond) this.options.log.write(code, fields)
  }

  /** Reports the lines dropped in the current window and stops counting. */
  dispose (): void {
    this.closeWindow()
    this.windowTimer.dispose()
  }

  private closeWindow (): void {
    for (const [code, count] of this.counts) {
      const droppedLines = count - this.options.linesPerSecond
      if (droppedLines > 0) this.options.log.write(EventCode.LogLinesDropped, { of: code, lines: droppedLines, inMs: WINDOW_MS })
    }
    this.counts.clear()
  }
}
