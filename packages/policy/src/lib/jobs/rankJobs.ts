/**
 * Order in which jobs get free capacity.
 */
import type { DurationEstimates } from './DurationEstimates.js'
import type { TrackedJob, TrackedOccurrence } from './TrackedJob.js'

/** A late job still earns until this multiple of its objective; stated by the users' rules. */
const LATE_FACTOR = 3

/** Urgency classes, most urgent first. @public */
export enum Urgency {
  /** Tasks that last earn at every moment they work. */
  LongRunning = 0,
  /** Can still end within its objective. */
  InTime = 1,
  /** Can still end within three times its objective. */
  Late = 2,
  /** Earns nothing any more, but was promised. */
  Overdue = 3,
}

/** A job's place in the order. @public */
export interface JobRank {
  readonly job: TrackedJob
  readonly urgency: Urgency
  /** Milliseconds that its start can still wait. */
  readonly slackMs: number
}

/** Expected time of the longest chain of steps that are not done. */
export function estimateChainMs (job: TrackedJob, occurrence: TrackedOccurrence, estimates: DurationEstimates): { remainingMs: number, totalMs: number } {
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

/** Ranks one job. `storeNowMs` is the clock that acceptance times are on. */
export function rankJob (job: TrackedJob, estimates: DurationEstimates, storeNowMs: number): JobRank {
  const { accepted } = job
  const occurrence = job.occurrences.values().next().value
  if (occurrence === undefined || occurrence.steps.some((step) => step.spec.longRunning)) return { job, urgency: Urgency.LongRunning, slackMs: 0 }
  const { remainingMs, totalMs } = estimateChainMs(job, occurrence, estimates)
  const objectiveMs = accepted.deadlineFactor * totalMs + accepted.targetLatencyMs
  const endMs = storeNowMs - accepted.acceptedAtMs + remainingMs
  if (endMs <= objectiveMs) return { job, urgency: Urgency.InTime, slackMs: objectiveMs - endMs }
  const lateMs = LATE_FACTOR * objectiveMs
  if (endMs <= lateMs) return { job, urgency: Urgency.Late, slackMs: lateMs - endMs }
  return { job, urgency: Urgency.Overdue, slackMs: -endMs }
}

/** Sorts by urgency, the queue's priority, then the least slack. */
export function compareRanks (a: JobRank, b: JobRank): number {
  return a.urgency - b.urgency || a.job.accepted.priority - b.job.accepted.priority || a.slackMs - b.slackMs
}
