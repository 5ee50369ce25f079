/**
 * Event log that writes with consola: text on a terminal, JSON lines elsewhere.
 */
import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola'
import { EventCode, EVENTS, exhaustiveSwitchError, LogLevel } from '@vanillathread/model'
import type { EventFields, EventLog } from './EventLog.js'

/** Writes events to the standard streams. @public */
export class ConsolaEventLog implements EventLog {
  private constructor (private readonly consola: ConsolaInstance) {}

  /**
   * @param options - `json` selects JSON lines; by default they are used if standard output is not a terminal.
   */
  static create (options: { level: LogLevel, json?: boolean }): ConsolaEventLog {
    const json = options.json ?? process.stdout.isTTY !== true
    const level = toConsolaLevel(options.level)
    return new ConsolaEventLog(createConsola(json ? { level, reporters: [jsonReporter] } : { level }))
  }

  write (code: EventCode, fields: EventFields = {}): void {
    const { level, message } = EVENTS[code]
    this.consola[level]({ message: `[${code}] ${message}`, args: [{ event: code, ...fields }] })
  }
}

const jsonReporter: ConsolaReporter = {
  log (entry) {
    const [message, fields] = entry.args
    const line = { time: entry.date.toISOString(), level: entry.type, message, ...fields }
    process.stdout.write(JSON.stringify(line) + '\n')
  },
}

function toConsolaLevel (level: LogLevel): number {
  switch (level) {
    case LogLevel.Debug: return LogLevels.debug
    case LogLevel.Info: return LogLevels.info
    case LogLevel.Warn: return LogLevels.warn
    case LogLevel.Error: return LogLevels.error
    default: throw exhaustiveSwitchError(level)
  }
}
