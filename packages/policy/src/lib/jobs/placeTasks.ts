/**
 * Chooses VMs for waiting tasks.
 */
import type { TrackedVm } from '../vms/TrackedVm.js'
import { getReadySinceMs } from '../placement/getReadySinceMs.js'
import { canWait } from '../placement/NearPlaces.js'
import { canHavePlaceLater, findPlaceObstacle } from '../placement/findPlaceObstacle.js'
import { placeSuspects } from './placeSuspects.js'
import { rankJob, type JobRank } from './rankJobs.js'
import type { SchedulerState } from './SchedulerState.js'
import { getTicketsIfRequired, isAllowed, startTask, type PlacementContext } from './startTask.js'
import type { TrackedJob } from './TrackedJob.js'
import type { TrackedStep } from './TrackedOccurrence.js'
import type { TrackedTask } from './TrackedTask.js'

/** Starts as many of a pool's waiting tasks as fit on its VMs, in the order of the jobs' ranks. @public */
export function placeTasks (state: SchedulerState, pool: string, context: PlacementContext): void {
  const jobs = state.openJobs.get(pool)
  state.nearPlaces?.beginPlan(pool)
  if (jobs === undefined || jobs.size === 0) return
  const usableVms = context.vms.filter((vm) => vm.isUsable(context.nowMs))
  placeSuspects(state, pool, usableVms, context)
  const vms = usableVms.filter((vm) => !vm.isKeptForTrials)
  const pausedVms = context.vms.filter((vm) => vm.pause.isActive(context.nowMs) && vm.isUsableUnlessPaused(context.nowMs) && !vm.isKeptForTrials)
  if (vms.length === 0 && pausedVms.length === 0) return
  for (const rank of state.teams.order(rankJobs(state, jobs, context))) {
    for (const step of listReadySteps(rank.job, context.wallClockMs)) {
      if (step.spec.gang) placeGang(state, step, vms, context, rank)
      else {
        placeStep(state, step, vms, context, rank)
        if (pausedVms.length > 0) placeOnPausedVms(state, step, { usableVms, pausedVms }, context)
      }
    }
  }
}

function rankJobs (state: SchedulerState, jobs: Iterable<TrackedJob>, context: PlacementContext): JobRank[] {
  const ranks: JobRank[] = []
  for (const job of jobs) {
    if (context.mayStart(job) && hasWaitingTasks(job, context.wallClockMs)) ranks.push(rankJob(job, state.estimates, context.storeNowMs))
  }
  return ranks
}

function hasWaitingTasks (job: TrackedJob, wallClockMs: number): boolean {
  return listReadySteps(job, wallClockMs).length > 0
}

/** Returns the steps that are ready and have waiting tasks. Opens occurrences that have become due. */
function listReadySteps (job: TrackedJob, wallClockMs: number): TrackedStep[] {
  job.openDueOccurrences(wallClockMs)
  const steps: TrackedStep[] = []
  for (const occurrence of job.occurrences.values()) {
    for (const step of occurrence.steps) {
      if (!step.isDone && step.isReady && step.tasks.some((task) => task.isWaiting)) steps.push(step)
    }
  }
  return steps
}

/** Starts the waiting tasks of a step one by one, until one fits on no VM. Some may wait for places near their data; see `NearPlaces`. */
function placeStep (state: SchedulerState, step: TrackedStep, vms: readonly TrackedVm[], context: PlacementContext, rank: JobRank): void {
  const { nearPlaces } = state
  if (nearPlaces !== undefined && step.spec.dataRack !== undefined) getReadySinceMs(step, context)
  const first = step.tasks.find((task) => task.isWaiting && !task.needsTrial)
  if (first === undefined || !state.teams.mayStartTask(first)) return
  const tickets = getTicketsIfRequired(step, vms, context)
  if (tickets === undefined) return
  const { pool } = step.occurrence.job.accepted
  const awaitedRacks = nearPlaces?.getAwaitedRacks(pool)
  let heldBack: number | undefined
  for (const task of step.tasks) {
    if (!task.isWaiting || task.needsTrial) continue
    if (heldBack !== undefined && heldBack > 0 && canWait(task)) {
      heldBack -= 1
      continue
    }
    if (!state.teams.mayStartTask(task)) return
    const vm = chooseVm(step, task, vms, tickets, awaitedRacks)
    // All tasks of a step have the same needs, so the next one does not fit either.
    if (vm === undefined) {
      state.teams.recordNoRoom(step.occurrence.job)
      nearPlaces?.recordNoRoom(pool, context.nowMs)
      return
    }
    if (nearPlaces !== undefined && heldBack === undefined && isFar(step, vm) && canWait(task)) {
      heldBack = nearPlaces.countHeldBack(step, { rank, vms: vms.filter((each) => isAllowed(step, each, tickets)), context })
      if (heldBack > 0) {
        heldBack -= 1
        continue
      }
    }
    startTask(state, task, vm, task.lastRun + 1, tickets, context)
  }
}

/** Starts the waiting tasks of a step that have no place on any VM that is not paused, nor will have one once runs have ended there. */
function placeOnPausedVms (
  state: SchedulerState, step: TrackedStep, { usableVms, pausedVms }: { readonly usableVms: readonly TrackedVm[], readonly pausedVms: readonly TrackedVm[] }, context: PlacementContext
): void {
  const { nowMs } = context
  const vms = pausedVms.filter((vm) => vm.pause.allowsLastResort(step.spec.longRunning, nowMs))
  if (vms.length === 0 || !step.tasks.some((task) => task.isWaiting && !task.needsTrial)) return
  const tickets = getTicketsIfRequired(step, vms, context)
  if (tickets === undefined || usableVms.some((vm) => canHavePlaceLater(findPlaceObstacle(step, vm, tickets, nowMs)))) return
  for (const task of step.tasks) {
    if (!task.isWaiting || task.needsTrial) continue
    const vm = state.teams.mayStartTask(task) ? chooseVm(step, task, vms, tickets, undefined) : undefined
    if (vm === undefined) return
    startTask(state, task, vm, task.lastRun + 1, tickets, context)
  }
}

function isFar ({ spec: { dataRack } }: TrackedStep, vm: TrackedVm): boolean {
  return dataRack !== undefined && vm.rack !== dataRack
}

/** Starts all tasks of a gang under one run number, or none. With `sameRack`, a single rack is tried first; see also `NearPlaces`. */
function placeGang (state: SchedulerState, step: TrackedStep, vms: readonly TrackedVm[], context: PlacementContext, rank: JobRank): void {
  const { nearPlaces } = state
  if (nearPlaces !== undefined && step.spec.sameRack) getReadySinceMs(step, context)
  if (step.tasks.some((task) => task.runs.size > 0 || !task.isWaiting) || !state.teams.mayStart(step.tasks)) return
  const tickets = getTicketsIfRequired(step, vms, context)
  if (tickets === undefined) return
  const racks = step.spec.sameRack ? new Set(vms.map((vm) => vm.rack)) : new Set<string>()
  for (const rack of [...racks, undefined]) {
    const candidates = rack === undefined ? vms : vms.filter((vm) => vm.rack === rack)
    const chosen = fitGang(step, candidates, tickets)
    if (chosen === undefined) continue
    if (rack === undefined && step.spec.sameRack && nearPlaces?.holdsGangBack(step, { rank, vms: vms.filter((vm) => isAllowed(step, vm, tickets)), context }) === true) return
    const number = Math.max(...step.tasks.map((task) => task.lastRun)) + 1
    const runs = step.tasks.flatMap((task, index) => {
      const vm = chosen[index]
      return vm === undefined ? [] : [startTask(state, task, vm, number, tickets, context)]
    })
    if (step.spec.sameRack) nearPlaces?.recordGangStart(runs, rack !== undefined, context.nowMs)
    return
  }
  state.teams.recordNoRoom(step.occurrence.job)
  nearPlaces?.recordNoRoom(step.occurrence.job.accepted.pool, context.nowMs)
}

/** Returns a VM for each task of a gang, or undefined if they do not all fit. */
function fitGang (step: TrackedStep, vms: readonly TrackedVm[], tickets: ReadonlyMap<string, string> | 'none'): TrackedVm[] | undefined {
  const { need, fills, maxTasksPerVm } = step.spec
  const chosen: TrackedVm[] = []
  for (const vm of [...vms].sort((a, b) => b.freeCpuMillis - a.freeCpuMillis)) {
    if (!isAllowed(step, vm, tickets)) continue
    for (let count = 1; chosen.length < step.tasks.length; count++) {
      const totalNeed = { cpuMillis: need.cpuMillis * count, memoryMb: need.memoryMb * count, accelerators: need.accelerators * count }
      if (!vm.hasRoom(totalNeed, fills) || (maxTasksPerVm !== undefined && count > maxTasksPerVm)) break
      chosen.push(vm)
    }
  }
  return chosen.length === step.tasks.length ? chosen : undefined
}

/** Returns the VM with the lowest score among those that can take the task, or undefined if there is none. */
function chooseVm (
  step: TrackedStep, task: TrackedTask, vms: readonly TrackedVm[], tickets: ReadonlyMap<string, string> | 'none', awaitedRacks: ReadonlySet<string> | undefined
): TrackedVm | undefined {
  const { spec } = step
  let best: TrackedVm | undefined
  let bestScore = Infinity
  for (const vm of vms) {
    if (!vm.hasRoom(spec.need, spec.fills) || !isAllowed(step, vm, tickets) || hasRunOfTask(vm, task)) continue
    if (spec.maxTasksPerVm !== undefined && vm.countRunsOf(step) >= spec.maxTasksPerVm) continue
    let score = scoreVm(step, task, vm)
    if (awaitedRacks?.has(vm.rack) === true && vm.rack !== spec.dataRack) score += AWAITED_RACK_WEIGHT
    if (score < bestScore) {
      best = vm
      bestScore = score
    }
  }
  return best
}

/**
 * Returns true if the VM already has a run of the task. A second run there would be slowed or lost
 * together with the first.
 */
function hasRunOfTask (vm: TrackedVm, task: TrackedTask): boolean {
  for (const run of task.runs) {
    if (run.vmId === vm.id) return true
  }
  return false
}

/**
 * Each weight exceeds the sum of all smaller terms of the score. The smallest term is the free processor in thousandths of a
 * core, which is at most some hundred thousand.
 */
const FAILED_HERE_WEIGHT = 1e9
const OTHER_RACK_WEIGHT = 1e8
const AWAITED_RACK_WEIGHT = 1e7

/**
 * Returns the score of a VM for a task; the VM with the lowest score is chosen. VMs on which the task failed or was overdue
 * come last, and VMs outside the rack of its data come next to last. Among equals, the VM with the least free processor comes
 * first; for a best-effort task, the VM with the most. `chooseVm` puts racks for which tasks of other steps wait behind the others.
 */
function scoreVm (step: TrackedStep, task: TrackedTask, vm: TrackedVm): number {
  const { spec } = step
  // Fuller VMs are filled first, so that others stay empty and their machines can be moved to pools with demand.
  let score = spec.fills ? -vm.freeCpuMillis : vm.freeCpuMillis
  if (task.failedVms.has(vm.id)) score += FAILED_HERE_WEIGHT
  if (spec.dataRack !== undefined && vm.rack !== spec.dataRack) score += OTHER_RACK_WEIGHT
  return score
}
