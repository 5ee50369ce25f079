/**
 * A fault found in an operator's file.
 */
import { ResultCode, RESULT_CODES } from '../result/ResultCode.js'

/** One fault, with its place in the file. @public */
export interface Fault {
  readonly code: ResultCode
  /** File name as the operator gave it. */
  readonly file: string
  /** Line, counted from 1. */
  readonly line: number
  /** Path of keys from the root, such as `pools.2.id`. */
  readonly path: string
  /** Value or key that the file holds at the path, as text. */
  readonly found: string
  /** Description of the values that are allowed at the path. */
  readonly allowed: string
}

/**
 * Formats a fault as one line.
 *
 * @example `rules.yaml:12: [1002] budgets.0.minAvailable: Value does not match the schema; found "x", allowed: number`
 * @public
 */
export function formatFault (fault: Fault): string {
  const place = `${fault.file}:${fault.line}`
  const title = RESULT_CODES[fault.code].title
  return `${place}: [${fault.code}] ${fault.path}: ${title}; found ${fault.found}, allowed: ${fault.allowed}`
}

/** Compares faults by file, line and path, for sorting. @public */
export function compareFaults (a: Fault, b: Fault): number {
  return a.file.localeCompare(b.file) || a.line - b.line || a.path.localeCompare(b.path)
}
