/**
 * Loads with data in racks for tests of waits for near places, played through the scheduler on a simulated clock.
 */
import { RunEnd, type EndEntry } from '@vanillathread/model'
import { createScheduler, createTestJob, createTestStep, createVmEntry, reportRunning } from '../jobs/testSupport.js'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind, StartOutcome } from '../jobs/orders.js'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import { RandomSource } from '../random/RandomSource.js'
import type { NearPlaceRules } from './NearPlaces.js'

const TICK_MS = 10
const TASK_MS = 1_000
const MEAN_TASKS = 3
const GANG_SIZE = 8
const LONG_FACTOR = 7
const RACKS = 5
const VMS_PER_RACK = 4
const CORES = RACKS * VMS_PER_RACK * 8

/** A load. Each of 20 VMs in five racks takes eight tasks; a far place doubles their durations. */
export interface RackLoad {
  /** Work that arrives, as a share of the capacity if all tasks ran near their data. */
  readonly utilization: number
  /** Share of the jobs with their data in the first rack; that of the others is spread evenly. */
  readonly hotShare: number
  /** Share of the tasks that take seven times as long. */
  readonly longShare?: number
  /** Largest relative error of the client's estimates. */
  readonly estimateError?: number
  /** Share of the jobs whose tasks take the same time everywhere. */
  readonly plainShare?: number
  /** Gangs of eight tasks that need one rack. */
  readonly gangsPerSecond?: number
  /** Time for which jobs arrive. */
  readonly lengthMs?: number
}

/** What callers got: shares of the jobs in time and late, and mean times to the end of jobs and of gangs. */
export interface RackResult { inTime: number, late: number, meanMs: number, gangMeanMs: number }

interface RackJob { readonly atMs: number, readonly isGang: boolean, readonly durationsMs: readonly number[] }

/** Plays a load with each seed until all jobs have ended, and returns the means. */
export function playRackLoads (load: RackLoad, seeds: readonly number[], rules: Partial<NearPlaceRules>): RackResult {
  const results = seeds.map((seed) => new RackDay(load, RandomSource.create(seed), rules).run())
  const average = (field: keyof RackResult): number => results.reduce((sum, res) => sum + res[field], 0) / results.length
  return { inTime: average('inTime'), late: average('late'), meanMs: average('meanMs'), gangMeanMs: average('gangMeanMs') }
}

class RackDay {
  private readonly scheduler: JobScheduler
  private readonly jobs = new Map<string, RackJob>()
  private readonly endsMs = new Map<TrackedRun, number>()
  private readonly endCounts = new Map<string, number>()
  private readonly tookMs = { jobs: [] as number[], gangs: [] as number[] }
  private inTime = 0
  private late = 0

  constructor (private readonly load: RackLoad, private readonly random: RandomSource, rules: Partial<NearPlaceRules>) {
    this.scheduler = createScheduler({ nearPlaces: { remoteFactor: 2, maxWaitMs: 1_000, ...rules } })
    for (let vm = 0; vm < RACKS * VMS_PER_RACK; vm++) reportRunning(this.scheduler, createVmEntry(`vm${vm}`, { labels: [`r${vm % RACKS}`] }), 0)
  }

  run (): RackResult {
    const { utilization, longShare = 0, gangsPerSecond = 0, lengthMs = 8_000 } = this.load
    const jobsPerTick = utilization * CORES * TICK_MS / (MEAN_TASKS * TASK_MS * (1 + longShare * (LONG_FACTOR - 1)))
    for (let nowMs = TICK_MS; nowMs < lengthMs || this.endsMs.size > 0; nowMs += TICK_MS) {
      for (let left = nowMs < lengthMs ? jobsPerTick : 0; this.random.nextFloat() < left; left -= 1) this.addJob(nowMs, 1 + this.random.nextBelow(2 * MEAN_TASKS - 1), false)
      if (nowMs < lengthMs && this.random.nextFloat() < gangsPerSecond * TICK_MS / 1_000) this.addJob(nowMs, GANG_SIZE, true)
      this.reportEnds(nowMs)
      this.plan(nowMs)
      this.recordResults(nowMs)
    }
    const average = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
    const count = this.tookMs.jobs.length
    return { inTime: this.inTime / count, late: this.late / count, meanMs: average(this.tookMs.jobs), gangMeanMs: average(this.tookMs.gangs) }
  }

  private addJob (nowMs: number, taskCount: number, isGang: boolean): void {
    const { hotShare, longShare = 0, estimateError = 0, plainShare = 0 } = this.load
    const { random } = this
    const meanMs = TASK_MS * (0.6 + 0.8 * random.nextFloat())
    const durationsMs = Array.from({ length: taskCount }, () => meanMs * (0.8 + 0.4 * random.nextFloat()) * (random.nextFloat() < longShare ? LONG_FACTOR : 1))
    const estimateMs = meanMs * (1 + estimateError * (2 * random.nextFloat() - 1))
    const rack = random.nextFloat() < hotShare ? 0 : random.nextBelow(RACKS)
    const dataRack = isGang || random.nextFloat() < plainShare ? undefined : `r${rack}`
    const id = (this.jobs.size + 1).toString(16).padStart(16, '0')
    const job = createTestJob({ id, acceptedAtMs: nowMs, steps: [createTestStep({ taskCount, estimateMs, dataRack, gang: isGang, sameRack: isGang })] })
    this.jobs.set(id, { atMs: nowMs, isGang, durationsMs })
    this.scheduler.addJob({ ...job, queue: isGang ? 'gangs' : 'queue' }, 2, nowMs)
  }

  private reportEnds (nowMs: number): void {
    const endsByVm = new Map<string, EndEntry[]>()
    for (const [run, endMs] of this.endsMs) {
      if (endMs > nowMs) continue
      this.endsMs.delete(run)
      const number = (this.endCounts.get(run.vmId) ?? 0) + 1
      this.endCounts.set(run.vmId, number)
      endsByVm.set(run.vmId, [...endsByVm.get(run.vmId) ?? [], { number, task: run.name, run: run.number, end: RunEnd.Done, checkpoint: '' }])
    }
    for (const [vmId, ends] of endsByVm) {
      const vm = this.scheduler.state.vms.get(vmId)
      const running = [...this.endsMs.keys()].filter((run) => run.vmId === vmId).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      if (vm !== undefined) this.scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running, ends }, nowMs, nowMs)
    }
  }

  private plan (nowMs: number): void {
    for (const { kind, run } of this.scheduler.plan({ nowMs, storeNowMs: nowMs, wallClockMs: nowMs }, () => undefined)) {
      const durationMs = this.jobs.get(run.task.step.occurrence.job.id)?.durationsMs[run.task.index] ?? 0
      if (kind === OrderKind.Stop && this.endsMs.has(run)) this.endsMs.set(run, nowMs)
      if (kind !== OrderKind.Start) continue
      this.scheduler.applyStart(run, StartOutcome.Accepted, nowMs)
      this.endsMs.set(run, nowMs + durationMs * this.getFactor(run))
    }
  }

  /** Returns the factor by which a run takes longer where it runs, independently of what the scheduler recorded. */
  private getFactor ({ task: { step }, vmId }: TrackedRun): number {
    const getRack = (id: string): string | undefined => this.scheduler.state.vms.get(id)?.rack
    const racks = step.spec.sameRack ? step.tasks.flatMap((task) => [...task.runs].map((run) => getRack(run.vmId))) : [getRack(vmId), step.spec.dataRack ?? getRack(vmId)]
    return new Set(racks).size > 1 ? 2 : 1
  }

  private recordResults (nowMs: number): void {
    for (const tracked of this.scheduler.listJobsToStore()) {
      tracked.changed = false
      this.scheduler.markStored(tracked, tracked.toProgress(nowMs))
      const job = this.jobs.get(tracked.id)
      if (job === undefined || !tracked.isComplete) continue
      const tookMs = nowMs - job.atMs
      this.tookMs[job.isGang ? 'gangs' : 'jobs'].push(tookMs)
      const objectiveMs = 1.6 * Math.max(...job.durationsMs) + 600
      if (job.isGang) continue
      if (tookMs <= objectiveMs) this.inTime += 1
      else if (tookMs <= 3 * objectiveMs) this.late += 1
    }
  }
}
