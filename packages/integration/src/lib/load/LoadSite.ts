/**
 * Sites whose load a simulation plays: pools, machines and queues whose demand rises in turn.
 */
import { STEP_DEFAULTS, type AcceptedJob, type Capacity, type JobSpec, type StepSpec } from '@vanillathread/model'
import type { RandomSource } from '@vanillathread/policy'

/** A random quantity with a log-normal distribution, cut off at `max`. */
export interface Quantity {
  readonly mean: number
  /** Standard deviation as a share of the mean. */
  readonly spread: number
  readonly max: number
}

/** A queue of finite jobs. */
export interface LoadQueue {
  readonly name: string
  readonly pool: string
  /** Mean number of jobs a second over a whole cycle of turns. */
  readonly jobsPerSecond: number
  /** Index of the queue's turn in the cycle. */
  readonly turn: number
  readonly priority: number
  /** Number of steps; each one starts after the one before it has ended. */
  readonly steps: Quantity
  readonly tasksPerStep: Quantity
  readonly durationMs: Quantity
  /** Spread of the durations of one step's tasks. */
  readonly taskSpread: number
  readonly cpuMillis: Quantity
  readonly memoryMb: Quantity
  /** What a job of mean work is worth if it ends within its objective. */
  readonly worth: number
}

/** A step of long-running tasks, one in each pool. */
export interface LongRunningLoad {
  readonly tasks: number
  readonly cpuMillis: number
  readonly memoryMb: number
  readonly maxTasksPerVm?: number
}

/** A pool with the machines that it begins with. */
export interface LoadPool {
  readonly name: string
  readonly machines: number
  readonly standby: boolean
  readonly longRunning?: LongRunningLoad
}

/** A site. */
export interface LoadSite {
  readonly pools: readonly LoadPool[]
  readonly queues: readonly LoadQueue[]
  readonly machine: Capacity
  /** Time for which the demand of one queue is high, in milliseconds. */
  readonly turnMs: number
  readonly lengthMs: number
  /** Cost of a machine outside of the standby pool for a second, in the unit of `LoadQueue.worth`. */
  readonly machineSecondCost: number
  readonly moveCost: number
  /** Teams that submit the finite jobs; none without teams. */
  readonly teams?: readonly LoadTeam[]
}

/** A team that submits jobs to all queues. */
export interface LoadTeam {
  readonly name: string
  /** Share of each queue's jobs, in proportion to the other teams. */
  readonly weight: number
  /** A period in which the team submits a multiple of its usual jobs. */
  readonly surge?: { readonly fromMs: number, readonly toMs: number, readonly factor: number }
}

/** A job with the durations that its tasks take. */
export interface LoadJob {
  readonly accepted: AcceptedJob
  readonly queue: LoadQueue
  /** Durations in milliseconds by step and task. */
  readonly durationsMs: ReadonlyArray<readonly number[]>
  /** Duration of the longest chain of tasks. */
  readonly chainMs: number
  /** Worth if the job ends within its objective. */
  readonly worth: number
}

/** Multiple of its expected duration within which a job should end, as in the users' configuration. */
const DEADLINE_FACTOR = 1.6
const TARGET_LATENCY_MS = 600

/** Spread of the clients' estimates around the true mean duration of a step's tasks. */
const ESTIMATE_SPREAD = 0.2

/** Demand of a queue at the height of its turn and out of turn, as multiples of its mean. */
const PEAK_FACTOR = 5
const REST_FACTOR = 0.05

/** Share of steps with a limit of one task per VM. */
const SPREAD_STEPS_SHARE = 0.15

/** Generates the finite jobs of a day in the order of their arrival. */
export function generateJobs (site: LoadSite, random: RandomSource): LoadJob[] {
  const jobs: LoadJob[] = []
  for (const [index, queue] of site.queues.entries()) {
    const add = (atMs: number, team?: string): unknown => jobs.push(generateJob(formatJobId(index + 1, jobs.length), queue, atMs, random, team))
    for (const atMs of drawArrivals(site, queue, 1, 0, site.lengthMs, random)) add(atMs, drawTeam(site, random))
    for (const { name, weight, surge } of site.teams ?? []) {
      if (surge === undefined) continue
      const share = weight / sumWeights(site)
      for (const atMs of drawArrivals(site, queue, share * (surge.factor - 1), surge.fromMs, surge.toMs, random)) add(atMs, name)
    }
  }
  return jobs.sort((a, b) => a.accepted.acceptedAtMs - b.accepted.acceptedAtMs)
}

/** Draws times of arrival for a multiple of a queue's demand. */
function * drawArrivals (site: LoadSite, queue: LoadQueue, factor: number, fromMs: number, toMs: number, random: RandomSource): Generator<number, void> {
  const peakPerSecond = queue.jobsPerSecond * PEAK_FACTOR * factor
  for (let atMs = fromMs; ;) {
    atMs += -Math.log(1 - random.nextFloat()) * 1_000 / peakPerSecond
    if (atMs >= toMs) return
    if (random.nextFloat() < getDemandShare(site, queue, atMs)) yield atMs
  }
}

function sumWeights ({ teams = [] }: LoadSite): number {
  return teams.reduce((sum, { weight }) => sum + weight, 0)
}

function drawTeam (site: LoadSite, random: RandomSource): string | undefined {
  if (site.teams === undefined) return undefined
  let rest = random.nextFloat() * sumWeights(site)
  return site.teams.find(({ weight }) => (rest -= weight) < 0)?.name
}

/** Generates the long-running job of each pool, accepted at time 0. */
export function createLongRunningJobs (site: LoadSite): AcceptedJob[] {
  return site.pools.filter((pool) => pool.longRunning !== undefined).map((pool, index) => {
    const { tasks, cpuMillis, memoryMb, maxTasksPerVm } = pool.longRunning ?? { tasks: 0, cpuMillis: 0, memoryMb: 0 }
    const step: StepSpec = { ...STEP_DEFAULTS, taskCount: tasks, need: { cpuMillis, memoryMb, accelerators: 0 }, estimateMs: 0, longRunning: true, mayMiss: 1, maxTasksPerVm }
    return createAcceptedJob({ id: formatJobId(0, index), queue: `${pool.name}-long`, pool: pool.name, priority: 0, acceptedAtMs: 0, steps: [step] })
  })
}

/** Returns the demand of a queue at a time as a share of the demand at its height. */
function getDemandShare (site: LoadSite, queue: LoadQueue, atMs: number): number {
  const cycle = site.queues.length
  const position = ((atMs / site.turnMs - queue.turn) % cycle + cycle) % cycle
  const rest = REST_FACTOR / PEAK_FACTOR
  return position >= 1 ? rest : Math.max(rest, Math.sin(Math.PI * position))
}

function generateJob (id: string, queue: LoadQueue, atMs: number, random: RandomSource, team?: string): LoadJob {
  const steps: StepSpec[] = []
  const durationsMs: number[][] = []
  let chainMs = 0
  let work = 0
  const stepCount = Math.max(1, Math.round(draw(queue.steps, random)))
  for (let index = 0; index < stepCount; index++) {
    const taskCount = Math.max(1, Math.round(draw(queue.tasksPerStep, random)))
    const meanMs = draw(queue.durationMs, random)
    const durations = Array.from({ length: taskCount }, () => draw({ mean: meanMs, spread: queue.taskSpread, max: 2.5 * meanMs }, random))
    const need = { cpuMillis: Math.round(draw(queue.cpuMillis, random)), memoryMb: Math.round(draw(queue.memoryMb, random)), accelerators: 0 }
    steps.push({
      ...STEP_DEFAULTS,
      taskCount,
      need,
      estimateMs: Math.round(draw({ mean: meanMs, spread: ESTIMATE_SPREAD, max: 2 * meanMs }, random)),
      after: index === 0 ? [] : [index - 1],
      maxTasksPerVm: random.nextFloat() < SPREAD_STEPS_SHARE ? 1 : undefined,
    })
    durationsMs.push(durations)
    chainMs += Math.max(...durations)
    work += durations.reduce((sum, each) => sum + each, 0) * need.cpuMillis
  }
  const meanWork = queue.steps.mean * queue.tasksPerStep.mean * queue.durationMs.mean * queue.cpuMillis.mean
  return {
    accepted: createAcceptedJob({ id, queue: queue.name, pool: queue.pool, priority: queue.priority, acceptedAtMs: atMs, steps, ...(team !== undefined && { team }) }),
    queue,
    durationsMs,
    chainMs,
    worth: queue.worth * Math.min(4, 0.3 + 0.7 * work / meanWork),
  }
}

/** Formats a job id of 16 hexadecimal digits. */
function formatJobId (group: number, index: number): string {
  return group.toString(16).padStart(4, '0') + index.toString(16).padStart(12, '0')
}

function createAcceptedJob (job: Pick<AcceptedJob, 'id' | 'queue' | 'pool' | 'priority' | 'acceptedAtMs' | 'team'> & { steps: readonly StepSpec[] }): AcceptedJob {
  const { steps, ...rest } = job
  const spec: JobSpec = { payload: '', steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }
  return { ...rest, spec, maxAttempts: 4, deadlineFactor: DEADLINE_FACTOR, targetLatencyMs: TARGET_LATENCY_MS, configurationVersion: 1 }
}

/** Returns the time from a job's acceptance within which it is in time. */
export function getObjectiveMs (job: LoadJob): number {
  return job.accepted.deadlineFactor * job.chainMs + job.accepted.targetLatencyMs
}

/** Draws a value by the Box-Muller transform. */
function draw ({ mean, spread, max }: Quantity, random: RandomSource): number {
  const variance = Math.log(1 + spread * spread)
  const normal = Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat())
  return Math.min(max, mean * Math.exp(normal * Math.sqrt(variance) - variance / 2))
}
