/**
 * Interface to the log of numbered events, and a log in memory.
 */
import { EventCode, EVENTS } from '@vanillathread/model'

/** Values that accompany an event. They must never hold a request body, a header value or a secret. @public */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Receives log events. @public */
export interface EventLog {
  /** Logs one event, with the level and message of its code. */
  write (code: EventCode, fields?: EventFields): void
}

/** One event that {@link MemoryEventLog} keeps. @public */
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
