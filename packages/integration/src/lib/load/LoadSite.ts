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

/** A period of high demand of one queue. Times are counted from the first arrival. */
export interface LoadTurn {
  /** Name of the queue. */
  readonly queue: string
  readonly fromMs: number
  readonly toMs: number
}

/** A job of one wide step that arrives besides the others. */
export interface LargeJob {
  /** Name of the queue. */
  readonly queue: string
  readonly atMs: number
  readonly tasks: number
}

/** A site. */
export interface LoadSite {
  readonly pools: readonly LoadPool[]
  readonly queues: readonly LoadQueue[]
  readonly machine: Capacity
  /** Time for which the demand of one queue is high, in milliseconds. */
  readonly turnMs: number
  /** Periods of high demand, if they are not those of the queues' turns one after another. */
  readonly turns?: readonly LoadTurn[]
  readonly largeJobs?: readonly LargeJob[]
  readonly lengthMs: number
  /** Time before the first arrival, in milliseconds. */
  readonly warmUpMs: number
  /** Orders for machines that the platform accepts in a second, all machines together. */
  readonly ordersPerSecond: number
  /** Spread of the clients' estimates around the true mean duration of a step's tasks. */
  readonly estimateSpread: number
  /** Share of the tasks that take `slowFactor` times as long. */
  readonly slowShare: number
  readonly slowFactor: number
  /** True if a slow task is slow again after a restart, as the work itself is long; false if only the run was slow. */
  readonly staysSlow: boolean
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
  /** Durations of restarted tasks. */
  readonly restartedMs: ReadonlyArray<readonly number[]>
  /** Duration of the longest chain of tasks. */
  readonly chainMs: number
  /** Worth if the job ends within its objective. */
  readonly worth: number
}

/** Multiple of its expected duration within which a job should end, as in the users' configuration. */
const DEADLINE_FACTOR = 1.6
const TARGET_LATENCY_MS = 600

/** Demand of a queue at the height of its turn and out of turn, as multiples of its mean. */
const PEAK_FACTOR = 5
const REST_FACTOR = 0.05

/** Share of steps with a limit of one task per VM. */
const SPREAD_STEPS_SHARE = 0.15

/** Generates the finite jobs of a day in the order of their arrival. */
export function generateJobs (site: LoadSite, random: RandomSource): LoadJob[] {
  const jobs: LoadJob[] = []
  const turns = listTurns(site)
  for (const [index, queue] of site.queues.entries()) {
    const own = turns.filter((turn) => turn.queue === queue.name)
    const add = (atMs: number, team?: string): unknown => jobs.push(generateJob(site, formatJobId(index + 1, jobs.length), queue, atMs, random, team))
    for (const atMs of drawArrivals(own, queue.jobsPerSecond, 0, site.lengthMs, random)) add(atMs, drawTeam(site, random))
    for (const { name, weight, surge } of site.teams ?? []) {
      if (surge === undefined) continue
      const share = weight / sumWeights(site)
      for (const atMs of drawArrivals(own, queue.jobsPerSecond * share * (surge.factor - 1), surge.fromMs, surge.toMs, random)) add(atMs, name)
    }
    for (const { atMs, tasks } of site.largeJobs?.filter((job) => job.queue === queue.name) ?? []) {
      const wide = { ...queue, steps: { mean: 1, spread: 0, max: 1 }, tasksPerStep: { mean: tasks, spread: 0, max: tasks } }
      jobs.push({ ...generateJob(site, formatJobId(index + 1, jobs.length), wide, atMs, random), queue })
    }
  }
  return jobs.sort((a, b) => a.accepted.acceptedAtMs - b.accepted.acceptedAtMs)
}

/** Draws times of arrival for a mean number of jobs a second with these turns. */
function * drawArrivals (turns: readonly LoadTurn[], jobsPerSecond: number, fromMs: number, toMs: number, random: RandomSource): Generator<number, void> {
  const peakPerSecond = jobsPerSecond * PEAK_FACTOR
  for (let atMs = fromMs; ;) {
    atMs += -Math.log(1 - random.nextFloat()) * 1_000 / peakPerSecond
    if (atMs >= toMs) return
    if (random.nextFloat() < getDemandShare(turns, atMs)) yield atMs
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

/** Returns the periods of high demand of a day. */
export function listTurns (site: LoadSite): readonly LoadTurn[] {
  if (site.turns !== undefined) return site.turns
  const count = Math.ceil(site.lengthMs / site.turnMs)
  return Array.from({ length: count }, (_unused, index) => index).flatMap((index) => site.queues
    .filter((queue) => queue.turn === index % site.queues.length)
    .map((queue) => ({ queue: queue.name, fromMs: index * site.turnMs, toMs: (index + 1) * site.turnMs })))
}

/** Returns the demand of a queue with these turns at a time as a share of the demand at its height. */
function getDemandShare (turns: readonly LoadTurn[], atMs: number): number {
  const rest = REST_FACTOR / PEAK_FACTOR
  return turns.filter(({ fromMs, toMs }) => atMs >= fromMs && atMs < toMs)
    .reduce((share, { fromMs, toMs }) => Math.max(share, Math.sin(Math.PI * (atMs - fromMs) / (toMs - fromMs))), rest)
}

function generateJob (site: LoadSite, id: string, queue: LoadQueue, atMs: number, random: RandomSource, team?: string): LoadJob {
  const steps: StepSpec[] = []
  const durationsMs: number[][] = []
  const restartedMs: number[][] = []
  let chainMs = 0
  let work = 0
  const stepCount = Math.max(1, Math.round(draw(queue.steps, random)))
  for (let index = 0; index < stepCount; index++) {
    const taskCount = Math.max(1, Math.round(draw(queue.tasksPerStep, random)))
    const meanMs = draw(queue.durationMs, random)
    const durations = Array.from({ length: taskCount }, () => draw({ mean: meanMs, spread: queue.taskSpread, max: 2.5 * meanMs }, random))
    const slowed = durations.map((duration) => duration * drawSlowness(site, random))
    const need = { cpuMillis: Math.round(draw(queue.cpuMillis, random)), memoryMb: Math.round(draw(queue.memoryMb, random)), accelerators: 0 }
    steps.push({
      ...STEP_DEFAULTS,
      taskCount,
      need,
      estimateMs: Math.round(draw({ mean: meanMs, spread: site.estimateSpread, max: 2 * meanMs }, random)),
      after: index === 0 ? [] : [index - 1],
      maxTasksPerVm: random.nextFloat() < SPREAD_STEPS_SHARE ? 1 : undefined,
    })
    durationsMs.push(slowed)
    restartedMs.push(site.staysSlow ? slowed : durations)
    chainMs += Math.max(...slowed)
    work += durations.reduce((sum, each) => sum + each, 0) * need.cpuMillis
  }
  const meanWork = queue.steps.mean * queue.tasksPerStep.mean * queue.durationMs.mean * queue.cpuMillis.mean
  return {
    accepted: createAcceptedJob({ id, queue: queue.name, pool: queue.pool, priority: queue.priority, acceptedAtMs: atMs, steps, ...(team !== undefined && { team }) }),
    queue,
    durationsMs,
    restartedMs,
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

/** Draws the factor by which a task takes longer than the others of its step. */
function drawSlowness ({ slowShare, slowFactor }: LoadSite, random: RandomSource): number {
  return slowShare > 0 && random.nextFloat() < slowShare ? slowFactor : 1
}

/** Draws a value by the Box-Muller transform. */
function draw ({ mean, spread, max }: Quantity, random: RandomSource): number {
  const variance = Math.log(1 + spread * spread)
  const normal = Math.sqrt(-2 * Math.log(1 - random.nextFloat())) * Math.cos(2 * Math.PI * random.nextFloat())
  return Math.min(max, mean * Math.exp(normal * Math.sqrt(variance) - variance / 2))
}
