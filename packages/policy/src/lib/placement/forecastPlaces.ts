/**
 * Forecasts when VMs have room for further tasks, from the expected ends of their runs.
 */
import type { DurationEstimates } from '../jobs/DurationEstimates.js'
import { RunPhase, type TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import type { TrackedVm } from '../vms/TrackedVm.js'

/** Number of done tasks that a queue's mean duration must be based on before waits are based on it. */
export const MIN_SAMPLES = 20

/** Multiple of its expected duration from which a run counts as one whose end cannot be foreseen; 3% of a queue's tasks may take seven times as long. */
const UNFORESEEN_FACTOR = 2

/** Remaining time of a run that has taken longer than expected, as a share of its expected duration. */
const OVERRUN_SHARE = 0.25

/**
 * Returns the expected times from `nowMs` until the VMs have room for one more task of the step, then for a second and so on, in
 * ascending order and up to `horizonMs`. Counts only runs whose end can be foreseen.
 */
export function forecastPlaces (step: TrackedStep, vms: readonly TrackedVm[], estimates: DurationEstimates, { nowMs, horizonMs }: { readonly nowMs: number, readonly horizonMs: number }): number[] {
  const { need, fills, maxTasksPerVm = Infinity } = step.spec
  const placesMs: number[] = []
  const neededMillis = fills ? 0 : need.cpuMillis
  for (const vm of vms) {
    const free = { ...vm.free }
    let stepRuns = vm.countRunsOf(step)
    const takePlaces = (atMs: number): void => {
      while (stepRuns < maxTasksPerVm && free.cpuMillis >= neededMillis && free.memoryMb >= need.memoryMb && free.accelerators >= need.accelerators) {
        free.cpuMillis -= neededMillis
        free.memoryMb -= need.memoryMb
        free.accelerators -= need.accelerators
        stepRuns += 1
        placesMs.push(atMs)
        if (placesMs.length > MAX_PLACES) return
      }
    }
    takePlaces(0)
    for (const [run, leftMs] of listEnds(vm, estimates, nowMs, horizonMs)) {
      const { spec } = run.task.step
      if (!spec.fills) free.cpuMillis += spec.need.cpuMillis
      free.memoryMb += spec.need.memoryMb
      free.accelerators += spec.need.accelerators
      if (run.task.step === step) stepRuns -= 1
      takePlaces(leftMs)
    }
  }
  return placesMs.sort((a, b) => a - b)
}

/** Largest number of places to forecast, which bounds the work for tasks with tiny needs. */
const MAX_PLACES = 1_000

/** Returns the runs of a VM that are expected to end within the horizon, with the time until then, in ascending order. */
function listEnds (vm: TrackedVm, estimates: DurationEstimates, nowMs: number, horizonMs: number): Array<[TrackedRun, number]> {
  const ends: Array<[TrackedRun, number]> = []
  for (const run of vm.runs.values()) {
    const leftMs = getRemainingMs(run, estimates, nowMs)
    if (leftMs <= horizonMs) ends.push([run, leftMs])
  }
  return ends.sort(([, a], [, b]) => a - b)
}

/** Returns the expected time until a run ends, or `Infinity` if that cannot be foreseen. */
export function getRemainingMs (run: TrackedRun, estimates: DurationEstimates, nowMs: number): number {
  const { spec, occurrence } = run.task.step
  if (spec.longRunning || run.phase === RunPhase.Unknown || run.phase === RunPhase.Stopping) return Infinity
  const nearMs = estimates.findTaskMs(occurrence.job.accepted.queue, spec.estimateMs, MIN_SAMPLES)
  if (nearMs === undefined) return Infinity
  const expectedMs = nearMs * run.placeFactor
  const ageMs = nowMs - (run.confirmedAtMs ?? run.orderedAtMs)
  return ageMs >= UNFORESEEN_FACTOR * expectedMs ? Infinity : Math.max(expectedMs - ageMs, OVERRUN_SHARE * expectedMs)
}
