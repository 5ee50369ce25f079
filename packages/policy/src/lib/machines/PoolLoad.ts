/**
 * What a pool's queues ask for, measured where the jobs are.
 */
import { rankJob, Urgency } from '../jobs/rankJobs.js'
import type { SchedulerState } from '../jobs/SchedulerState.js'
import type { TrackedJob, TrackedStep } from '../jobs/TrackedJob.js'

/** Demand of one pool. @public */
export interface PoolLoad {
  readonly pool: string
  /** Processor that tasks of limited duration occupy or wait for, of jobs that can still be in time, in thousandths of a core. */
  readonly busyCpuMillis: number
  /** Same of jobs that can only be late. */
  readonly lateCpuMillis: number
  /** Processor that long-running tasks occupy or wait for. */
  readonly lastingCpuMillis: number
  /** Memory that tasks occupy or wait for, without those of late jobs. */
  readonly memoryMb: number
  readonly lateMemoryMb: number
  /** Fewest VMs on which the pool's tasks can be spread as they ask. */
  readonly fewestVms: number
  /** Processor that recent arrivals would occupy if they went on at this rate, in thousandths of a core. */
  readonly arrivingCpuMillis: number
  /** Change of that figure in a second. */
  readonly trendCpuMillisPerSecond: number
}

/** Window of one arrival rate: a turn of demand lasts several of them. */
const WINDOW_MS = 1_000

interface Arrival {
  readonly atMs: number
  readonly work: number
}

/** Work that arrives, by pool. @public */
export class ArrivalMeter {
  private readonly arrivals = new Map<string, Arrival[]>()

  private constructor () {}

  static create (): ArrivalMeter {
    return new ArrivalMeter()
  }

  /** @param work - thousandths of a core times seconds. */
  observe (pool: string, work: number, nowMs: number): void {
    const arrivals = this.arrivals.get(pool) ?? []
    arrivals.push({ atMs: nowMs, work })
    while (arrivals.length > 0 && (arrivals[0]?.atMs ?? 0) < nowMs - 2 * WINDOW_MS) arrivals.shift()
    this.arrivals.set(pool, arrivals)
  }

  /** Returns the rate of the last window, and how much it exceeds the one before. */
  getRate (pool: string, nowMs: number): { rate: number, trend: number } {
    let recent = 0
    let before = 0
    for (const arrival of this.arrivals.get(pool) ?? []) {
      const ageMs = nowMs - arrival.atMs
      if (ageMs <= WINDOW_MS) recent += arrival.work
      else if (ageMs <= 2 * WINDOW_MS) before += arrival.work
    }
    return { rate: recent, trend: recent - before }
  }
}

/** Work of a job in thousandths of a core times seconds. */
export function getJobWork (state: SchedulerState, job: TrackedJob): number {
  let work = 0
  for (const step of job.accepted.spec.steps) {
    if (step.longRunning || step.fills) continue
    work += step.taskCount * step.need.cpuMillis * state.estimates.getTaskMs(job.accepted.queue, step.estimateMs) / 1_000
  }
  return work
}

/** Sums up a pool's demand. */
export function measureDemand (state: SchedulerState, pool: string, arrivals: ArrivalMeter, moment: { readonly nowMs: number, readonly storeNowMs: number }): PoolLoad {
  const sum = { busyCpuMillis: 0, lateCpuMillis: 0, lastingCpuMillis: 0, memoryMb: 0, lateMemoryMb: 0, fewestVms: 0 }
  for (const job of state.openJobs.get(pool) ?? []) {
    const isLate = rankJob(job, state.estimates, moment.storeNowMs).urgency > Urgency.InTime
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        if (!step.isDone && step.isReady) addStep(sum, step, isLate)
      }
    }
  }
  const { rate, trend } = arrivals.getRate(pool, moment.nowMs)
  return { pool, ...sum, arrivingCpuMillis: rate, trendCpuMillisPerSecond: trend }
}

interface DemandSum {
  busyCpuMillis: number
  lateCpuMillis: number
  lastingCpuMillis: number
  memoryMb: number
  lateMemoryMb: number
  fewestVms: number
}

function addStep (sum: DemandSum, step: TrackedStep, isLate: boolean): void {
  const { need, fills, longRunning, maxTasksPerVm } = step.spec
  const open = step.tasks.length - step.doneCount
  if (!fills && longRunning) sum.lastingCpuMillis += open * need.cpuMillis
  else if (!fills) sum[isLate ? 'lateCpuMillis' : 'busyCpuMillis'] += open * need.cpuMillis
  sum[isLate ? 'lateMemoryMb' : 'memoryMb'] += open * need.memoryMb
  const fewest = maxTasksPerVm === undefined ? 1 : Math.ceil(open / maxTasksPerVm)
  sum.fewestVms = Math.max(sum.fewestVms, fewest)
}
