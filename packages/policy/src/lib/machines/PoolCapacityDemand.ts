/**
 * Demand of a pool: the capacity that the open jobs of its queues need, as their owner measures it.
 */
import { rankJob, Urgency } from '../jobs/rankJobs.js'
import type { SchedulerState } from '../jobs/SchedulerState.js'
import type { TrackedJob } from '../jobs/TrackedJob.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import { TeamDemand } from '../teams/TeamDemand.js'

/** Demand of one pool. @public */
export interface PoolCapacityDemand {
  readonly pool: string
  /** Processor that finite tasks of jobs that can still end in time occupy or wait for, in thousandths of a core. */
  readonly busyCpuMillis: number
  /** Same as `busyCpuMillis`, for jobs that can only end late. */
  readonly lateCpuMillis: number
  /** Processor that long-running tasks occupy or wait for, in thousandths of a core. */
  readonly longRunningCpuMillis: number
  /** Memory that tasks occupy or wait for, in mebibytes, without the tasks of jobs that can only end late. */
  readonly memoryMb: number
  /** Same as `memoryMb`, for the tasks of jobs that can only end late. */
  readonly lateMemoryMb: number
  /** Fewest VMs with which the open tasks of each step fit under the step's limit of tasks per VM. */
  readonly minVms: number
  /** Processor that jobs would occupy if they went on arriving at the recent rate, in thousandths of a core. */
  readonly arrivingCpuMillis: number
  /** Change of `arrivingCpuMillis` in a second. */
  readonly trendCpuMillisPerSecond: number
}

/** Window over which an arrival rate is measured; a period of high demand lasts several windows. */
const WINDOW_MS = 1_000

interface Arrival {
  readonly atMs: number
  /** In thousandths of a core times seconds. */
  readonly work: number
}

/** Measures the rate at which work arrives, by pool. @public */
export class ArrivalMeter {
  private readonly arrivals = new Map<string, Arrival[]>()

  private constructor () {}

  static create (): ArrivalMeter {
    return new ArrivalMeter()
  }

  /** Adds the work of a job that has arrived. @param work - in thousandths of a core times seconds. */
  recordArrival (pool: string, work: number, nowMs: number): void {
    const arrivals = this.arrivals.get(pool) ?? []
    arrivals.push({ atMs: nowMs, work })
    while (arrivals.length > 0 && (arrivals[0]?.atMs ?? 0) < nowMs - 2 * WINDOW_MS) arrivals.shift()
    this.arrivals.set(pool, arrivals)
  }

  /**
   * Returns the rate over the last window in thousandths of a core, and by how much it exceeds that of the window before. Both
   * are reduced by the share that chance explains, as one large job alone looks like high demand that rises fast.
   */
  getRate (pool: string, nowMs: number): { rate: number, trend: number } {
    const recent = { work: 0, jobs: 0 }
    const before = { work: 0, jobs: 0 }
    for (const arrival of this.arrivals.get(pool) ?? []) {
      const ageMs = nowMs - arrival.atMs
      if (ageMs > 2 * WINDOW_MS) continue
      const window = ageMs <= WINDOW_MS ? recent : before
      window.work += arrival.work
      window.jobs += 1
    }
    const rate = recent.jobs === 0 ? 0 : recent.work * (recent.jobs - 1) / recent.jobs
    const difference = Math.abs(recent.jobs - before.jobs)
    // The difference of two counts of random arrivals deviates from 0 by the root of their sum.
    const certainty = difference === 0 ? 0 : Math.max(0, 1 - Math.sqrt(recent.jobs + before.jobs) / difference)
    return { rate, trend: (recent.work - before.work) * certainty }
  }
}

/** Returns the expected work of a job's finite tasks in thousandths of a core times seconds, without best-effort tasks. */
export function getJobWork (state: SchedulerState, job: TrackedJob): number {
  let work = 0
  for (const step of job.accepted.spec.steps) {
    if (step.longRunning || step.fills) continue
    work += step.taskCount * step.need.cpuMillis * state.estimates.getTaskMs(job.accepted.queue, step.estimateMs) / 1_000
  }
  return work
}

/** Returns a pool's demand: the summed needs of the ready steps of its open jobs that are not done, and the arrival rate. */
export function measureDemand (state: SchedulerState, pool: string, arrivals: ArrivalMeter, clocks: { readonly nowMs: number, readonly storeNowMs: number }): PoolCapacityDemand {
  const sum = { busyCpuMillis: 0, lateCpuMillis: 0, longRunningCpuMillis: 0, memoryMb: 0, lateMemoryMb: 0, minVms: 0 }
  const teamDemand = TeamDemand.create(state.teams)
  for (const job of state.openJobs.get(pool) ?? []) {
    const isLate = rankJob(job, state.estimates, clocks.storeNowMs).urgency > Urgency.InTime
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        if (!step.isDone && step.isReady) addStep(sum, step, teamDemand.countOpen(step), isLate)
      }
    }
  }
  const { rate, trend } = arrivals.getRate(pool, clocks.nowMs)
  return { pool, ...sum, arrivingCpuMillis: rate, trendCpuMillisPerSecond: trend }
}

interface DemandSum {
  busyCpuMillis: number
  lateCpuMillis: number
  longRunningCpuMillis: number
  memoryMb: number
  lateMemoryMb: number
  minVms: number
}

/** @param open - number of the step's tasks that occupy or need capacity. */
function addStep (sum: DemandSum, step: TrackedStep, open: number, isLate: boolean): void {
  const { need, fills, longRunning, maxTasksPerVm } = step.spec
  if (!fills && longRunning) sum.longRunningCpuMillis += open * need.cpuMillis
  else if (!fills) sum[isLate ? 'lateCpuMillis' : 'busyCpuMillis'] += open * need.cpuMillis
  sum[isLate ? 'lateMemoryMb' : 'memoryMb'] += open * need.memoryMb
  const fewest = maxTasksPerVm === undefined ? 1 : Math.ceil(open / maxTasksPerVm)
  sum.minVms = Math.max(sum.minVms, fewest)
}
