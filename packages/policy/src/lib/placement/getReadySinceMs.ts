/**
 * Time from which the wait of a step's tasks counts.
 */
import type { PlacementContext } from '../jobs/startTask.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'

/**
 * Returns the time on the owner's steady clock from which a ready step's tasks wait. It is found when the step is first seen ready,
 * and kept, so that a store that does not answer cannot prolong a wait.
 *
 * A new owner does not know when the last predecessor of a step ended under a previous owner. It then takes the time of the job's
 * acceptance, which is earlier, so that its tasks wait for a shorter time rather than for a longer one.
 */
export function getReadySinceMs (step: TrackedStep, { nowMs, storeNowMs, wallClockMs }: Pick<PlacementContext, 'nowMs' | 'storeNowMs' | 'wallClockMs'>): number {
  step.readySinceMs ??= findReadySinceMs(step, nowMs, storeNowMs, wallClockMs)
  return step.readySinceMs
}

function findReadySinceMs (step: TrackedStep, nowMs: number, storeNowMs: number, wallClockMs: number): number {
  const { spec, occurrence: { job, index, steps } } = step
  const { accepted } = job
  const becameReadyHere = spec.after.length > 0 && (!job.mayHavePreviousRuns || spec.after.some((before) => (steps[before]?.longestMs ?? 0) > 0))
  if (becameReadyHere) return nowMs
  const { repeatCount, firstRunMs, intervalMs } = accepted.spec
  const waitedMs = repeatCount > 0 ? wallClockMs - firstRunMs - index * intervalMs : storeNowMs - accepted.acceptedAtMs
  return nowMs - Math.max(0, waitedMs)
}
