/**
 * The progress of a job as its owner writes it to the store, in a row beside the accepted job.
 */
import type { JobState } from '@vanillathread/model'
import type { IndexRange } from './IndexRanges.js'
import type { CodedValues } from './indexSets.js'
import type { TaskCrash } from './TrackedTask.js'

/** Progress of one occurrence that has not ended. @public */
export interface OccurrenceProgress {
  readonly index: number
  /** For each step with done tasks: the index of the step, and the indexes of these tasks. */
  readonly done: ReadonlyArray<readonly [number, readonly number[]]>
  /** For each step with many done tasks: its index, and a bit for each task, the lowest bit of the first byte being that of task 0. */
  readonly doneBits?: ReadonlyArray<readonly [number, Uint8Array]>
  /** For each task with failed runs: the index of its step, its own index, and the numbers of these runs. */
  readonly failed: ReadonlyArray<readonly [number, number, readonly number[]]>
  /** For each task that may have crashed VMs: the index of its step, its own index, and these crashes. */
  readonly crashed?: ReadonlyArray<readonly [number, number, readonly TaskCrash[]]>
  /** For each step with many failed tasks: its index, and the numbers of the failed runs of these tasks. */
  readonly failedSets?: ReadonlyArray<readonly [number, CodedValues<readonly number[]>]>
  /** In place of both: the index of a step; of its tasks, how many runs have failed, and the number up to which failed runs count already. */
  readonly failedCounts?: ReadonlyArray<readonly [number, CodedValues<readonly [count: number, upToRun: number]>]>
  /** In place of `crashed`: the index of a step, and the crashes of its tasks; see {@link JobProgress.crashVms}. */
  readonly crashedSets?: ReadonlyArray<readonly [number, CodedValues<readonly number[]>]>
}

/** Progress of a job. @public */
export interface JobProgress {
  readonly state: JobState
  /** Occurrences that are partly done and have not ended; empty if `state` is final. */
  readonly occurrences: readonly OccurrenceProgress[]
  /** Indexes of the occurrences that have ended; empty if `state` is final. */
  readonly finished: readonly number[]
  /** Further indexes of occurrences that have ended, if there are many; see {@link IndexRange}. */
  readonly finishedRanges?: readonly IndexRange[]
  /** VMs that `crashedSets` refers to: a crash is the position of its VM, doubled, and one more if it was confirmed. */
  readonly crashVms?: readonly string[]
  /** Store clock in milliseconds at which the owner first found that the job had ended; absent until then. */
  readonly endedAtMs?: number
}
