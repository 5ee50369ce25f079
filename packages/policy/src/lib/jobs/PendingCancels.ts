/**
 * Cancellations that came before their jobs.
 */

/**
 * Time for which a cancellation waits for its job. It is stored after its job, so a later read of the feed returns both again,
 * in this order; only a job whose rows were removed or cannot be decoded does not come at all.
 */
const RETENTION_MS = 60_000

/** Ids of jobs that were cancelled before the owner knew them, for a limited time. @public */
export class PendingCancels {
  /** Times of the cancellations by job id, the earliest first. */
  private readonly cancelledAtMs = new Map<string, number>()

  private constructor () {}

  static create (): PendingCancels {
    return new PendingCancels()
  }

  get size (): number {
    return this.cancelledAtMs.size
  }

  /** Remembers a cancellation, and forgets those of long ago. */
  add (id: string, nowMs: number): void {
    for (const [cancelled, atMs] of this.cancelledAtMs) {
      if (nowMs - atMs < RETENTION_MS) break
      this.cancelledAtMs.delete(cancelled)
    }
    // A repeated cancellation moves to the end of the order.
    this.cancelledAtMs.delete(id)
    this.cancelledAtMs.set(id, nowMs)
  }

  /** Forgets the cancellation of a job. @returns true if there was one. */
  take (id: string): boolean {
    return this.cancelledAtMs.delete(id)
  }
}
