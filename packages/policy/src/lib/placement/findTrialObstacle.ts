/**
 * Says why a VM cannot give a step's tasks a trial now, which decides whether reserving the VM for them can help.
 */
import { isAllowed } from '../jobs/startTask.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import { RunPhase, type TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedVm } from '../vms/TrackedVm.js'

/** Why a VM cannot give a step's tasks a trial now. @public */
export enum TrialObstacle {
  /** A run was started there a moment ago. Passes if no other is started. */
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

/** Returns why a VM cannot give tasks of the step a trial, or undefined if it can. */
export function findTrialObstacle (step: TrackedStep, vm: TrackedVm, tickets: ReadonlyMap<string, string> | 'none', nowMs: number): TrialObstacle | undefined {
  if (!isAllowed(step, vm, tickets)) return TrialObstacle.NotAllowed
  if (!hasPlaceBeside(step, vm, [])) return TrialObstacle.Size
  const runs = [...vm.runs.values()]
  if (!hasPlaceBeside(step, vm, runs.filter(isLasting))) return TrialObstacle.LongRunningTasks
  if (!hasPlaceBeside(step, vm, runs)) return TrialObstacle.EndingRuns
  return vm.isQuiet(nowMs) ? undefined : TrialObstacle.RecentStart
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
