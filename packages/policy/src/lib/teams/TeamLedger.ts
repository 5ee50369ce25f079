/**
 * What each team has running on all VMs of a shard, and whether its cap allows more.
 */
import type { Capacity, TeamRules } from '@vanillathread/model'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedTask } from '../jobs/TrackedTask.js'
import { addCapacity, createCapacity, DIMENSIONS, type MutableCapacity } from './capacity.js'
import type { PossibleRuns } from './PossibleRuns.js'

/** A team with what it has running. @public */
export interface TeamAccount {
  readonly name: string
  /** Last known rules, also of a team that is no longer configured; undefined if no configuration held the team. */
  rules: TeamRules | undefined
  /** Needs of all runs that may occupy a VM. */
  readonly running: MutableCapacity
  /** The same, averaged over the last seconds; see `TeamShares`. */
  readonly average: MutableCapacity
}

/** Keeps the sum of each team's runs, and compares it with the team's cap. @public */
export class TeamLedger {
  readonly accounts = new Map<string, TeamAccount>()

  private constructor (private readonly possibleRuns: PossibleRuns) {}

  static create (possibleRuns: PossibleRuns): TeamLedger {
    return new TeamLedger(possibleRuns)
  }

  /** Applies the teams of a configuration. A team that it lacks keeps its last known rules. */
  setTeams (teams: readonly TeamRules[]): void {
    for (const rules of teams) this.getAccount(rules.name).rules = rules
  }

  getAccount (name: string): TeamAccount {
    let account = this.accounts.get(name)
    if (account === undefined) {
      account = { name, rules: undefined, running: createCapacity(), average: createCapacity() }
      this.accounts.set(name, account)
    }
    return account
  }

  /** Adds a run that begins to be tracked (`sign` 1), or removes one that no longer occupies its VM (-1). */
  adjust (run: TrackedRun, sign: 1 | -1): void {
    const { spec, occurrence } = run.task.step
    const { team } = occurrence.job.accepted
    if (team === undefined) return
    addCapacity(this.getAccount(team).running, spec.need, sign)
    this.possibleRuns.update(run.task)
  }

  /**
   * Returns true if the team's cap allows that the given tasks of one step start together. A single task that needs more than half
   * of the cap also starts while the team uses less than half of it: otherwise, smaller tasks of the team could hold it back
   * forever, and a task that needs more than the whole cap would never start.
   */
  allows (tasks: readonly TrackedTask[]): boolean {
    const [first] = tasks
    const team = first?.step.occurrence.job.accepted.team
    const account = team === undefined ? undefined : this.accounts.get(team)
    if (first === undefined || account?.rules === undefined) return true
    const { need } = first.step.spec
    const { cap } = account.rules
    const bound = this.possibleRuns.getBound(account.name, tasks)
    for (const dimension of DIMENSIONS) {
      const limit = cap[dimension]
      if (limit === 0 || need[dimension] === 0) continue
      const used = account.running[dimension] + (bound?.[dimension] ?? 0)
      const isLargeTask = tasks.length === 1 && need[dimension] > limit / 2
      if (used + tasks.length * need[dimension] > limit && !(isLargeTask && used < limit / 2)) return false
    }
    return true
  }

  /** Returns the room under a team's cap by dimension; `Infinity` where the cap sets no limit. */
  getRoom (team: string): Capacity | undefined {
    const account = this.accounts.get(team)
    if (account?.rules === undefined) return undefined
    const { running, rules: { cap } } = account
    const bound = this.possibleRuns.getBound(team)
    const find = (dimension: keyof Capacity): number => cap[dimension] === 0 ? Infinity : Math.max(0, cap[dimension] - running[dimension] - (bound?.[dimension] ?? 0))
    return { cpuMillis: find('cpuMillis'), memoryMb: find('memoryMb'), accelerators: find('accelerators') }
  }
}
