/**
 * Numbered log events.
 */
import { EventCode, EVENTS } from '@vanillathread/model'

/** Values that accompany an event. Never a request body, header value or secret. @public */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Where events go. @public */
export interface EventLog {
  write (code: EventCode, fields?: EventFields): void
}

/** One event as kept by {@link MemoryEventLog}. @public */
export interface EventRecord {
  readonly code: EventCode
  readonly message: string
  readonly fields: EventFields
}

/** Keeps events in memory, for tests. @public */
export class MemoryEventLog implements EventLog {
  readonly records: EventRecord[] = []

  private constructor () {}

  static create (): MemoryEventLog {
    return new MemoryEventLog()
  }

  write (code: EventCode, fields: EventFields = {}): void {
    this.records.push({ code, message: EVENTS[code].message, fields })
  }
}
