/**
 * Detects runs that take far longer than usual, and restarts their tasks on other VMs if the VM appears to be the cause.
 *
 * This handles two loads that look alike at first: VMs on which tasks take several times as long as elsewhere, or never end, although
 * the VMs appear healthy; and queues of which a few tasks take several times the mean wherever they run.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { PauseReason } from '../vms/VmPause.js'
import { maySilenceVm } from './crashBlame.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedStep } from './TrackedOccurrence.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/**
 * A run is overdue once it has taken this multiple of its queue's mean duration; the longest on a healthy VM take 2.5 times
 * the mean.
 */
const OVERDUE_FACTOR = 3

/** A run whose task may have no second run beside it is stopped at this multiple of the mean, if its VM may be the cause. */
const STOP_FACTOR = 4

/**
 * Factor on the stop limit for each sign that the task is long wherever it runs: its VM has ended other tasks since the run
 * began, its step has long tasks on other VMs, or an earlier run was stopped as stalled. Without it, a task that takes longer
 * than the limit on every VM would be restarted for ever.
 */
const LONG_TASK_FACTOR = 2

/** Largest number of such signs that count: a limit beyond any task that a queue of short ones can hold. */
const MAX_SIGNS = 10

/** Number of VMs on which runs of one step must be overdue for the step to count as long: estimates may be far too short for a whole job. */
const LONG_STEP_VMS = 3

/** Shortest time after which a run can be overdue, so that message delays do not make short tasks overdue. */
const MIN_OVERDUE_MS = 1_500

/** Number of jobs that must have overdue runs on a VM before it counts as slow, as a single job may just have long tasks. */
const MIN_OVERDUE_JOBS = 2

/**
 * Share of overdue runs among these and the tasks that the VM has ended since the first of them began, from which a VM counts as slow. It lies
 * between the 5 % of a healthy VM in a queue where 3 % of the tasks are long, and the 40 % of a VM that stalls two tasks in five.
 */
const MIN_OVERDUE_SHARE = 0.2

/** Pause of a VM with overdue runs, that is, the time for which it gets no new tasks. */
const PAUSE_MS = 4_000

/** Number of done tasks that a queue's mean must be based on before runs are compared with it. */
const MIN_SAMPLES = 20

/**
 * Checks the runs of finite tasks on all VMs. Stops overdue runs, or requests second runs beside them, and pauses VMs that
 * appear to be slow.
 */
export function restartOverdue (state: SchedulerState, nowMs: number): void {
  const overdueByVm = new Map<TrackedVm, TrackedRun[]>()
  const vmsByStep = new Map<TrackedStep, Set<TrackedVm>>()
  for (const vm of state.vms.values()) {
    const overdue = [...vm.runs.values()].filter((run) => getDurationRatio(state, run, nowMs) >= OVERDUE_FACTOR)
    if (overdue.length === 0) continue
    overdueByVm.set(vm, overdue)
    // Only a VM that ends other tasks shows that the step is long; several VMs may be hung together.
    for (const run of overdue) {
      const { step } = run.task
      if (vm.doneCount > run.vmDoneCountBefore) vmsByStep.set(step, (vmsByStep.get(step) ?? new Set()).add(vm))
    }
  }
  const isLongStep = (step: TrackedStep): boolean => (vmsByStep.get(step)?.size ?? 0) >= LONG_STEP_VMS
  for (const [vm, overdue] of overdueByVm) {
    const isSlow = isSlowVm(vm, overdue.filter(({ task: { step } }) => !isLongStep(step)))
    if (isSlow) pauseSlow(state, vm, overdue.length, nowMs)
    for (const run of overdue) stopOrRequestSecondRun(state, vm, run, { isSlow, isLongStep: isLongStep(run.task.step) }, nowMs)
  }
}

/**
 * Returns the time that a run has taken as a multiple of its queue's mean, for where it runs. Returns 0 if the run is not compared: it is not
 * confirmed, its task is long-running or belongs to a gang, too little time has passed, or the queue has too few samples.
 */
function getDurationRatio (state: SchedulerState, run: TrackedRun, nowMs: number): number {
  const { step } = run.task
  if (run.phase !== RunPhase.Running || run.confirmedAtMs === undefined || step.spec.longRunning || step.spec.gang) return 0
  const elapsedMs = nowMs - run.confirmedAtMs
  const expectedMs = state.estimates.findTaskMs(step.occurrence.job.accepted.queue, step.spec.estimateMs, MIN_SAMPLES)
  return expectedMs === undefined || elapsedMs < MIN_OVERDUE_MS ? 0 : elapsedMs / (expectedMs * run.placeFactor)
}

/** Returns true if runs of several jobs are overdue on the VM, and it has ended few others meanwhile. */
function isSlowVm (vm: TrackedVm, overdue: readonly TrackedRun[]): boolean {
  const jobs = new Set(overdue.map((run) => run.task.step.occurrence.job.id))
  if (jobs.size < MIN_OVERDUE_JOBS) return false
  const endedSince = vm.doneCount - Math.min(...overdue.map((run) => run.vmDoneCountBefore))
  return overdue.length / (overdue.length + endedSince) >= MIN_OVERDUE_SHARE
}

function pauseSlow (state: SchedulerState, vm: TrackedVm, overdueCount: number, nowMs: number): void {
  if (vm.pause.untilMs > nowMs + PAUSE_MS / 2) return
  vm.pause.begin(PauseReason.OverdueRuns, PAUSE_MS, nowMs)
  state.logDecision(EventCode.VmAvoided, { vm: vm.id, pauseMs: PAUSE_MS, reason: PauseReason.OverdueRuns, overdue: overdueCount })
}

/** What speaks for the VM or for the step as the cause of an overdue run. */
interface OverdueSigns {
  readonly isSlow: boolean
  readonly isLongStep: boolean
}

/** Requests a second run beside the overdue one if the task is speculative; otherwise stops the run once it is late enough. */
function stopOrRequestSecondRun (state: SchedulerState, vm: TrackedVm, run: TrackedRun, signs: OverdueSigns, nowMs: number): void {
  const { task } = run
  if (maySilenceVm(run, vm)) return
  if (task.step.spec.speculative) {
    task.failedVms.add(vm.id)
    task.needsSecondRun = task.runs.size === 1
    return
  }
  if (getDurationRatio(state, run, nowMs) < getStopFactor(vm, run, signs)) return
  task.failedVms.add(vm.id)
  task.stallCount += 1
  state.stopRun(run, StopReason.Stalled, nowMs)
}

/** Returns the multiple of the mean duration at which an overdue run is stopped. */
function getStopFactor (vm: TrackedVm, run: TrackedRun, { isSlow, isLongStep }: OverdueSigns): number {
  const vmWorks = !isSlow && vm.doneCount > run.vmDoneCountBefore
  const signsOfLongTask = run.task.stallCount + (vmWorks ? 1 : 0) + (isLongStep ? 1 : 0)
  return STOP_FACTOR * LONG_TASK_FACTOR ** Math.min(MAX_SIGNS, signsOfLongTask)
}
