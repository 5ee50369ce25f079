/**
 * How long ended jobs are kept, and which ones were dropped a short time ago.
 */
import { isFinalState } from '@vanillathread/model'
import type { TrackedJob } from './TrackedJob.js'

/**
 * Time for which a dropped job can't be added again. A read that began before the drop may still return the job, and the
 * longest read of a whole table takes far less than this.
 */
const DROPPED_JOB_RETENTION_MS = 60_000

/** Chooses the ended jobs whose rows can be removed, and remembers the ids of dropped jobs for a while. @public */
export class JobRetention {
  /** Times at which ended jobs were dropped, by id, the earliest first. */
  private readonly droppedAtMs = new Map<string, number>()

  private constructor () {}

  static create (): JobRetention {
    return new JobRetention()
  }

  /** Returns up to `limit` jobs that ended by a time on the store's clock and whose final state is stored. */
  listRemovable (jobs: Iterable<TrackedJob>, endedByMs: number, limit: number): TrackedJob[] {
    const removable: TrackedJob[] = []
    for (const job of jobs) {
      if (removable.length >= limit) break
      if (isFinalState(job.storedState) && job.endedAtMs !== undefined && job.endedAtMs <= endedByMs) removable.push(job)
    }
    return removable
  }

  /** Returns true if the job was dropped a short time ago. */
  isDropped (id: string): boolean {
    return this.droppedAtMs.has(id)
  }

  /** Remembers a dropped job, so that a read that began earlier can't add the job again, and forgets those of long ago. */
  recordDrop (id: string, nowMs: number): void {
    for (const [dropped, atMs] of this.droppedAtMs) {
      if (nowMs - atMs < DROPPED_JOB_RETENTION_MS) break
      this.droppedAtMs.delete(dropped)
    }
    this.droppedAtMs.set(id, nowMs)
  }
}
