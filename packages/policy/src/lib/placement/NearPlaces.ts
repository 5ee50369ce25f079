/**
 * Waits for places near the data of tasks: which tasks wait at present, for how long, and what came of it.
 */
import { EventCode } from '@vanillathread/model'
import type { DurationEstimates } from '../jobs/DurationEstimates.js'
import { Urgency, type JobRank } from '../jobs/rankJobs.js'
import type { DecisionLogger } from '../jobs/SchedulerState.js'
import type { PlacementContext } from '../jobs/startTask.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedTask } from '../jobs/TrackedTask.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { decideNearPlaceWait, type NearPlaceDecision } from './decideNearPlaceWait.js'
import { forecastPlaces, MIN_SAMPLES } from './forecastPlaces.js'
import { getReadySinceMs } from './getReadySinceMs.js'

/**
 * Time for which a pool counts as full after a task found no room in it. Tasks that wait leave room in a pool with too much work, so
 * that it has some in many plans.
 */
const FULL_MS = 1_000

/** Free share of a pool's processor below which the pool counts as full. */
const MIN_FREE_SHARE = 0.15

/** Rules for waits for near places. @public */
export interface NearPlaceRules {
  /** Factor by which a task takes longer outside the rack of its data. */
  readonly remoteFactor: number
  /** Longest time from when a step is ready until its tasks wait no more, in milliseconds; 0 if no task is to wait. */
  readonly maxWaitMs: number
  /** Decides how many tasks wait; other functions serve comparisons. */
  readonly decide?: typeof decideNearPlaceWait
}

/** Numbers of starts of tasks with data in a known rack or of a gang that needs one rack, since the owner began. @public */
export interface NearPlaceCounts {
  /** Starts in the rack of the data, or of a gang in one rack. */
  near: number
  /** Starts in any other place. */
  far: number
  /** Starts of tasks that had waited for a near place. */
  waited: number
  /** Starts of tasks whose wait did not pay: they got a far place in the end, or waited longer than a far place costs. */
  waitedInVain: number
}

/** The wait of a step's tasks. */
interface StepWait {
  readonly sinceMs: number
  readonly farCostMs: number
  /** Time at which the wait ends at the latest. */
  readonly untilMs: number
  /** Tasks that wait and have not started. */
  readonly tasks: Set<TrackedTask>
  near: number
  far: number
  /** True once the end was logged; tasks whose start a VM refused may wait again. */
  isEndLogged: boolean
}

/** Options of {@link NearPlaces.create}. @public */
export interface NearPlacesOptions extends NearPlaceRules {
  readonly estimates: DurationEstimates
  readonly logDecision: DecisionLogger
}

/** What a decision on a step's tasks needs beside the tasks. @public */
export interface NearPlaceRequest {
  readonly rank: JobRank
  /** VMs of the pool that may get tasks of the step. */
  readonly vms: readonly TrackedVm[]
  readonly context: PlacementContext
}

/** Waits for near places in one shard. @public */
export class NearPlaces {
  readonly counts: NearPlaceCounts = { near: 0, far: 0, waited: 0, waitedInVain: 0 }
  private readonly waits = new WeakMap<TrackedStep, StepWait>()
  /** By pool and rack: processor that waiting tasks need, in the plan in progress. */
  private readonly claims = new Map<string, Map<string, number>>()
  /** Racks for which tasks waited in the last plan, by pool. */
  private readonly awaited = new Map<string, ReadonlySet<string>>()
  private readonly fullAtMs = new Map<string, number>()

  private constructor (private readonly options: NearPlacesOptions) {}

  static create (options: NearPlacesOptions): NearPlaces {
    return new NearPlaces(options)
  }

  get remoteFactor (): number {
    return this.options.remoteFactor
  }

  /** Prepares the plan of a pool. */
  beginPlan (pool: string): void {
    const claims = this.claims.get(pool)
    if (claims === undefined && !this.awaited.has(pool)) return
    if (claims === undefined) this.awaited.delete(pool)
    else this.awaited.set(pool, new Set(claims.keys()))
    this.claims.delete(pool)
  }

  /** Returns the racks of a pool for which tasks waited in the last plan, or undefined if there are none. */
  getAwaitedRacks (pool: string): ReadonlySet<string> | undefined {
    return this.awaited.get(pool)
  }

  /** Records that a task found no room in its pool. */
  recordNoRoom (pool: string, nowMs: number): void {
    this.fullAtMs.set(pool, nowMs)
  }

  /** Returns the factor on the duration of a task that runs on the VM. */
  getFactor ({ spec: { dataRack } }: TrackedStep, vm: TrackedVm): number {
    return dataRack === undefined || dataRack === vm.rack ? 1 : this.options.remoteFactor
  }

  /** Returns how many of the tasks of a step, for which the rack of their data has no room now, wait for it. */
  countHeldBack (step: TrackedStep, request: NearPlaceRequest): number {
    const { dataRack } = step.spec
    if (dataRack === undefined) return 0
    const tasks = step.tasks.filter((task) => canWait(task))
    const near = request.vms.filter((vm) => vm.rack === dataRack)
    const claimedMillis = this.claims.get(step.occurrence.job.accepted.pool)?.get(dataRack) ?? 0
    const skipped = Math.ceil(claimedMillis / Math.max(1, step.spec.need.cpuMillis))
    const decision = this.decide(step, request, (horizonMs) => {
      const placesMs = forecastPlaces(step, near, this.options.estimates, { nowMs: request.context.nowMs, horizonMs })
      return tasks.map((_, index) => placesMs[skipped + index] ?? Infinity)
    })
    if (decision === undefined || near.length === 0) return 0
    this.holdBack(step, tasks.slice(0, decision.waitCount), decision, { rack: dataRack, ...request.context })
    return decision.waitCount
  }

  /** Returns true if a gang that fits in no single rack now waits for one. */
  holdsGangBack (step: TrackedStep, request: NearPlaceRequest): boolean {
    if (!step.tasks.every((task) => canWait(task))) return false
    const { context, vms } = request
    const claims = this.claims.get(step.occurrence.job.accepted.pool)
    let best: { readonly rack: string, readonly waitMs: number } | undefined
    const decision = this.decide(step, request, (horizonMs) => {
      for (const [rack, members] of groupByRack(vms)) {
        const placesMs = forecastPlaces(step, members, this.options.estimates, { nowMs: context.nowMs, horizonMs })
        const skipped = Math.ceil((claims?.get(rack) ?? 0) / Math.max(1, step.spec.need.cpuMillis))
        const waitMs = placesMs[skipped + step.tasks.length - 1] ?? Infinity
        if (waitMs < (best?.waitMs ?? Infinity)) best = { rack, waitMs }
      }
      return [best?.waitMs ?? Infinity]
    })
    if (decision === undefined || best === undefined || decision.waitCount === 0) return false
    this.holdBack(step, step.tasks, decision, { rack: best.rack, nowMs: context.nowMs })
    return true
  }

  /** Sets the factor of the runs of a gang that needs one rack and has started, and counts them. */
  recordGangStart (runs: readonly TrackedRun[], isInOneRack: boolean, nowMs: number): void {
    for (const run of runs) {
      run.placeFactor = isInOneRack ? 1 : this.options.remoteFactor
      this.countStart(run.task, isInOneRack, nowMs)
    }
  }

  /** Sets the factor of a run that starts, and counts it if the rack of its data is known. */
  recordStart (run: TrackedRun, vm: TrackedVm, nowMs: number): void {
    const { task } = run
    const { step } = task
    run.placeFactor = this.getFactor(step, vm)
    if (step.spec.dataRack !== undefined && !step.spec.sameRack) this.countStart(task, run.placeFactor === 1, nowMs)
  }

  private countStart (task: TrackedTask, isNear: boolean, nowMs: number): void {
    this.counts[isNear ? 'near' : 'far'] += 1
    const wait = this.waits.get(task.step)
    if (wait?.tasks.delete(task) !== true) return
    wait[isNear ? 'near' : 'far'] += 1
    this.counts.waited += 1
    if (!isNear || nowMs - wait.sinceMs > wait.farCostMs) this.counts.waitedInVain += 1
    if (wait.tasks.size > 0 || wait.isEndLogged) return
    wait.isEndLogged = true
    this.options.logDecision(EventCode.NearPlaceWait, {
      job: task.step.occurrence.job.id, step: task.step.index, outcome: 'over', waitedMs: Math.round(nowMs - wait.sinceMs), near: wait.near, far: wait.far,
    })
  }

  /** Returns the decision on a step, or undefined if its tasks must not wait. `forecast` returns the expected waits up to a horizon. */
  private decide (step: TrackedStep, { rank, vms, context }: NearPlaceRequest, forecast: (horizonMs: number) => number[]): NearPlaceDecision | undefined {
    const { spec, occurrence: { job: { accepted } } } = step
    const { remoteFactor, maxWaitMs, estimates, decide = decideNearPlaceWait } = this.options
    const { nowMs } = context
    if (maxWaitMs <= 0 || remoteFactor <= 1 || spec.longRunning || rank.urgency !== Urgency.InTime) return undefined
    const untilMs = Math.min(getReadySinceMs(step, context) + maxWaitMs, this.waits.get(step)?.untilMs ?? Infinity)
    if (untilMs <= nowMs) return undefined
    const taskMs = estimates.findTaskMs(accepted.queue, spec.estimateMs, MIN_SAMPLES)
    if (taskMs === undefined) return undefined
    const waitsMs = forecast(untilMs - nowMs)
    const isPoolFull = nowMs - (this.fullAtMs.get(accepted.pool) ?? -Infinity) < FULL_MS || getFreeShare(vms) < MIN_FREE_SHARE
    return decide({ waitsMs, taskMs, remoteFactor, slackMs: rank.slackMs, leftMs: untilMs - nowMs, isPoolFull })
  }

  /** Records that tasks of a step wait, and logs the first decision of the step. */
  private holdBack (step: TrackedStep, tasks: readonly TrackedTask[], decision: NearPlaceDecision, { rack, nowMs }: { readonly rack: string, readonly nowMs: number }): void {
    if (tasks.length === 0) return
    const { job } = step.occurrence
    let claims = this.claims.get(job.accepted.pool)
    if (claims === undefined) this.claims.set(job.accepted.pool, claims = new Map())
    claims.set(rack, (claims.get(rack) ?? 0) + Math.max(1, step.spec.need.cpuMillis) * tasks.length)
    const wait = this.waits.get(step)
    if (wait !== undefined) {
      for (const task of tasks) wait.tasks.add(task)
      return
    }
    const { farCostMs, waitCostMs, untilMs } = decision
    this.waits.set(step, { sinceMs: nowMs, farCostMs, untilMs: nowMs + untilMs, tasks: new Set(tasks), near: 0, far: 0, isEndLogged: false })
    this.options.logDecision(EventCode.NearPlaceWait, {
      job: job.id, step: step.index, outcome: 'waits', rack, tasks: tasks.length, farCostMs: Math.round(farCostMs), waitCostMs: Math.round(waitCostMs), untilMs: Math.round(untilMs),
    })
  }
}

/** Returns the free share of the processor of the given VMs. */
function getFreeShare (vms: readonly TrackedVm[]): number {
  let freeMillis = 0
  let totalMillis = 0
  for (const vm of vms) {
    freeMillis += vm.freeCpuMillis
    totalMillis += vm.entry.capacity.cpuMillis
  }
  return freeMillis / Math.max(1, totalMillis)
}

function groupByRack (vms: readonly TrackedVm[]): Map<string, TrackedVm[]> {
  const racks = new Map<string, TrackedVm[]>()
  for (const vm of vms) {
    const members = racks.get(vm.rack)
    if (members === undefined) racks.set(vm.rack, [vm])
    else members.push(vm)
  }
  return racks
}

/** Returns true if a task may wait for a near place: it needs its first run. A task that lost a run or needs a second one starts at once. */
export function canWait (task: TrackedTask): boolean {
  return task.isWaiting && !task.needsTrial && !task.needsSecondRun && !task.begun && task.failedVms.size === 0
}
