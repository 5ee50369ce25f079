/**
 * Decides how many occurrences of a scheduled job are tracked one by one.
 *
 * This answers a load of many occurrences that are due at once, such as those of a schedule whose times have passed. Each tracked occurrence
 * takes memory and, while it is partly done, room in the row of the job's progress, so occurrences are opened in order as others start.
 */
import type { JobSpec } from '@vanillathread/model'

/** Occurrences with tasks to start that are tracked at once: more than the tasks of one job that find room in one plan. */
export const MAX_WAITING_OCCURRENCES = 100

/** Bytes of a job's progress that its open occurrences may take: half of a row, which holds 64 KiB. */
const PROGRESS_BYTES = 32_768

/** Bytes of an occurrence's progress beside its steps, and of a step beside its tasks; a task takes `TASK_BYTES`. */
const OCCURRENCE_BYTES = 20
const STEP_BYTES = 4
const TASK_BYTES = 4

/** Returns the number of a scheduled job's occurrences that are due. They are due in the order of their indexes. */
export function countDueOccurrences ({ repeatCount, firstRunMs, intervalMs }: JobSpec, wallClockMs: number): number {
  if (wallClockMs < firstRunMs) return 0
  if (intervalMs <= 0) return repeatCount
  return Math.min(repeatCount, Math.floor((wallClockMs - firstRunMs) / intervalMs) + 1)
}

/** Returns how many occurrences of a job may be open at once. Long-running tasks have no progress to store. */
export function getMaxOpenOccurrences ({ steps }: JobSpec): number {
  const finite = steps.filter((step) => !step.longRunning)
  if (finite.length === 0) return Infinity
  const bytes = finite.reduce((sum, step) => sum + STEP_BYTES + TASK_BYTES * step.taskCount, OCCURRENCE_BYTES)
  return Math.max(1, Math.floor(PROGRESS_BYTES / bytes))
}
