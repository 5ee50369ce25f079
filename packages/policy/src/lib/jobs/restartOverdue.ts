/**
 * Detects runs that take far longer than usual, and restarts their tasks on other VMs.
 *
 * This handles VMs on which tasks take several times as long as elsewhere, or never end, although the VMs appear healthy.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { maySilenceVm } from './crashBlame.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/**
 * A run is overdue once it has taken this multiple of its queue's mean duration; the longest on a healthy VM take 2.5 times
 * the mean.
 */
const OVERDUE_FACTOR = 3

/** A run whose task may have no second run beside it is stopped at this multiple of the mean. */
const STOP_FACTOR = 4

/** Shortest time after which a run can be overdue, so that message delays do not make short tasks overdue. */
const MIN_OVERDUE_MS = 1_500

/** Number of jobs that must have overdue runs on a VM before it is paused, as a single job may just have long tasks. */
const MIN_OVERDUE_JOBS = 2

/** Pause of a VM with overdue runs, that is, the time for which it gets no new tasks. */
const PAUSE_MS = 4_000

/** Number of done tasks that a queue's mean must be based on before runs are compared with it. */
const MIN_SAMPLES = 20

/**
 * Checks the runs of finite tasks on all VMs. Stops overdue runs, or requests second runs beside them, and pauses VMs on which
 * runs of several jobs are overdue.
 */
export function restartOverdue (state: SchedulerState, nowMs: number): void {
  for (const vm of state.vms.values()) {
    const overdue = [...vm.runs.values()].filter((run) => getDurationRatio(state, run, nowMs) >= OVERDUE_FACTOR)
    if (overdue.length === 0) continue
    pauseIfSlow(state, vm, overdue, nowMs)
    for (const run of overdue) stopOrRequestSecondRun(state, vm, run, nowMs)
  }
}

/**
 * Returns the time that a run has taken as a multiple of its queue's mean. Returns 0 if the run is not compared: it is not
 * confirmed, its task is long-running or belongs to a gang, too little time has passed, or the queue has too few samples.
 */
function getDurationRatio (state: SchedulerState, run: TrackedRun, nowMs: number): number {
  const { step } = run.task
  if (run.phase !== RunPhase.Running || run.confirmedAtMs === undefined || step.spec.longRunning || step.spec.gang) return 0
  const elapsedMs = nowMs - run.confirmedAtMs
  const expectedMs = state.estimates.findTaskMs(step.occurrence.job.accepted.queue, step.spec.estimateMs, MIN_SAMPLES)
  return expectedMs === undefined || elapsedMs < MIN_OVERDUE_MS ? 0 : elapsedMs / expectedMs
}

function pauseIfSlow (state: SchedulerState, vm: TrackedVm, overdue: readonly TrackedRun[], nowMs: number): void {
  const jobs = new Set(overdue.map((run) => run.task.step.occurrence.job.id))
  if (jobs.size < MIN_OVERDUE_JOBS || vm.pausedUntilMs > nowMs + PAUSE_MS / 2) return
  vm.pausedUntilMs = nowMs + PAUSE_MS
  state.logDecision(EventCode.VmAvoided, { vm: vm.id, pauseMs: PAUSE_MS, reason: 'tasks of several jobs are overdue', jobs: jobs.size })
}

/** Requests a second run beside the overdue one if the task is speculative; otherwise stops the run once it is late enough. */
function stopOrRequestSecondRun (state: SchedulerState, vm: TrackedVm, run: TrackedRun, nowMs: number): void {
  const { task } = run
  if (maySilenceVm(run, vm)) return
  task.failedVms.add(vm.id)
  if (task.step.spec.speculative) {
    task.needsSecondRun = task.runs.size === 1
    return
  }
  if (getDurationRatio(state, run, nowMs) >= STOP_FACTOR) state.stopRun(run, StopReason.Stalled, nowMs)
}
