/**
 * Decoding of values that other programs have written.
 */
import { z } from 'zod'
import { Result } from './Result.js'

/** Longest reason of a rejected value. A list with thousands of faults has one issue for each. */
const MAX_REASON_LENGTH = 300

/**
 * Decodes a value. It never throws: a value on which the schema itself fails, for example as it is too deep for the stack, is
 * rejected like any other, so that the values beside it hold.
 *
 * @returns the decoded value, or the reason why it is rejected.
 * @public
 */
export function decodeBySchema<T> (schema: z.ZodType<T>, value: unknown): Result<T, string> {
  try {
    const res = schema.safeParse(value)
    return res.success ? Result.ok(res.data) : Result.err(z.prettifyError(res.error).slice(0, MAX_REASON_LENGTH))
  } catch (err) {
    // The message may quote the value, which must not be logged.
    return Result.err(`decoding failed: ${err instanceof Error ? err.name : typeof err}`)
  }
}
