/**
 * What the store keeps of a job beside the job itself.
 */
import type { JobState } from '@vanillathread/model'

/** Progress of one occurrence. @public */
export interface OccurrenceProgress {
  readonly index: number
  /** Pairs of step and the indexes of its tasks that are done. */
  readonly done: ReadonlyArray<readonly [number, readonly number[]]>
  /** Step, task and the numbers of the runs that failed. */
  readonly failed: ReadonlyArray<readonly [number, number, readonly number[]]>
}

/** Progress of a job. @public */
export interface JobProgress {
  readonly state: JobState
  readonly occurrences: readonly OccurrenceProgress[]
  /** Indexes of the occurrences that have ended. */
  readonly finished: readonly number[]
  /** Store clock in milliseconds at which the job was first found over; left out until then. */
  readonly endedAtMs?: number
}
