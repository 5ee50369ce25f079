/**
 * Waits for a condition in tests.
 */

const POLL_MS = 10
const LIMIT_MS = 60_000

/** Waits until the condition holds. Throws after a limit that is far above any expected time. */
export async function waitUntil (what: string, holds: () => boolean): Promise<void> {
  for (let waitedMs = 0; !holds(); waitedMs += POLL_MS) {
    if (waitedMs >= LIMIT_MS) throw new Error(`waited in vain until ${what}`)
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}
