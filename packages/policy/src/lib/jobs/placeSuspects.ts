/**
 * Starts tasks that may have crashed a VM in trials: those of one step together, on a VM where no other task is started meanwhile, so
 * that another crash shows which job is at fault and costs few other tasks their runs.
 */
import { findPlaceObstacle, PlaceObstacle } from '../placement/findPlaceObstacle.js'
import { ReservationEnd } from '../placement/TrialReservations.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { hasCrashedRecently } from './crashBlame.js'
import type { SchedulerState } from './SchedulerState.js'
import { getTicketsIfRequired, startTask, type PlacementContext } from './startTask.js'
import type { TrackedStep } from './TrackedOccurrence.js'
import type { TrackedTask } from './TrackedTask.js'
import type { TrackedRun } from './TrackedRun.js'

/** Share of a pool's VMs that may have a trial at the same time; one is always allowed. */
const TRIAL_SHARE = 0.25

/** Share of a pool's VMs that trials may have silenced; no further trial begins beyond it. */
const SILENCED_SHARE = 0.5

/** Starts the tasks of a pool that need a trial, as far as VMs are quiet. Reserves a VM if none is. */
export function placeSuspects (state: SchedulerState, pool: string, vms: readonly TrackedVm[], context: PlacementContext): void {
  const waiting = groupWaiting(state, pool, context)
  const onTrial = context.vms.filter((vm) => vm.isOnTrial)
  const silenced = onTrial.filter((vm) => vm.unresponsiveSinceMs !== undefined).length
  const areTrialsSuspended = silenced > Math.floor(context.vms.length * SILENCED_SHARE)
  state.trialReservations.review({ vms: context.vms, usableVms: vms, waiting, areTrialsSuspended, nowMs: context.nowMs })
  const maxTrials = Math.max(1, Math.floor(context.vms.length * TRIAL_SHARE))
  if (!areTrialsSuspended) beginTrials(state, { waiting, vms, maxTrials: maxTrials - (onTrial.length - silenced) }, context)
  state.trialReservations.recordKeptVms(context.vms, context.nowMs)
}

/** Begins up to `maxTrials` trials on quiet VMs. Reserves a VM for a step that finds none. */
function beginTrials (
  state: SchedulerState, { waiting, vms, maxTrials }: { readonly waiting: ReadonlyMap<TrackedStep, TrackedTask[]>, readonly vms: readonly TrackedVm[], readonly maxTrials: number }, context: PlacementContext
): void {
  let freeTrials = maxTrials
  const withoutVm: TrialRequest[] = []
  for (const [step, tasks] of orderByTurn(waiting)) {
    if (freeTrials <= 0) return
    const tickets = getTicketsIfRequired(step, vms, context)
    if (tickets === undefined) continue
    const req = { step, tasks, tickets, vms: vms.filter((vm) => isOpenToTrial(vm, step, context.nowMs)) }
    if (beginTrial(state, req, context)) freeTrials -= 1
    else withoutVm.push(req)
  }
  if (freeTrials > 0 && withoutVm.length > 0) reserveVm(state, withoutVm, context)
}

/** Returns the steps in the order of their last trials, so that one whose tasks never pass theirs does not hold up the others. */
function orderByTurn (waiting: ReadonlyMap<TrackedStep, TrackedTask[]>): Array<[TrackedStep, TrackedTask[]]> {
  return [...waiting].sort(([a], [b]) => a.lastTrialAtMs - b.lastTrialAtMs)
}

/** Returns true unless the VM is kept for another step's trial, or is open to other tasks after such a time. */
function isOpenToTrial (vm: TrackedVm, step: TrackedStep, nowMs: number): boolean {
  return vm.trialReservation === undefined ? nowMs >= vm.openToOthersUntilMs : vm.trialReservation.step === step
}

/** Returns the tasks of a pool that need a trial and can be started now, by step. No VM is reserved for those that a cap forbids. */
function groupWaiting (state: SchedulerState, pool: string, context: PlacementContext): Map<TrackedStep, TrackedTask[]> {
  const waiting = new Map<TrackedStep, TrackedTask[]>()
  for (const task of state.suspects) {
    const { step } = task
    const { job } = step.occurrence
    if (task.done || job.isOver) state.suspects.delete(task)
    else if (job.accepted.pool === pool && task.needsTrial && task.isWaiting && step.isReady && !step.spec.gang && context.mayStart(job) && state.teams.mayStartTask(task)) waiting.set(step, [...waiting.get(step) ?? [], task])
  }
  return waiting
}

/** The tasks of one step that need a trial, with what their placement needs. */
interface TrialRequest {
  readonly step: TrackedStep
  readonly tasks: readonly TrackedTask[]
  readonly tickets: ReadonlyMap<string, string> | 'none'
  /** VMs on which the trial may begin, or that may be reserved for it. */
  readonly vms: readonly TrackedVm[]
}

/** Starts as many of the tasks as fit on one VM. Returns false if there is none for them. */
function beginTrial (state: SchedulerState, { step, tasks, tickets, vms }: TrialRequest, context: PlacementContext): boolean {
  const { nowMs } = context
  const vm = chooseVm(state, vms.filter((each) => !each.isOnTrial && findPlaceObstacle(step, each, tickets, nowMs) === undefined), nowMs)
  if (vm === undefined) return false
  const runs: TrackedRun[] = []
  for (const task of tasks) {
    if (canTakeTask(vm, step) && state.teams.mayStartTask(task)) runs.push(startTask(state, task, vm, task.lastRun + 1, tickets, context))
  }
  vm.trialRuns = runs
  step.lastTrialAtMs = nowMs
  state.trialReservations.end(vm, ReservationEnd.TrialBegun, nowMs)
  return true
}

/**
 * Keeps other tasks away from a VM on which a trial of one of the steps becomes possible by that, unless one of the pool is reserved already. VMs that
 * only have to become quiet come first, as that takes a moment.
 */
function reserveVm (state: SchedulerState, requests: readonly TrialRequest[], context: PlacementContext): void {
  const { nowMs } = context
  if (context.vms.some((vm) => vm.trialReservation !== undefined)) return
  for (const obstacle of [PlaceObstacle.RecentStart, PlaceObstacle.EndingRuns]) {
    for (const { step, tickets, vms } of requests) {
      const vm = chooseVm(state, vms.filter((each) => !each.isOnTrial && findPlaceObstacle(step, each, tickets, nowMs) === obstacle), nowMs)
      if (vm === undefined) continue
      step.lastTrialAtMs = nowMs
      state.trialReservations.begin(vm, { step, obstacle, sinceMs: nowMs })
      return
    }
  }
}

function canTakeTask (vm: TrackedVm, step: TrackedStep): boolean {
  const { need, fills, maxTasksPerVm } = step.spec
  return vm.hasRoom(need, fills) && (maxTasksPerVm === undefined || vm.countRunsOf(step) < maxTasksPerVm)
}

/** Returns the VM whose crash would cost least: without long-running tasks and with the fewest runs, on a machine that has not crashed lately. */
function chooseVm (state: SchedulerState, vms: readonly TrackedVm[], nowMs: number): TrackedVm | undefined {
  let best: TrackedVm | undefined
  let lowestCost = Infinity
  for (const vm of vms) {
    const longRunning = [...vm.runs.values()].filter((run) => run.task.step.spec.longRunning).length
    const cost = (hasCrashedRecently(state, vm, nowMs) ? CRASHED_MACHINE_COST : 0) + longRunning * LONG_RUNNING_COST + vm.runs.size
    if (cost >= lowestCost) continue
    best = vm
    lowestCost = cost
  }
  return best
}

/** Costs in runs, each greater than the sum of the smaller ones of a VM. */
const CRASHED_MACHINE_COST = 1e6
const LONG_RUNNING_COST = 1e3
