/**
 * Starts tasks that may have crashed a VM in trials: those of one step together, on a VM where no other task is started meanwhile, so
 * that another crash shows which job is at fault and costs few other tasks their runs.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { hasCrashedRecently } from './crashBlame.js'
import type { SchedulerState } from './SchedulerState.js'
import { getTicketsIfRequired, isAllowed, startTask, type PlacementContext } from './startTask.js'
import type { TrackedStep } from './TrackedJob.js'
import type { TrackedTask } from './TrackedTask.js'
import type { TrackedRun } from './TrackedRun.js'

/** Share of a pool's VMs that may have a trial at the same time; one is always allowed. */
const TRIAL_SHARE = 0.25

/** Share of a pool's VMs that trials may have silenced; no further trial begins beyond it. */
const SILENCED_SHARE = 0.5

/** Starts the tasks of a pool that need a trial, as far as VMs are quiet. Reserves a VM if none is. */
export function placeSuspects (state: SchedulerState, pool: string, vms: readonly TrackedVm[], context: PlacementContext): void {
  const waiting = groupWaiting(state, pool, context)
  if (waiting.size === 0) {
    for (const vm of context.vms) if (vm.reservedForTrial) release(state, vm, 'no task waits for a trial')
    return
  }
  const onTrial = context.vms.filter((vm) => vm.isOnTrial)
  const silenced = onTrial.filter((vm) => vm.unresponsiveSinceMs !== undefined).length
  if (silenced > Math.floor(context.vms.length * SILENCED_SHARE)) return
  let trials = onTrial.length - silenced
  const maxTrials = Math.max(1, Math.floor(context.vms.length * TRIAL_SHARE))
  for (const [step, tasks] of waiting) {
    if (trials >= maxTrials) return
    const tickets = getTicketsIfRequired(step, vms, context)
    if (tickets === undefined) continue
    if (!beginTrial(state, { step, tasks, tickets, vms }, context)) {
      reserveVm(state, { step, tasks, tickets, vms }, context)
      return
    }
    trials += 1
  }
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
  readonly vms: readonly TrackedVm[]
}

/** Starts as many of the tasks as fit on one VM. Returns false if there is none for them. */
function beginTrial (state: SchedulerState, { step, tasks, tickets, vms }: TrialRequest, context: PlacementContext): boolean {
  const vm = chooseVm(state, vms.filter((each) => !each.isOnTrial && each.isQuiet(context.nowMs) && isAllowed(step, each, tickets) && canTakeTask(each, step)), context.nowMs)
  if (vm === undefined) return false
  const runs: TrackedRun[] = []
  for (const task of tasks) {
    if (canTakeTask(vm, step) && state.teams.mayStartTask(task)) runs.push(startTask(state, task, vm, task.lastRun + 1, tickets, context))
  }
  vm.trialRuns = runs
  if (vm.reservedForTrial) release(state, vm, 'trial has begun')
  return true
}

/** Keeps other tasks away from a VM, unless one of the pool is reserved already, so that it becomes quiet and has room. */
function reserveVm (state: SchedulerState, { step, tickets, vms }: TrialRequest, context: PlacementContext): void {
  if (vms.some((vm) => vm.reservedForTrial)) return
  const vm = chooseVm(state, vms.filter((each) => !each.isOnTrial && isAllowed(step, each, tickets)), context.nowMs)
  if (vm === undefined) return
  vm.reservedForTrial = true
  state.logDecision(EventCode.TrialVmReserved, {
    vm: vm.id, job: step.occurrence.job.id, step: step.index, freeCpuMillis: vm.freeCpuMillis, tasksOfStep: vm.countRunsOf(step), maxTasksPerVm: step.spec.maxTasksPerVm, quiet: vm.isQuiet(context.nowMs),
  })
}

function release (state: SchedulerState, vm: TrackedVm, reason: string): void {
  vm.reservedForTrial = false
  state.logDecision(EventCode.TrialVmReleased, { vm: vm.id, reason })
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
