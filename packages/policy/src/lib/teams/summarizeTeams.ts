/**
 * Summary of teams for metrics, with a bounded number of names.
 */
import type { SchedulerState } from '../jobs/SchedulerState.js'

/** Names of teams that metrics distinguish; further teams are summed up as `OTHER_TEAMS`. */
const MAX_NAMES = 32
const OTHER_TEAMS = 'other'

/** What one team, or the sum of several, has running and waiting. @public */
export interface TeamSummary {
  readonly team: string
  cpuMillis: number
  memoryMb: number
  /** Cap in thousandths of a core; 0 if there is none. */
  capCpuMillis: number
  /** Cap in mebibytes; 0 if there is none. */
  capMemoryMb: number
  /** Weighted dominant share; of several teams, the largest. */
  share: number
  /** Open jobs of which nothing has begun. */
  waitingJobs: number
}

/** Sums up the teams of a shard in the order in which they became known. */
export function summarizeTeams (state: SchedulerState): TeamSummary[] {
  const { ledger, shares } = state.teams
  const summaries = new Map<string, TeamSummary>()
  for (const account of ledger.accounts.values()) {
    const team = summaries.size < MAX_NAMES ? account.name : OTHER_TEAMS
    const summary = summaries.get(team) ?? { team, cpuMillis: 0, memoryMb: 0, capCpuMillis: 0, capMemoryMb: 0, share: 0, waitingJobs: 0 }
    summaries.set(team, summary)
    summary.cpuMillis += account.running.cpuMillis
    summary.memoryMb += account.running.memoryMb
    summary.capCpuMillis += account.rules?.cap.cpuMillis ?? 0
    summary.capMemoryMb += account.rules?.cap.memoryMb ?? 0
    summary.share = Math.max(summary.share, shares.getShare(account))
  }
  if (summaries.size === 0) return []
  for (const jobs of state.openJobs.values()) {
    for (const job of jobs) {
      const { team } = job.accepted
      const summary = team === undefined || job.begun ? undefined : summaries.get(team) ?? summaries.get(OTHER_TEAMS)
      if (summary !== undefined) summary.waitingJobs += 1
    }
  }
  return [...summaries.values()]
}
