/**
 * Runs that another owner of the shard may have started and that this owner does not know yet. After a takeover, the cap of a
 * team must hold for them as well.
 */
import { JobState, type Capacity, type StepSpec } from '@vanillathread/model'
import type { ClockReadings } from '../jobs/JobSchedulerOptions.js'
import type { TrackedJob } from '../jobs/TrackedJob.js'
import type { TrackedOccurrence } from '../jobs/TrackedOccurrence.js'
import type { TrackedTask } from '../jobs/TrackedTask.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { addCapacity, createCapacity, type MutableCapacity } from './capacity.js'

/** Possible runs of one team in one pool. */
interface PoolRuns {
  readonly ordinary: MutableCapacity
  /** Best-effort tasks, whose processor is not bounded by that of the VMs. */
  readonly bestEffort: MutableCapacity
}

/** Options of {@link PossibleRuns.create}. @public */
export interface PossibleRunsOptions {
  /** Time until which a previous owner may start tasks, also those of jobs that were accepted after the takeover. */
  readonly previousOwnerUntilMs: number
  /** Time for which runs of an ended job may go on: until their stops have ended, or their VM's lease has expired. */
  readonly endedJobRunMs: number
}

/** Sums of the possible runs by team and pool, kept until the runs of all VMs that may have any are known. @public */
export class PossibleRuns {
  /** Number of runs that another owner may have for each task. */
  private readonly unitsByTask = new Map<TrackedTask, number>()
  private readonly sums = new Map<string, Map<string, PoolRuns>>()
  /** Scheduled jobs, whose occurrences are tracked only once they are due. */
  private readonly scheduledJobs = new Set<TrackedJob>()
  /** Numbers of due occurrences that are not tracked one by one, by job. */
  private readonly unopenedByJob = new Map<TrackedJob, number>()
  /** Capacity of the VMs whose runs are not known, by pool. */
  private hiddenByPool: ReadonlyMap<string, Capacity> = new Map()
  private readonly newJobs: TrackedJob[] = []
  private settled = false

  private constructor (private readonly options: PossibleRunsOptions) {}

  static create (options: PossibleRunsOptions): PossibleRuns {
    return new PossibleRuns(options)
  }

  /** Adds a job whose tasks another owner may have started. They count from the next {@link PossibleRuns.refresh} on. */
  addJob (job: TrackedJob, nowMs: number): void {
    if (this.settled || job.accepted.team === undefined) return
    if (job.mayHavePreviousRuns || nowMs < this.options.previousOwnerUntilMs) this.newJobs.push(job)
  }

  /** Applies a change of a task's runs, or its end. */
  update (task: TrackedTask): void {
    if (this.unitsByTask.has(task)) this.setUnits(task, countPossibleRuns(task))
  }

  /** Adds the jobs that have come since the last call, and reads which VMs' runs are not known yet. Call it before each plan. */
  refresh (vmsByPool: ReadonlyMap<string, readonly TrackedVm[]>, { nowMs, storeNowMs, wallClockMs }: ClockReadings): void {
    if (this.settled) return
    for (const job of this.newJobs.splice(0)) this.trackJob(job, storeNowMs)
    const hiddenByPool = new Map<string, MutableCapacity>()
    for (const [pool, vms] of vmsByPool) {
      for (const vm of vms) {
        if (vm.isReconciled || !vm.mayHavePreviousRuns) continue
        const hidden = hiddenByPool.get(pool) ?? createCapacity()
        hiddenByPool.set(pool, hidden)
        addCapacity(hidden, vm.entry.capacity, 1)
      }
    }
    this.hiddenByPool = hiddenByPool
    if (hiddenByPool.size === 0 && nowMs >= this.options.previousOwnerUntilMs) this.settle()
    else for (const job of this.scheduledJobs) this.addDueOccurrences(job, wallClockMs)
  }

  /**
   * Returns the most that possible runs of a team's tasks occupy: what the tasks need, but no more than the VMs have whose runs
   * are not known. The runs of `except`, which this owner is about to start, are left out.
   */
  getBound (team: string, except: readonly TrackedTask[] = []): Capacity | undefined {
    if (this.settled || this.hiddenByPool.size === 0) return undefined
    const bound = createCapacity()
    for (const [pool, { ordinary, bestEffort }] of this.sums.get(team) ?? []) {
      const hidden = this.hiddenByPool.get(pool)
      if (hidden === undefined) continue
      const rest = { ordinary: { ...ordinary }, bestEffort: { ...bestEffort } }
      for (const task of except) {
        const { need, fills } = task.step.spec
        if (task.step.occurrence.job.accepted.pool === pool) addCapacity(fills ? rest.bestEffort : rest.ordinary, need, -(this.unitsByTask.get(task) ?? 0))
      }
      bound.cpuMillis += Math.min(rest.ordinary.cpuMillis, hidden.cpuMillis) + rest.bestEffort.cpuMillis
      bound.memoryMb += Math.min(rest.ordinary.memoryMb + rest.bestEffort.memoryMb, hidden.memoryMb)
      bound.accelerators += Math.min(rest.ordinary.accelerators + rest.bestEffort.accelerators, hidden.accelerators)
    }
    return bound
  }

  private trackJob (job: TrackedJob, storeNowMs: number): void {
    if (job.endedAtMs !== undefined && job.endedAtMs < storeNowMs - this.options.endedJobRunMs) return
    for (const occurrence of job.occurrences.values()) this.addOccurrence(occurrence)
    if (job.accepted.spec.repeatCount > 0 && !job.isOver) this.scheduledJobs.add(job)
  }

  private addOccurrence (occurrence: TrackedOccurrence): void {
    for (const step of occurrence.steps) {
      for (const task of step.tasks) {
        if (!this.unitsByTask.has(task)) this.setUnits(task, countPossibleRuns(task))
      }
    }
  }

  private addDueOccurrences (job: TrackedJob, wallClockMs: number): void {
    job.openDueOccurrences(wallClockMs)
    for (const occurrence of job.occurrences.values()) this.addOccurrence(occurrence)
    const unopened = job.countUnopened(wallClockMs)
    const added = unopened - (this.unopenedByJob.get(job) ?? 0)
    this.unopenedByJob.set(job, unopened)
    for (const step of added === 0 ? [] : job.accepted.spec.steps) this.addUnits(job, step, added * step.taskCount * (step.speculative ? 2 : 1))
  }

  private setUnits (task: TrackedTask, units: number): void {
    this.addUnits(task.step.occurrence.job, task.step.spec, units - (this.unitsByTask.get(task) ?? 0))
    this.unitsByTask.set(task, units)
  }

  private addUnits ({ accepted: { team = '', pool } }: TrackedJob, { need, fills }: StepSpec, units: number): void {
    const pools = this.sums.get(team) ?? new Map<string, PoolRuns>()
    this.sums.set(team, pools)
    const runs = pools.get(pool) ?? { ordinary: createCapacity(), bestEffort: createCapacity() }
    pools.set(pool, runs)
    addCapacity(fills ? runs.bestEffort : runs.ordinary, need, units)
  }

  private settle (): void {
    this.settled = true
    this.unitsByTask.clear()
    this.sums.clear()
    this.scheduledJobs.clear()
    this.unopenedByJob.clear()
  }
}

/** Returns how many runs of a task another owner may have beside those that are known. A done task may only have a second run. */
function countPossibleRuns (task: TrackedTask): number {
  const { spec, occurrence } = task.step
  const most = (task.done || occurrence.job.state === JobState.Complete ? 0 : 1) + (spec.speculative ? 1 : 0)
  return Math.max(0, most - task.runs.size)
}
