/**
 * Event log as JSON lines on standard output, bounded in memory and never blocking.
 */
import pino from 'pino'
import { EventCode, EventLevel, EVENTS } from '@vanillathread/model'
import type { EventFields, EventLog } from './EventLog.js'

/** Bytes gathered before a write. */
const MIN_WRITE_BYTES = 2_048

/** Largest write: a pipe takes this much whole, so that no reader sees part of a line. */
const MAX_WRITE_BYTES = 4_096

/** Bytes that may wait for a reader of standard output; lines beyond them are dropped. */
const MAX_WAITING_BYTES = 1_048_576

const FLUSH_PERIOD_MS = 1_000

/** Pause after a write that the reader did not take, as the destination waits that long. */
const STDOUT = 1

/** Options of {@link JsonEventLog.create}. @public */
export interface JsonEventLogOptions {
  /** Fields of every line. */
  readonly fields: EventFields
  /** File descriptor, for tests. */
  readonly fd?: number
}

/** Writes events over pino. @public */
export class JsonEventLog implements EventLog {
  /** Lines that were dropped as the reader did not keep up. */
  droppedLines = 0
  private readonly destination: ReturnType<typeof pino.destination>
  private readonly logger: pino.Logger

  private constructor (options: JsonEventLogOptions) {
    this.destination = pino.destination({
      dest: options.fd ?? STDOUT, sync: false, minLength: MIN_WRITE_BYTES, maxWrite: MAX_WRITE_BYTES, maxLength: MAX_WAITING_BYTES, periodicFlush: FLUSH_PERIOD_MS,
    })
    this.destination.on('drop', () => { this.droppedLines += 1 })
    this.logger = pino({ base: options.fields, timestamp: pino.stdTimeFunctions.isoTime, messageKey: 'message' }, this.destination)
  }

  static create (options: JsonEventLogOptions): JsonEventLog {
    return new JsonEventLog(options)
  }

  write (code: EventCode, fields: EventFields = {}): void {
    const { level, message } = EVENTS[code]
    this.logger[toMethod(level)]({ event: code, ...fields }, message)
  }

  /** Resolves once what was written has left the process. */
  async flush (): Promise<void> {
    // The first call ends once less than the smallest write is left.
    for (let call = 0; call < 2; call++) await new Promise<void>((resolve) => { this.destination.flush(() => resolve()) })
  }
}

function toMethod (level: EventLevel): 'debug' | 'info' | 'warn' | 'error' {
  return level
}
