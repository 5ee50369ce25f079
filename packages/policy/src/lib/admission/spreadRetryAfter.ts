/**
 * Retry delays that differ from job to job.
 *
 * This answers the requests that are refused together, as when the store falls silent during a burst: with equal delays they
 * would all return at the same moment, a thundering herd.
 */
import { createHash } from 'node:crypto'

/** Time over which the returns are spread, in milliseconds. */
const SPREAD_MS = 1_000

/** Largest value of the hash bytes that are used, plus one. */
const HASH_RANGE = 2 ** 32

/**
 * Returns a delay at most half a second shorter or longer than `retryAfterMs`, the same for a job at every daemon.
 *
 * @param key - the job's id.
 * @param retryAfterMs - mean delay, in milliseconds; at least half of the spread.
 * @public
 */
export function spreadRetryAfter (key: string, retryAfterMs: number): number {
  const share = createHash('md5').update(key).digest().readUInt32BE(0) / HASH_RANGE
  return Math.round(retryAfterMs + (share - 0.5) * SPREAD_MS)
}
