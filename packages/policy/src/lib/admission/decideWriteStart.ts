/**
 * Decides whether a row is written at once or waits for the next transaction.
 *
 * This answers a store that is slow: it carries out a few transactions a second for each part, however many rows they hold, and
 * refuses those that would wait too long. Rows that share a transaction are all stored in time, where one transaction for each row would be
 * refused. A store that is well answers within milliseconds, so that rows hardly ever wait.
 */

/** Transactions in flight at the most while the store answers soon. */
const MAX_IN_FLIGHT = 4

/** Time without an answer after which a transaction counts as slow: several times the latency of a store that is well. */
const SLOW_AFTER_MS = 60

/**
 * Returns true if another transaction may be sent now.
 *
 * @param sentAtMs - times at which the unanswered transactions were sent.
 * @public
 */
export function decideWriteStart (sentAtMs: Iterable<number>, nowMs: number): boolean {
  let count = 0
  for (const atMs of sentAtMs) {
    if (nowMs - atMs >= SLOW_AFTER_MS) return false
    count += 1
  }
  return count < MAX_IN_FLIGHT
}
