/**
 * Event log that writes JSON lines to standard output. It never blocks, and its memory is bounded: lines that
 * exceed the bound are dropped and their number is logged.
 */
import pino from 'pino'
import { EventCode, EventLevel, EVENTS } from '@vanillathread/model'
import type { EventFields, EventLog } from './EventLog.js'

/** Buffered bytes from which a write begins without waiting for the periodic flush. */
const MIN_WRITE_BYTES = 2_048

/** Largest write: a pipe takes this many bytes atomically, so no reader sees part of a line. */
const MAX_WRITE_BYTES = 4_096

/** Largest number of bytes that wait for the reader of standard output; further lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576

const FLUSH_PERIOD_MS = 1_000

/** Shortest time between two reports of dropped lines, so that they do not crowd out other lines while the reader is slow. */
const MIN_REPORT_GAP_MS = 1_000

/** File descriptor of standard output. */
const STDOUT = 1

/** Options of {@link JsonEventLog.create}. @public */
export interface JsonEventLogOptions {
  /** Fields that every line has. */
  readonly fields: EventFields
  /** File descriptor to write to; standard output if absent. For tests. */
  readonly fd?: number
}

/** Writes events with pino. @public */
export class JsonEventLog implements EventLog {
  /** Number of lines that were dropped because the reader of standard output did not keep up, and are not reported yet. */
  private unreportedDrops = 0
  /** Monotonic time of the last report of dropped lines, in milliseconds. */
  private reportedAtMs = -Infinity
  private readonly destination: ReturnType<typeof pino.destination>
  private readonly logger: pino.Logger

  private constructor (options: JsonEventLogOptions) {
    this.destination = pino.destination({
      dest: options.fd ?? STDOUT, sync: false, minLength: MIN_WRITE_BYTES, maxWrite: MAX_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_PERIOD_MS,
    })
    this.destination.on('drop', () => { this.unreportedDrops += 1 })
    this.logger = pino({ base: options.fields, timestamp: pino.stdTimeFunctions.isoTime, messageKey: 'message' }, this.destination)
  }

  static create (options: JsonEventLogOptions): JsonEventLog {
    return new JsonEventLog(options)
  }

  write (code: EventCode, fields: EventFields = {}): void {
    const accepted = this.append(code, fields)
    if (accepted && performance.now() - this.reportedAtMs >= MIN_REPORT_GAP_MS) this.reportDrops()
  }

  /** Resolves when all lines logged so far have been written to the file descriptor. */
  async flush (): Promise<void> {
    this.reportDrops()
    // The first flush may end while less than MIN_WRITE_BYTES is still buffered; the second writes that.
    for (let call = 0; call < 2; call++) await new Promise<void>((resolve) => { this.destination.flush(() => resolve()) })
  }

  /** Logs the number of lines that were dropped since the last report, unless this line is dropped as well. */
  private reportDrops (): void {
    const lines = this.unreportedDrops
    if (lines === 0) return
    this.unreportedDrops = 0
    if (this.append(EventCode.LogReaderSlow, { lines })) this.reportedAtMs = performance.now()
    else this.unreportedDrops = lines
  }

  /** Appends a line to the buffer. Returns false if the line was dropped. */
  private append (code: EventCode, fields: EventFields): boolean {
    const dropsBefore = this.unreportedDrops
    const { level, message } = EVENTS[code]
    this.logger[toMethod(level)]({ event: code, ...fields }, message)
    return this.unreportedDrops === dropsBefore
  }
}

function toMethod (level: EventLevel): 'debug' | 'info' | 'warn' | 'error' {
  return level
}
