/**
 * Teams in the scheduling of one shard: caps, shares, and why jobs wait. Does nothing for jobs without a team.
 */
import { EventCode, type TeamRules } from '@vanillathread/model'
import type { ClockReadings } from '../jobs/JobSchedulerOptions.js'
import { compareRanks, type JobRank } from '../jobs/rankJobs.js'
import type { DecisionLogger } from '../jobs/SchedulerState.js'
import type { TrackedJob } from '../jobs/TrackedJob.js'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedTask } from '../jobs/TrackedTask.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { PossibleRuns, type PossibleRunsOptions } from './PossibleRuns.js'
import { TeamLedger, type TeamAccount } from './TeamLedger.js'
import { TeamShares } from './TeamShares.js'
import { WeightMeter } from './WeightMeter.js'

/**
 * Longest time for which tasks of teams wait until this owner has read a configuration. If the one in the store is invalid, none
 * is read; accepted jobs then run without caps, as a job with room must not wait for 3 s.
 */
const CONFIGURATION_WAIT_MS = 2_000

/** Period of reading the capacity of the usable VMs. */
const TOTAL_PERIOD_MS = 50

/** Wait from which its reason is logged. */
const MIN_LOGGED_WAIT_MS = 500

/** Why a job of a team waits. @public */
export enum TeamWait {
  /** The team's cap allows no more at present. */
  Cap = 'cap',
  /** There is no room, and the team has all that its weight gives it. */
  Share = 'share',
  /** There is no room, and the team submitted the job beyond its weight. */
  BeyondWeight = 'beyond weight',
}

/** Options of {@link TeamScheduling.create}. @public */
export interface TeamSchedulingOptions extends PossibleRunsOptions {
  /** Time at which this owner began. */
  readonly startedAtMs: number
  readonly logDecision: DecisionLogger
}

/** Applies the operator's rules for teams to the scheduling of a shard. @public */
export class TeamScheduling {
  private readonly possibleRuns: PossibleRuns
  readonly ledger: TeamLedger
  readonly shares: TeamShares
  private readonly meters = new Map<string, WeightMeter>()
  /** Reasons for which a job has waited so far. */
  private readonly loggedWaits = new WeakMap<TrackedJob, Set<TeamWait>>()
  private teams: readonly TeamRules[] | undefined
  private totalReadAtMs = -Infinity
  private nowMs = -Infinity
  private storeNowMs = -Infinity

  private constructor (private readonly options: TeamSchedulingOptions) {
    this.possibleRuns = PossibleRuns.create(options)
    this.ledger = TeamLedger.create(this.possibleRuns)
    this.shares = TeamShares.create(this.ledger)
  }

  static create (options: TeamSchedulingOptions): TeamScheduling {
    return new TeamScheduling(options)
  }

  /** Applies the teams of the configuration in force; undefined before one has been read. */
  setTeams (teams: readonly TeamRules[] | undefined): void {
    if (teams === undefined || teams === this.teams) return
    this.teams = teams
    this.ledger.setTeams(teams)
    this.shares.setTeams(teams)
  }

  addJob (job: TrackedJob, nowMs: number): void {
    const { team } = job.accepted
    if (team === undefined) return
    this.possibleRuns.addJob(job, nowMs)
    const meter = this.meters.get(team) ?? WeightMeter.create()
    this.meters.set(team, meter)
    meter.add(job)
  }

  /** Applies the start, the adoption (`sign` 1) or the end (-1) of a run. */
  adjust (run: TrackedRun, sign: 1 | -1): void {
    this.ledger.adjust(run, sign)
  }

  /** Applies that a task is done. */
  markDone (task: TrackedTask): void {
    if (task.step.occurrence.job.accepted.team === undefined) return
    for (const each of task.step.spec.gang ? task.step.tasks : [task]) this.possibleRuns.update(each)
  }

  /** Prepares a plan. */
  beginPlan (vmsByPool: ReadonlyMap<string, readonly TrackedVm[]>, clocks: ClockReadings): void {
    this.nowMs = clocks.nowMs
    this.storeNowMs = clocks.storeNowMs
    this.possibleRuns.refresh(vmsByPool, clocks)
    if (this.ledger.accounts.size === 0) return
    this.shares.advance(clocks.nowMs)
    for (const [team, meter] of this.meters) {
      const weight = this.ledger.getAccount(team).rules?.weight
      if (weight !== undefined) meter.update(weight)
    }
    if (clocks.nowMs - this.totalReadAtMs < TOTAL_PERIOD_MS) return
    this.totalReadAtMs = clocks.nowMs
    this.shares.setTotal([...vmsByPool.values()].flat(), clocks.nowMs)
  }

  /** Returns the jobs in the order in which they get capacity; see {@link TeamShares.order}. */
  order (ranks: JobRank[]): Iterable<JobRank> {
    // Without teams in the configuration, the order is by urgency, priority and slack alone.
    return this.teams === undefined || this.teams.length === 0 ? ranks.sort(compareRanks) : this.shares.order(ranks)
  }

  /** Returns true if a task may start as far as its team is concerned. Logs why it may not. */
  mayStartTask (task: TrackedTask): boolean {
    return task.step.occurrence.job.accepted.team === undefined || this.mayStart([task])
  }

  /** Returns true if the given tasks of one step may start together as far as their team is concerned. Logs why they may not. */
  mayStart (tasks: readonly TrackedTask[]): boolean {
    const job = tasks[0]?.step.occurrence.job
    if (job?.accepted.team === undefined) return true
    if (this.teams === undefined && this.nowMs < this.options.startedAtMs + CONFIGURATION_WAIT_MS) return false
    if (this.ledger.allows(tasks)) return true
    this.logWait(job, this.ledger.getAccount(job.accepted.team), TeamWait.Cap)
    return false
  }

  /** Records that a job found no room, and logs why if its team is the reason. */
  recordNoRoom (job: TrackedJob): void {
    if (job.accepted.team === undefined || this.teams === undefined || this.teams.length === 0) return
    const account = this.ledger.getAccount(job.accepted.team)
    if (job.isBeyondWeight) this.logWait(job, account, TeamWait.BeyondWeight)
    else if (this.shares.getLevel(account) > 0) this.logWait(job, account, TeamWait.Share)
  }

  /** Returns true if the cap of a job's team forbids the start of the job's first task at present. */
  isAtCap (job: TrackedJob): boolean {
    const task = job.accepted.team === undefined ? undefined : job.occurrences.get(0)?.steps[0]?.tasks[0]
    return task !== undefined && !this.ledger.allows([task])
  }

  /** Logs each reason once for each job, so that a job that changes between them does not fill the log. */
  private logWait (job: TrackedJob, account: TeamAccount, reason: TeamWait): void {
    const waitedMs = this.storeNowMs - job.accepted.acceptedAtMs
    if (waitedMs < MIN_LOGGED_WAIT_MS) return
    const logged = this.loggedWaits.get(job) ?? new Set()
    if (logged.has(reason)) return
    this.loggedWaits.set(job, logged.add(reason))
    const { running, rules } = account
    const possible = this.possibleRuns.getBound(account.name)
    this.options.logDecision(EventCode.JobWaits, {
      job: job.id,
      team: account.name,
      reason,
      waitedMs: Math.round(waitedMs),
      cpuMillis: running.cpuMillis,
      capCpuMillis: rules?.cap.cpuMillis,
      memoryMb: running.memoryMb,
      capMemoryMb: rules?.cap.memoryMb,
      possibleCpuMillis: possible?.cpuMillis,
      possibleMemoryMb: possible?.memoryMb,
      share: Number(this.shares.getShare(account).toFixed(4)),
    })
  }
}
