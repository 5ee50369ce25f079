/**
 * Applies the outcome of a start order to its run.
 */
import { EventCode } from '@vanillathread/model'
import { StartOutcome } from './orders.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase, type TrackedRun } from './TrackedRun.js'

/**
 * Accepted starts are logged only if the answer took at least this long. Each start order has a log line already, and an
 * owner starts hundreds of tasks a second.
 */
const SLOW_START_MS = 200

/** @param reason - why the start was refused or its outcome is unknown. */
export function applyStartOutcome (state: SchedulerState, run: TrackedRun, outcome: StartOutcome, nowMs: number, reason?: string): void {
  const tookMs = nowMs - run.orderedAtMs
  if (outcome !== StartOutcome.Accepted || tookMs >= SLOW_START_MS) state.logDecision(EventCode.TaskStartAnswered, { task: run.name, run: run.number, vm: run.vmId, outcome, reason, tookMs: Math.round(tookMs) })
  if (outcome === StartOutcome.Accepted) {
    run.confirmedAtMs ??= nowMs
    run.task.begun = true
    if (run.phase === RunPhase.Ordered || run.phase === RunPhase.Unknown) run.phase = RunPhase.Running
    return
  }
  if (outcome === StartOutcome.Unknown) {
    if (run.phase === RunPhase.Ordered) run.markUnknown(nowMs)
    return
  }
  // If a stop was ordered meanwhile, its answer and the reports after it show whether the run exists.
  if (run.phase === RunPhase.Ordered) state.releaseRun(run)
}
