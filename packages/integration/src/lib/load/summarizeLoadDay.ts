/**
 * What callers got on a simulated day, and what the machines cost.
 */
import type { StopReason } from '@vanillathread/policy'
import { getObjectiveMs, listTurns, type LoadJob, type LoadSite } from './LoadSite.js'

/** What the callers of one queue or team got. */
export interface CallerOutcome {
  jobs: number
  inTime: number
  late: number
  worth: number
  earned: number
}

/** Stopped runs, and the processor time that they had used. */
export interface StoppedWork {
  readonly runs: number
  readonly coreSeconds: number
}

/** Result of a day. */
export interface LoadDayResult {
  readonly byQueue: ReadonlyMap<string, CallerOutcome>
  /** Jobs without a team count for the team with an empty name. */
  readonly byTeam: ReadonlyMap<string, CallerOutcome>
  /** Earned share of the worth of the jobs that arrived in each window, in order. */
  readonly windows: readonly number[]
  /** Earned share of the worth of the jobs that arrived in each second of their queue's turns. */
  readonly secondsOfTurn: readonly number[]
  /** Earned share of the worth of all jobs. */
  readonly served: number
  readonly machineSeconds: number
  readonly moves: number
  /** Runs that were stopped, by reason. */
  readonly stops: ReadonlyMap<StopReason | undefined, StoppedWork>
  /** Earned share less the cost of machines and moves, with the weights of the users' goal. */
  readonly net: number
}

const WINDOW_MS = 2_000

/** A job that ends within this multiple of its objective earns `LATE_SHARE` of its worth. */
const LATE_FACTOR = 3
const LATE_SHARE = 0.07

/** Weights of the whole day, the two worst windows and the worst queue in the users' goal. */
const GOAL = { day: 0.7, windows: 0.15, queue: 0.15 } as const

/** A simulated day after its end. */
export interface EndedLoadDay {
  readonly site: LoadSite
  /** Time of the first arrival. */
  readonly startedAtMs: number
  readonly jobs: Iterable<LoadJob>
  /** Times at which jobs were shown as complete, by id. */
  readonly completedAtMs: ReadonlyMap<string, number>
  readonly machineSeconds: number
  readonly moves: number
  readonly stops: ReadonlyMap<StopReason | undefined, StoppedWork>
}

/** Sums up a day by queue, by window and in whole. */
export function summarizeLoadDay ({ site, startedAtMs, jobs, completedAtMs, machineSeconds, moves, stops }: EndedLoadDay): LoadDayResult {
  const byQueue = new Map<string, CallerOutcome>()
  const byTeam = new Map<string, CallerOutcome>()
  const windows: WorthSum[] = []
  const seconds: WorthSum[] = []
  const turns = listTurns(site)
  const day = { worth: 0, earned: 0 }
  for (const job of jobs) {
    const share = getEarnedShare(job, completedAtMs.get(job.accepted.id))
    const outcomes = [getOutcome(byQueue, job.queue.name), getOutcome(byTeam, job.accepted.team ?? '')]
    const window = windows[Math.floor((job.accepted.acceptedAtMs - startedAtMs) / WINDOW_MS)] ??= { worth: 0, earned: 0 }
    for (const outcome of outcomes) {
      outcome.jobs += 1
      if (share === 1) outcome.inTime += 1
      else if (share > 0) outcome.late += 1
    }
    const atMs = job.accepted.acceptedAtMs - startedAtMs
    const turn = turns.find((each) => each.queue === job.queue.name && atMs >= each.fromMs && atMs < each.toMs)
    const second = turn === undefined ? [] : [seconds[Math.floor((atMs - turn.fromMs) / 1_000)] ??= { worth: 0, earned: 0 }]
    for (const sum of [...outcomes, window, day, ...second]) {
      sum.worth += job.worth
      sum.earned += share * job.worth
    }
  }
  const shares = listShares(windows)
  const worst = [...shares].sort((a, b) => a - b).slice(0, 2)
  const worstQueue = Math.min(...[...byQueue.values()].map((queue) => queue.earned / queue.worth))
  const served = day.earned / day.worth
  const gross = GOAL.day * served + GOAL.windows * worst.reduce((sum, share) => sum + share, 0) / worst.length + GOAL.queue * worstQueue
  const cost = machineSeconds * site.machineSecondCost + moves * site.moveCost
  return { byQueue, byTeam, windows: shares, secondsOfTurn: listShares(seconds), served, machineSeconds, moves, stops, net: gross - cost / day.worth }
}

function getOutcome (outcomes: Map<string, CallerOutcome>, name: string): CallerOutcome {
  const outcome = outcomes.get(name) ?? { jobs: 0, inTime: 0, late: 0, worth: 0, earned: 0 }
  outcomes.set(name, outcome)
  return outcome
}

interface WorthSum {
  worth: number
  earned: number
}

function listShares (sums: readonly WorthSum[]): number[] {
  return sums.filter((sum) => sum !== undefined).map((sum) => sum.earned / sum.worth)
}

function getEarnedShare (job: LoadJob, endMs: number | undefined): number {
  if (endMs === undefined) return 0
  const tookMs = endMs - job.accepted.acceptedAtMs
  if (tookMs <= getObjectiveMs(job)) return 1
  return tookMs <= LATE_FACTOR * getObjectiveMs(job) ? LATE_SHARE : 0
}
