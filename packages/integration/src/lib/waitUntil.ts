/**
 * Waits for a condition, for tests.
 */

const POLL_MS = 10
/** Far above the expected duration of any wait. */
const LIMIT_MS = 60_000

/** Waits until `isMet` returns true. Throws an error that names the condition if the limit is reached. */
export async function waitUntil (condition: string, isMet: () => boolean): Promise<void> {
  for (let waitedMs = 0; !isMet(); waitedMs += POLL_MS) {
    if (waitedMs >= LIMIT_MS) throw new Error(`timed out waiting until ${condition}`)
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}
