/**
 * Loads with data in racks for tests of waits for near places, played through the scheduler on a simulated clock.
 */
import { RunEnd, type EndEntry } from '@vanillathread/model'
import { createTestJob, createTestStep, createVmEntry, reportRunning, STOP_MS } from '../jobs/testSupport.js'
import { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind, StartOutcome } from '../jobs/orders.js'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import { RandomSource } from '../random/RandomSource.js'
import type { NearPlaceCounts, NearPlaceRules } from './NearPlaces.js'

const TICK_MS = 10
const TASK_MS = 1_000
const RACKS = 5
const VMS_PER_RACK = 4
const LONG_FACTOR = 7
const CORES_PER_VM = 8

/** A load. Each of the 20 VMs in five racks takes eight tasks of one core. */
export interface RackLoad {
  /** Work that arrives, as a share of the capacity if all tasks ran near their data. */
  readonly utilization: number
  /** Share of the jobs with their data in the first rack; the others have it anywhere. */
  readonly hotShare: number
  /** Share of the tasks that take seven times as long. */
  readonly longShare?: number
  /** Largest relative error of the client's estimates. */
  readonly estimateError?: number
  /** Share of the jobs whose data may be read from anywhere. */
  readonly plainShare?: number
  /** Gangs of eight tasks that need one rack, per second. */
  readonly gangsPerSecond?: number
  readonly remoteFactor?: number
}

/** What callers got. */
export interface RackResult {
  jobs: number
  inTime: number
  late: number
  meanMs: number
  gangMeanMs: number
  counts: NearPlaceCounts | undefined
}

interface LoadJob { readonly id: string, readonly atMs: number, readonly isGang: boolean, readonly durationsMs: readonly number[], readonly objectiveMs: number }

/** Plays a load for `lengthMs` of arrivals and until all jobs have ended. */
export function playRackLoad (load: RackLoad, seed: number, rules: Partial<NearPlaceRules>, lengthMs = 30_000): RackResult {
  const random = RandomSource.create(seed)
  const remoteFactor = load.remoteFactor ?? 2
  const scheduler = JobScheduler.create({
    generation: 0, fencingToken: 1, leaseMs: 1e9, stopMs: STOP_MS, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {}, nearPlaces: { remoteFactor, maxWaitMs: 1_000, ...rules },
  })
  const rackOf = (index: number): string => `r${index}`
  for (let index = 0; index < RACKS * VMS_PER_RACK; index++) reportRunning(scheduler, createVmEntry(`vm${index}`, { labels: [rackOf(Math.floor(index / VMS_PER_RACK))] }), 0)
  const jobs = new Map<string, LoadJob>()
  const ends = new Map<TrackedRun, number>()
  const numbers = new Map<string, number>()
  const result: RackResult = { jobs: 0, inTime: 0, late: 0, meanMs: 0, gangMeanMs: 0, counts: undefined }
  let gangs = 0
  const meanTasks = 3
  const meanTaskMs = TASK_MS * (1 + (load.longShare ?? 0) * (LONG_FACTOR - 1))
  const jobsPerTick = load.utilization * RACKS * VMS_PER_RACK * CORES_PER_VM / (meanTasks * meanTaskMs) * TICK_MS
  const addJob = (nowMs: number, isGang: boolean): void => {
    const id = (jobs.size + 1).toString(16).padStart(16, '0')
    const taskCount = isGang ? 8 : 1 + random.nextBelow(2 * meanTasks - 1)
    const scale = 0.6 + 0.8 * random.nextFloat()
    const durationsMs = Array.from({ length: taskCount }, () => TASK_MS * scale * (0.8 + 0.4 * random.nextFloat()) * (random.nextFloat() < (load.longShare ?? 0) ? LONG_FACTOR : 1))
    const estimateMs = TASK_MS * scale * (1 + (load.estimateError ?? 0) * (2 * random.nextFloat() - 1))
    const isPlain = random.nextFloat() < (load.plainShare ?? 0)
    const rack = random.nextFloat() < load.hotShare ? 0 : random.nextBelow(RACKS)
    const dataRack = isGang || isPlain ? undefined : rackOf(rack)
    jobs.set(id, { id, atMs: nowMs, isGang, durationsMs, objectiveMs: 1.6 * Math.max(...durationsMs) + 600 })
    scheduler.addJob({ ...createTestJob({ id, acceptedAtMs: nowMs, steps: [createTestStep({ taskCount, estimateMs, dataRack, gang: isGang, sameRack: isGang })] }), queue: isGang ? 'gangs' : 'queue' }, 2, nowMs)
  }
  for (let nowMs = TICK_MS; nowMs < lengthMs * 4; nowMs += TICK_MS) {
    if (nowMs < lengthMs) {
      for (let left = jobsPerTick; random.nextFloat() < left; left -= 1) addJob(nowMs, false)
      if (random.nextFloat() < (load.gangsPerSecond ?? 0) * TICK_MS / 1_000) addJob(nowMs, true)
    } else if (ends.size === 0) break
    const entries = new Map<string, EndEntry[]>()
    for (const [run, endMs] of ends) {
      if (endMs > nowMs) continue
      ends.delete(run)
      const number = (numbers.get(run.vmId) ?? 0) + 1
      numbers.set(run.vmId, number)
      entries.set(run.vmId, [...entries.get(run.vmId) ?? [], { number, task: run.name, run: run.number, end: RunEnd.Done, checkpoint: '' }])
    }
    for (const [vmId, list] of entries) {
      const vm = scheduler.state.vms.get(vmId)
      if (vm === undefined) throw new Error(`no VM ${vmId}`)
      const running = [...ends.keys()].filter((run) => run.vmId === vmId).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running, ends: list }, nowMs, nowMs)
    }
    for (const order of scheduler.plan({ nowMs, storeNowMs: nowMs, wallClockMs: nowMs }, () => undefined)) {
      const { run } = order
      if (order.kind === OrderKind.Stop) {
        if (ends.has(run)) ends.set(run, nowMs)
        continue
      }
      if (order.kind !== OrderKind.Start) continue
      scheduler.applyStart(run, StartOutcome.Accepted, nowMs)
      const job = jobs.get(run.task.step.occurrence.job.id)
      ends.set(run, nowMs + (job?.durationsMs[run.task.index] ?? 0) * getTrueFactor(scheduler, run, remoteFactor))
    }
    for (const job of scheduler.listJobsToStore()) {
      job.changed = false
      scheduler.markStored(job, job.toProgress(nowMs))
      const load = jobs.get(job.id)
      if (!job.isComplete || load === undefined) continue
      const tookMs = nowMs - load.atMs
      if (load.isGang) {
        gangs += 1
        result.gangMeanMs += tookMs
        continue
      }
      result.jobs += 1
      result.meanMs += tookMs
      if (tookMs <= load.objectiveMs) result.inTime += 1
      else if (tookMs <= 3 * load.objectiveMs) result.late += 1
    }
  }
  result.meanMs /= Math.max(1, result.jobs)
  result.gangMeanMs /= Math.max(1, gangs)
  result.counts = scheduler.state.nearPlaces?.counts
  return result
}

/** Returns the factor by which a run takes longer where it runs: outside the rack of its data, or in a gang over several racks. */
function getTrueFactor (scheduler: JobScheduler, { task: { step }, vmId }: TrackedRun, remoteFactor: number): number {
  const getRack = (id: string): string | undefined => scheduler.state.vms.get(id)?.rack
  const { dataRack, sameRack } = step.spec
  if (sameRack) return new Set(step.tasks.flatMap((task) => [...task.runs].map((run) => getRack(run.vmId)))).size > 1 ? remoteFactor : 1
  return dataRack === undefined || getRack(vmId) === dataRack ? 1 : remoteFactor
}
