/**
 * Stops the tasks on a VM that drains or whose machine is to be moved or maintained.
 */
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedStep } from './TrackedOccurrence.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/**
 * Stops the runs that may be stopped now. Finite tasks run on until `stopFiniteAtMs`. A long-running task is stopped once
 * its step allows another interruption and another VM has room for it.
 * @public
 */
export function evacuateVm (state: SchedulerState, vm: TrackedVm, nowMs: number, stopFiniteAtMs: number): void {
  for (const run of [...vm.runs.values()]) {
    if (run.phase === RunPhase.Stopping || run.phase === RunPhase.Ordered) continue
    const { step } = run.task
    if (!step.spec.longRunning) {
      if (nowMs >= stopFiniteAtMs) state.stopRun(run, StopReason.Evacuation, nowMs)
      continue
    }
    // A draining VM soon ends its tasks itself, so waiting for unavailable tasks of the step to return gains nothing. A stop
    // that is under way on another VM was allowed beside fewer unavailable tasks, though, and ends first.
    const allowed = canInterruptTask(state, step) || (vm.entry.draining && !isStopUnderWay(state, step))
    if (allowed && hasRoomElsewhere(state, vm, run, nowMs)) state.stopRun(run, StopReason.Evacuation, nowMs)
  }
}

/**
 * Returns true if one more task of the step may be interrupted: its step sets no limit (`mayMiss` is 0), or fewer tasks of
 * the step than the limit are unavailable.
 */
export function canInterruptTask (state: SchedulerState, step: TrackedStep): boolean {
  if (step.spec.mayMiss === 0) return true
  const unavailableCount = step.tasks.filter((task) => !isAvailable(state, task.runs)).length
  return unavailableCount < step.spec.mayMiss
}

/** Returns true if a task of the step is being stopped on a VM that does not drain. */
function isStopUnderWay (state: SchedulerState, step: TrackedStep): boolean {
  return step.tasks.some((task) => [...task.runs].some((run) => run.phase === RunPhase.Stopping && state.vms.get(run.vmId)?.entry.draining === false))
}

/** Returns true if one of a task's runs works at full pace on a registered VM that answers, and no stop of a former owner may be ending it. */
function isAvailable (state: SchedulerState, runs: ReadonlySet<TrackedRun>): boolean {
  for (const run of runs) {
    const vm = state.vms.get(run.vmId)
    if (run.phase === RunPhase.Running && !run.mayBeStopping && run.percent >= 100 && vm?.registered === true && vm.unresponsiveSinceMs === undefined) return true
  }
  return false
}

/** Returns true if another VM of the same pool can take the task of a run. */
function hasRoomElsewhere (state: SchedulerState, from: TrackedVm, run: TrackedRun, nowMs: number): boolean {
  const { step } = run.task
  const { need, fills, requiredLabel, maxTasksPerVm } = step.spec
  for (const vm of state.vms.values()) {
    if (vm === from || vm.entry.pool !== from.entry.pool || !vm.isUsable(nowMs) || !vm.hasRoom(need, fills)) continue
    if (requiredLabel !== undefined && !vm.entry.labels.includes(requiredLabel)) continue
    if (maxTasksPerVm === undefined || vm.countRunsOf(step) < maxTasksPerVm) return true
  }
  return false
}
