/**
 * The order in which the jobs of several teams get free capacity: weighted dominant resource fairness.
 */
import type { TeamRules } from '@vanillathread/model'
import { compareRanks, type JobRank } from '../jobs/rankJobs.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { addCapacity, createCapacity, DIMENSIONS, type MutableCapacity } from './capacity.js'
import type { TeamAccount, TeamLedger } from './TeamLedger.js'

/**
 * Time constant of the decay with which a team's usage is averaged. A burst of 5 to 7 s costs its team turns for some seconds,
 * about as long as it kept others waiting.
 */
const DECAY_MS = 3_000

/** Weight of a team whose configured weight is 0, and of one that no configuration held, so that others go first. */
const LEAST_WEIGHT = 0.01

/** A team with its jobs of one class, the next one last. */
interface Turn {
  readonly account: TeamAccount
  readonly jobs: JobRank[]
  level: number
}

/** Keeps the average usage of teams, and orders jobs by it. @public */
export class TeamShares {
  private total: MutableCapacity = createCapacity()
  private advancedAtMs: number | undefined
  /** Sum of the weights of all configured teams. */
  private weights = 0

  private constructor (private readonly ledger: TeamLedger) {}

  static create (ledger: TeamLedger): TeamShares {
    return new TeamShares(ledger)
  }

  setTeams (teams: readonly TeamRules[]): void {
    this.weights = teams.reduce((sum, { weight }) => sum + weight, 0)
  }

  /** Brings the averages up to date. */
  advance (nowMs: number): void {
    const kept = this.advancedAtMs === undefined ? 1 : Math.exp((this.advancedAtMs - nowMs) / DECAY_MS)
    this.advancedAtMs = nowMs
    for (const { running, average } of this.ledger.accounts.values()) {
      for (const dimension of DIMENSIONS) average[dimension] = running[dimension] + (average[dimension] - running[dimension]) * kept
    }
  }

  /** Sets the capacity of which shares are computed to that of the usable VMs. */
  setTotal (vms: Iterable<TrackedVm>, nowMs: number): void {
    const total = createCapacity()
    for (const vm of vms) {
      if (vm.isUsable(nowMs)) addCapacity(total, vm.entry.capacity, 1)
    }
    this.total = total
  }

  /**
   * Returns a team's weighted dominant share: the largest of its shares of processor, memory and accelerators, divided by its
   * weight. Half of the usage is that of the moment, which rises with each task that is placed, and half the average.
   */
  getShare ({ running, average, rules }: TeamAccount): number {
    let dominant = 0
    for (const dimension of DIMENSIONS) {
      if (this.total[dimension] > 0) dominant = Math.max(dominant, (running[dimension] + average[dimension]) / 2 / this.total[dimension])
    }
    return dominant / Math.max(LEAST_WEIGHT, rules?.weight ?? 0)
  }

  /**
   * Returns a team's share in whole multiples of the share that it is due if all teams want more than their weight gives them. The
   * order compares these levels, so that teams below what they are due take turns by the slack of their jobs. Comparing the
   * shares themselves put jobs with much slack before jobs with little, and fewer jobs of the worst tenth of the teams ended in time.
   */
  getLevel (account: TeamAccount): number {
    return Math.floor(this.getShare(account) * Math.max(LEAST_WEIGHT, this.weights))
  }

  /**
   * Yields jobs in the order in which they get capacity. Jobs within their team's weight and jobs without a team come first, those
   * beyond the weight after them. Among jobs of equal urgency and priority, the teams with the lowest level at that moment go
   * first; among these, inside a team, and for jobs without one, the order is that of {@link compareRanks}.
   *
   * Tasks of a job are to be placed before the next job is requested.
   */
  * order (ranks: readonly JobRank[]): Generator<JobRank, void> {
    const sorted = [...ranks].sort((a, b) => compareBeyondWeight(a, b) || compareRanks(a, b))
    for (let start = 0, end = 0; start < sorted.length; start = end) {
      const first = sorted[start]
      while (end < sorted.length && isSameClass(first, sorted[end])) end += 1
      yield * this.takeTurns(sorted.slice(start, end))
    }
  }

  /** Yields the jobs of one class. */
  private * takeTurns (sorted: readonly JobRank[]): Generator<JobRank, void> {
    const withoutTeam: JobRank[] = []
    const jobsByTeam = new Map<string, JobRank[]>()
    // In reverse, so that the next job is the last element.
    for (const rank of [...sorted].reverse()) {
      const { team } = rank.job.accepted
      const jobs = team === undefined ? withoutTeam : jobsByTeam.get(team) ?? []
      jobs.push(rank)
      if (team !== undefined) jobsByTeam.set(team, jobs)
    }
    const turns: Turn[] = [...jobsByTeam].map(([team, jobs]) => ({ account: this.ledger.getAccount(team), jobs, level: this.getLevel(this.ledger.getAccount(team)) }))
    for (;;) {
      let lowest: Turn | undefined
      for (const turn of turns) {
        if (turn.jobs.length > 0 && (lowest === undefined || compareTurns(turn, lowest) < 0)) lowest = turn
      }
      const teamJob = lowest?.jobs.at(-1)
      const otherJob = withoutTeam.at(-1)
      if (otherJob !== undefined && (teamJob === undefined || compareRanks(otherJob, teamJob) <= 0)) {
        withoutTeam.pop()
        yield otherJob
      } else if (lowest !== undefined && teamJob !== undefined) {
        lowest.jobs.pop()
        yield teamJob
        lowest.level = this.getLevel(lowest.account)
      } else return
    }
  }
}

/** Compares two teams by level, and then by their next jobs. */
function compareTurns (a: Turn, b: Turn): number {
  const [jobA, jobB] = [a.jobs.at(-1), b.jobs.at(-1)]
  return a.level - b.level || (jobA === undefined || jobB === undefined ? 0 : compareRanks(jobA, jobB))
}

function compareBeyondWeight (a: JobRank, b: JobRank): number {
  return Number(a.job.isBeyondWeight) - Number(b.job.isBeyondWeight)
}

function isSameClass (a: JobRank | undefined, b: JobRank | undefined): boolean {
  return a !== undefined && b !== undefined && a.urgency === b.urgency && a.job.accepted.priority === b.job.accepted.priority && a.job.isBeyondWeight === b.job.isBeyondWeight
}
