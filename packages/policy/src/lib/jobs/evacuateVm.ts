/**
 * Takes tasks off a VM before it is moved or maintained.
 */
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedStep } from './TrackedJob.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/** Stops what may be stopped now. Tasks that end by themselves are left until `stopShortAtMs`. @public */
export function evacuateVm (state: SchedulerState, vm: TrackedVm, nowMs: number, stopShortAtMs: number): void {
  for (const run of [...vm.runs.values()]) {
    if (run.phase === RunPhase.Stopping || run.phase === RunPhase.Ordered) continue
    const { step } = run.task
    if (!step.spec.longRunning) {
      if (nowMs >= stopShortAtMs) state.stopRun(run, StopReason.Evacuation, nowMs)
      continue
    }
    // A VM that drains ends its tasks itself in a moment, so waiting for the others of the step gains nothing.
    const allowed = vm.entry.draining || canTakeAway(state, step)
    if (allowed && hasPlaceElsewhere(state, vm, run, nowMs)) state.stopRun(run, StopReason.Evacuation, nowMs)
  }
}

/** True while one more task of the step may become unavailable because of us. */
export function canTakeAway (state: SchedulerState, step: TrackedStep): boolean {
  if (step.spec.mayMiss === 0) return true
  const away = step.tasks.filter((task) => !isAtWork(state, task.runs)).length
  return away < step.spec.mayMiss
}

/** A task works where a VM that answers says so. */
function isAtWork (state: SchedulerState, runs: ReadonlySet<TrackedRun>): boolean {
  for (const run of runs) {
    const vm = state.vms.get(run.vmId)
    if (run.phase === RunPhase.Running && run.percent >= 100 && vm?.registered === true && vm.silentSinceMs === undefined) return true
  }
  return false
}

function hasPlaceElsewhere (state: SchedulerState, from: TrackedVm, run: TrackedRun, nowMs: number): boolean {
  const { step } = run.task
  const { need, fills, requiredLabel, maxTasksPerVm } = step.spec
  for (const vm of state.vms.values()) {
    if (vm === from || vm.entry.pool !== from.entry.pool || !vm.isUsable(nowMs) || !vm.hasRoom(need, fills)) continue
    if (requiredLabel !== undefined && !vm.entry.labels.includes(requiredLabel)) continue
    if (maxTasksPerVm === undefined || vm.countRunsOf(step) < maxTasksPerVm) return true
  }
  return false
}
