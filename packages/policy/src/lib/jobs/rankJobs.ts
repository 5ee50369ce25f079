/**
 * Order in which jobs get free capacity.
 */
import type { DurationEstimates } from './DurationEstimates.js'
import type { TrackedJob } from './TrackedJob.js'
import type { TrackedOccurrence } from './TrackedOccurrence.js'

/** A job that misses its objective still earns if it ends within this multiple of it, as the users' rules state. */
const LATE_FACTOR = 3

/** Urgency classes, most urgent first. @public */
export enum Urgency {
  /** The job has long-running tasks, which earn for as long as they work. */
  LongRunning = 0,
  /** The job can still end within its objective. */
  InTime = 1,
  /** The job can no longer end within its objective, but can end within `LATE_FACTOR` times its objective. */
  Late = 2,
  /** The job can only end too late to earn anything, but was accepted and so must still be run. */
  TooLate = 3,
}

/** A job with the values that decide its place in the order. @public */
export interface JobRank {
  readonly job: TrackedJob
  readonly urgency: Urgency
  /**
   * Milliseconds that the job can still wait without falling into the next class. In the class `TooLate`, the negated time
   * from the job's acceptance to its expected end; in the class `LongRunning`, 0.
   */
  readonly slackMs: number
}

/**
 * Returns the expected duration of the longest chain of dependent steps. `remainingMs` includes only steps that are not done,
 * `totalMs` all steps.
 */
export function estimateCriticalPathMs (job: TrackedJob, occurrence: TrackedOccurrence, estimates: DurationEstimates): { remainingMs: number, totalMs: number } {
  const remaining: number[] = []
  const total: number[] = []
  let remainingMs = 0
  let totalMs = 0
  for (const step of occurrence.steps) {
    const stepMs = estimates.getStepMs(job.accepted.queue, step.spec.estimateMs, step.spec.taskCount)
    const beforeRemaining = Math.max(0, ...step.spec.after.map((index) => remaining[index] ?? 0))
    const beforeTotal = Math.max(0, ...step.spec.after.map((index) => total[index] ?? 0))
    remaining[step.index] = beforeRemaining + (step.isDone ? 0 : stepMs)
    total[step.index] = beforeTotal + stepMs
    remainingMs = Math.max(remainingMs, remaining[step.index] ?? 0)
    totalMs = Math.max(totalMs, total[step.index] ?? 0)
  }
  return { remainingMs, totalMs }
}

/** Ranks one job by its expected end and its objective. `storeNowMs` is a time on the store clock, as acceptance times are. */
export function rankJob (job: TrackedJob, estimates: DurationEstimates, storeNowMs: number): JobRank {
  const { accepted } = job
  const occurrence = job.occurrences.values().next().value
  if (occurrence === undefined || occurrence.steps.some((step) => step.spec.longRunning)) return { job, urgency: Urgency.LongRunning, slackMs: 0 }
  const { remainingMs, totalMs } = estimateCriticalPathMs(job, occurrence, estimates)
  const objectiveMs = accepted.deadlineFactor * totalMs + accepted.targetLatencyMs
  const endMs = storeNowMs - accepted.acceptedAtMs + remainingMs
  if (endMs <= objectiveMs) return { job, urgency: Urgency.InTime, slackMs: objectiveMs - endMs }
  const lateMs = LATE_FACTOR * objectiveMs
  if (endMs <= lateMs) return { job, urgency: Urgency.Late, slackMs: lateMs - endMs }
  return { job, urgency: Urgency.TooLate, slackMs: -endMs }
}

/** Compares two ranks for sorting: by urgency, then by the queue's priority, then by slack with the least first. */
export function compareRanks (a: JobRank, b: JobRank): number {
  return a.urgency - b.urgency || a.job.accepted.priority - b.job.accepted.priority || a.slackMs - b.slackMs
}
