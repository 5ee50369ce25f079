/**
 * Slows best-effort tasks on a VM when a latency-sensitive task beside them comes near its latency target.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { OrderKind } from './orders.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase, type TrackedRun } from './TrackedRun.js'

/** Ratio of latency to target from which best-effort tasks are slowed. */
const SLOW_ABOVE = 0.8
/** Ratio from which their pace is set to 0. */
const STOP_ABOVE = 1
/** Ratio below which their pace is raised. */
const RAISE_BELOW = 0.6

/** Factor by which a pace is multiplied each time it is slowed. */
const SLOW_FACTOR = 0.5
/** Percentage points by which a pace is raised at a time. */
const RAISE_STEP_PERCENT = 10
/** Lowest pace other than 0; if slowing gives less than this, the pace becomes 0. */
const MIN_PERCENT = 10

/** Shortest time from any change of a pace to a raise. A usage figure covers half a second, so this is two of its windows. */
const RAISE_PAUSE_MS = 1_000

/** Pace from which control begins when the latency of a latency-sensitive task becomes known. Until then the pace is 100. */
const INITIAL_PERCENT = 50

/** Pace of the best-effort tasks on one VM. */
interface VmPace {
  percent: number
  changedAtMs: number
}

/** Controls the pace of best-effort tasks, with one pace for each VM. @public */
export class PaceController {
  private readonly paces = new Map<string, VmPace>()

  private constructor () {}

  static create (): PaceController {
    return new PaceController()
  }

  /** Adjusts the pace on one VM after it has reported. */
  control (state: SchedulerState, vm: TrackedVm, nowMs: number): void {
    const running = [...vm.runs.values()].filter((run) => run.phase === RunPhase.Running)
    const bestEffortRuns = running.filter((run) => run.task.step.spec.fills)
    if (bestEffortRuns.length === 0) {
      this.paces.delete(vm.id)
      return
    }
    const percent = this.decide(vm.id, getWorstRatio(running), nowMs)
    for (const run of bestEffortRuns) {
      if (run.orderedPacePercent === percent) continue
      run.orderedPacePercent = percent
      state.orders.push({ kind: OrderKind.Pace, run, percent })
      state.logDecision(EventCode.TaskPaced, { task: run.name, run: run.number, vm: vm.id, percent })
    }
  }

  private decide (vmId: string, ratio: number | undefined, nowMs: number): number {
    if (ratio === undefined) {
      this.paces.delete(vmId)
      return 100
    }
    const pace = this.paces.get(vmId) ?? { percent: INITIAL_PERCENT, changedAtMs: nowMs }
    this.paces.set(vmId, pace)
    const next = decidePercent(pace, ratio, nowMs)
    if (next !== pace.percent) {
      pace.percent = next
      pace.changedAtMs = nowMs
    }
    return pace.percent
  }
}

/**
 * Returns the highest ratio of a tail latency to its target, or undefined if no latency-sensitive task has reported a
 * latency.
 */
function getWorstRatio (runs: readonly TrackedRun[]): number | undefined {
  let worst: number | undefined
  for (const run of runs) {
    const { targetMs } = run.task.step.spec
    if (targetMs === undefined || run.usage === undefined) continue
    worst = Math.max(worst ?? 0, run.usage / targetMs)
  }
  return worst
}

function decidePercent (pace: VmPace, ratio: number, nowMs: number): number {
  if (ratio >= STOP_ABOVE) return 0
  if (ratio >= SLOW_ABOVE) {
    const slowed = Math.floor(pace.percent * SLOW_FACTOR)
    return slowed < MIN_PERCENT ? 0 : slowed
  }
  if (ratio < RAISE_BELOW && nowMs - pace.changedAtMs >= RAISE_PAUSE_MS) return Math.min(100, pace.percent + RAISE_STEP_PERCENT)
  return pace.percent
}
