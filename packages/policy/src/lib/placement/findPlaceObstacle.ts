/**
 * Says why a VM has no place for tasks of a step, or none in which they are alone, and whether that passes by itself. Reserving the VM for them, or
 * waiting for it, helps only then.
 */
import { isAllowed } from '../jobs/startTask.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import { RunPhase, type TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedVm } from '../vms/TrackedVm.js'

/** Why a VM has no place for tasks of a step. @public */
export enum PlaceObstacle {
  /** A run was started there a moment ago, which matters to trials only. Passes if no other is started. */
  RecentStart = 'recent start',
  /** Runs that end by themselves take the room, or the places that the step may have on one VM. Passes if no others are started. */
  EndingRuns = 'ending runs',
  /** Runs of long-running tasks that nothing stops take the room or these places. */
  LongRunningTasks = 'long-running tasks',
  /** A task of the step would not fit on the VM if it were empty. */
  Size = 'size',
  /** The VM lacks the label or the ticket that the step requires. */
  NotAllowed = 'not allowed',
}

/** Returns true if a VM has a place, or has one once the runs there that end have ended. */
export function canHavePlaceLater (obstacle: PlaceObstacle | undefined): boolean {
  return obstacle === undefined || obstacle === PlaceObstacle.RecentStart || obstacle === PlaceObstacle.EndingRuns
}

/** Returns why a VM has no place for a trial of the step's tasks, or undefined if it has one. */
export function findPlaceObstacle (step: TrackedStep, vm: TrackedVm, tickets: ReadonlyMap<string, string> | 'none', nowMs: number): PlaceObstacle | undefined {
  if (!isAllowed(step, vm, tickets)) return PlaceObstacle.NotAllowed
  if (!hasPlaceBeside(step, vm, [])) return PlaceObstacle.Size
  const runs = [...vm.runs.values()]
  if (!hasPlaceBeside(step, vm, runs.filter(isLasting))) return PlaceObstacle.LongRunningTasks
  if (!hasPlaceBeside(step, vm, runs)) return PlaceObstacle.EndingRuns
  return vm.isQuiet(nowMs) ? undefined : PlaceObstacle.RecentStart
}

/** Returns true if a task of the step could be started on the VM if only the given runs were there. */
function hasPlaceBeside (step: TrackedStep, { entry: { capacity } }: TrackedVm, runs: readonly TrackedRun[]): boolean {
  const { need, fills, maxTasksPerVm } = step.spec
  const sum = (get: (run: TrackedRun) => number): number => runs.reduce((total, run) => total + get(run), 0)
  const usedCpuMillis = sum(({ task: { step: { spec } } }) => spec.fills ? 0 : spec.need.cpuMillis)
  return (fills || usedCpuMillis + need.cpuMillis <= capacity.cpuMillis) &&
    sum(({ task }) => task.step.spec.need.memoryMb) + need.memoryMb <= capacity.memoryMb &&
    sum(({ task }) => task.step.spec.need.accelerators) + need.accelerators <= capacity.accelerators &&
    (maxTasksPerVm === undefined || runs.filter(({ task }) => task.step === step).length < maxTasksPerVm)
}

function isLasting ({ task, phase }: TrackedRun): boolean {
  return task.step.spec.longRunning && phase !== RunPhase.Stopping
}
