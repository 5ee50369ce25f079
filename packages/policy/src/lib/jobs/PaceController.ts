/**
 * Slows tasks that fill down where tasks that serve beside them near their latency target.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { OrderKind } from './orders.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase, type TrackedRun } from './TrackedRun.js'

/** Shares of the target at which fillers are slowed, stopped and let up again. */
const SLOW_ABOVE = 0.8
const STOP_ABOVE = 1
const RAISE_BELOW = 0.6

/** Factor of one slowing, step of one raise in percent, least share that is not rounded to nothing. */
const SLOW_FACTOR = 0.5
const RAISE_STEP_PERCENT = 10
const LEAST_PERCENT = 10

/** Pause between two changes upwards: the usage figure covers half a second, so two of its windows. */
const RAISE_PAUSE_MS = 1_000

/** Share at which fillers begin beside a serving task, until its latency is known. */
const FIRST_PERCENT = 50

interface VmPace {
  percent: number
  changedAtMs: number
}

/** Paces of the fillers by VM. @public */
export class PaceController {
  private readonly paces = new Map<string, VmPace>()

  private constructor () {}

  static create (): PaceController {
    return new PaceController()
  }

  /** Decides on one VM after it has reported. */
  control (state: SchedulerState, vm: TrackedVm, nowMs: number): void {
    const running = [...vm.runs.values()].filter((run) => run.phase === RunPhase.Running)
    const fillers = running.filter((run) => run.task.step.spec.fills)
    if (fillers.length === 0) {
      this.paces.delete(vm.id)
      return
    }
    const percent = this.decide(vm.id, getWorstRatio(running), nowMs)
    for (const run of fillers) {
      if (run.pacePercent === percent) continue
      run.pacePercent = percent
      state.orders.push({ kind: OrderKind.Pace, run, percent })
      state.observe(EventCode.TaskPaced, { task: run.name, run: run.number, vm: vm.id, percent })
    }
  }

  private decide (vmId: string, ratio: number | undefined, nowMs: number): number {
    if (ratio === undefined) {
      this.paces.delete(vmId)
      return 100
    }
    const pace = this.paces.get(vmId) ?? { percent: FIRST_PERCENT, changedAtMs: nowMs }
    this.paces.set(vmId, pace)
    const next = decidePercent(pace, ratio, nowMs)
    if (next !== pace.percent) {
      pace.percent = next
      pace.changedAtMs = nowMs
    }
    return pace.percent
  }
}

/** Worst tail latency against its target, or undefined where nothing serves. */
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
    return slowed < LEAST_PERCENT ? 0 : slowed
  }
  if (ratio < RAISE_BELOW && nowMs - pace.changedAtMs >= RAISE_PAUSE_MS) return Math.min(100, pace.percent + RAISE_STEP_PERCENT)
  return pace.percent
}
