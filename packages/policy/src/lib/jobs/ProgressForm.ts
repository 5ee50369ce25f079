/**
 * Forms in which the progress of a job is stored. Each takes less room than the one before; the last ones leave out what can be learned again.
 */

/** A form of a job's progress. @public */
export enum ProgressForm {
  /** Task by task, as former builds read it. */
  Listed,
  /** The same content, with tasks whose values are equal in one set. Former builds read the done tasks only. */
  Sets,
  /** Without the tasks that were on one VM only that crashed: a task that crashes VMs is soon on another one. */
  WithoutSingleCrashes,
  WithoutCrashes,
  /** With the number of a task's failed runs in place of their numbers, and the highest of these: a report of an earlier run that comes late does not count. */
  FailureCounts,
  /** The same with the highest number of any task of the step. */
  FailureTotals,
  /** Done tasks only. No job needs it that this build has accepted; see `getMaxSmallestProgressBytes`. */
  DoneOnly,
}

/** All forms, the largest first. @public */
export const PROGRESS_FORMS: readonly ProgressForm[] = [
  ProgressForm.Listed, ProgressForm.Sets, ProgressForm.WithoutSingleCrashes, ProgressForm.WithoutCrashes, ProgressForm.FailureCounts,
  ProgressForm.FailureTotals, ProgressForm.DoneOnly,
]

/** Returns the number of crashes from which a task's crashes are part of a form. */
export function getMinStoredCrashes (form: ProgressForm): number {
  if (form < ProgressForm.WithoutSingleCrashes) return 1
  return form === ProgressForm.WithoutSingleCrashes ? 2 : Infinity
}
