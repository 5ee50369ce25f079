/**
 * Which jobs a previous owner may have started, and the run numbers that it cannot have used.
 */
import type { JobSchedulerOptions } from './JobSchedulerOptions.js'

/** Size of the range of run numbers that one owner may use for a task. Each successor's range begins above the previous owner's. */
const RUN_NUMBERS_PER_GENERATION = 1_000

/** Longest time from the acceptance of a job until its owner adds it: the period of the feed of jobs, and a slow answer. */
const JOB_DELAY_MS = 1_000

/** Returns true if a previous owner may have started tasks of a job that is added now. */
export function mayHavePreviousRuns (options: JobSchedulerOptions, acceptedVersion: number, nowMs: number): boolean {
  const { fencingToken, generation, startedAtMs, previousOwnerRenewalMs } = options
  if (generation === 0) return false
  if (acceptedVersion < fencingToken) return true
  // A superseded owner may learn of a job that was accepted after the takeover, as long as it may act.
  return previousOwnerRenewalMs > 0 && nowMs - startedAtMs < previousOwnerRenewalMs + JOB_DELAY_MS
}

/** Returns the number below which all runs of previous owners are numbered. */
export function getBaseRunNumber (generation: number, hasPreviousRuns: boolean): number {
  return hasPreviousRuns ? generation * RUN_NUMBERS_PER_GENERATION : 0
}
