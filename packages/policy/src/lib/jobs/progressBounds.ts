/**
 * How much room the progress of a job may take at worst, in its smallest form.
 *
 * This answers jobs so wide that their progress could not be kept: they are refused before they are accepted.
 */
import type { JobSpec } from '@vanillathread/model'

/** Bytes of a job's progress beside its occurrences. */
const JOB_BYTES = 256

/** Bytes of an occurrence beside its steps, and of a step beside its tasks: its lists, sets and their lengths. */
const OCCURRENCE_BYTES = 64
const STEP_BYTES = 32

/** Bytes of one value, which is a number of failed runs and the number of a run, and of a set beside its content. */
const VALUE_BYTES = 12
const SET_BYTES = 8

/**
 * Returns the bytes that the smallest form of a job's progress takes at the most, in one row of the store, while one occurrence is open. More are open at
 * once only if they are small; see `getMaxOpenOccurrences`. Nothing has to be stored of long-running tasks. @public
 */
export function getMaxSmallestProgressBytes ({ steps }: JobSpec, maxAttempts: number): number {
  return steps.reduce((sum, { taskCount, longRunning }) => sum + (longRunning ? 0 : getStepBytes(taskCount, maxAttempts)), JOB_BYTES + OCCURRENCE_BYTES)
}

/** A bit for each task that is done, and the number of failed runs of each task, of which there are fewer than attempts. */
function getStepBytes (taskCount: number, maxAttempts: number): number {
  const values = Math.min(taskCount, Math.max(0, maxAttempts - 1))
  const sets = values === 0 ? 0 : Math.floor(Math.log2(values)) + 1
  const setBytes = Math.ceil(taskCount / 8)
  return STEP_BYTES + setBytes + sets * (setBytes + SET_BYTES) + values * VALUE_BYTES
}
