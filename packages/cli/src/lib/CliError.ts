/**
 * A failure that ends a command.
 */
import { formatFault, RESULT_CODES, ResultCode, type Fault } from '@vanillathread/model'
import { CliExit, getExitStatus } from './exit.js'

/** A failed command with its result code. */
export class CliError extends Error {
  private constructor (readonly code: ResultCode, message: string, readonly exitStatus: CliExit, readonly details: object) {
    super(message)
  }

  /** Builds the error for a result code. */
  static create (code: ResultCode, detail: string, details: object = {}): CliError {
    return new CliError(code, `[${code}] ${RESULT_CODES[code].title}: ${detail}`, getExitStatus(code), details)
  }

  /** Builds the error for faulty files, with one line per fault. */
  static createFromFaults (faults: readonly Fault[]): CliError {
    const [first] = faults
    return new CliError(first?.code ?? ResultCode.SchemaViolation, faults.map(formatFault).join('\n'), CliExit.BadDeclarations, { faults })
  }
}
