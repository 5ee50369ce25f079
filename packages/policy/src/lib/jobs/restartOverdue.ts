/**
 * Finds tasks that stand still or crawl, and gives them another VM.
 *
 * Load it answers: VMs on which tasks take several times as long, or never end, while their health looks good.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/** A task counts as overdue at this multiple of its queue's mean: the longest sound ones take 2.5 times the mean. */
const OVERDUE_FACTOR = 3

/** An overdue task that may have no copy is stopped at this multiple. */
const STOP_FACTOR = 4

/** Least time that counts as overdue, so that short tasks are not judged by their delays on the way. */
const LEAST_OVERDUE_MS = 1_500

/** Jobs with overdue tasks on a VM before it is avoided: one job may just be long. */
const DISTINCT_JOBS = 2

/** Time for which a VM with overdue tasks gets no other. */
const AVOID_MS = 4_000

/** Ended tasks of a queue before its mean is trusted. */
const LEAST_SAMPLES = 20

/** Judges every run of limited duration. */
export function restartOverdue (state: SchedulerState, nowMs: number): void {
  for (const vm of state.vms.values()) {
    const overdue = [...vm.runs.values()].filter((run) => getLateness(state, run, nowMs) >= OVERDUE_FACTOR)
    if (overdue.length === 0) continue
    avoidIfSlow(state, vm, overdue, nowMs)
    for (const run of overdue) restart(state, vm, run, nowMs)
  }
}

/** Multiple of the expected duration that a run has taken, or 0 where it is not to be judged. */
function getLateness (state: SchedulerState, run: TrackedRun, nowMs: number): number {
  const { step } = run.task
  if (run.phase !== RunPhase.Running || run.confirmedAtMs === undefined || step.spec.longRunning || step.spec.gang) return 0
  const elapsedMs = nowMs - run.confirmedAtMs
  const meanMs = state.estimates.getTrustedMs(step.occurrence.job.accepted.queue, LEAST_SAMPLES)
  return meanMs === undefined || elapsedMs < LEAST_OVERDUE_MS ? 0 : elapsedMs / meanMs
}

function avoidIfSlow (state: SchedulerState, vm: TrackedVm, overdue: readonly TrackedRun[], nowMs: number): void {
  const jobs = new Set(overdue.map((run) => run.task.step.occurrence.job.id))
  if (jobs.size < DISTINCT_JOBS || vm.avoidUntilMs > nowMs + AVOID_MS / 2) return
  vm.avoidUntilMs = nowMs + AVOID_MS
  state.observe(EventCode.VmAvoided, { vm: vm.id, pauseMs: AVOID_MS, reason: 'tasks of several jobs are overdue', jobs: jobs.size })
}

function restart (state: SchedulerState, vm: TrackedVm, run: TrackedRun, nowMs: number): void {
  const { task } = run
  task.failedVms.add(vm.id)
  if (task.step.spec.speculative) {
    task.wantsCopy = task.runs.size === 1
    return
  }
  if (getLateness(state, run, nowMs) >= STOP_FACTOR) state.stopRun(run, StopReason.Stalled, nowMs)
}
