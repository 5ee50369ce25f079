/**
 * Tells whether a VM's tasks are likely to end soon.
 *
 * This answers queues of which a few tasks take several times the mean: a machine that is moved loses the work of the tasks on it, and
 * one that waits for them serves neither pool.
 */
import type { SchedulerState } from '../jobs/SchedulerState.js'
import type { TrackedVm } from '../vms/TrackedVm.js'

/** A run that has taken this multiple of its expected duration is of a long kind, whose end cannot be predicted. */
const LONG_RUN_FACTOR = 2

/**
 * Returns true if the VM has no long-running tasks, and all finite ones are expected to end within `limitMs`.
 * @public
 */
export function canEndWithin (state: SchedulerState, vm: TrackedVm, nowMs: number, limitMs: number): boolean {
  for (const { task: { step }, confirmedAtMs = nowMs } of vm.runs.values()) {
    if (step.spec.longRunning) return false
    const expectedMs = state.estimates.getTaskMs(step.occurrence.job.accepted.queue, step.spec.estimateMs)
    const elapsedMs = nowMs - confirmedAtMs
    if (elapsedMs > LONG_RUN_FACTOR * expectedMs || expectedMs - elapsedMs > limitMs) return false
  }
  return true
}
