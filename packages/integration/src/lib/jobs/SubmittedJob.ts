/**
 * A job that a client of a simulation has submitted.
 */
import type { JobSpec, JobState } from '@vanillathread/model'

/** A job as its client sees it. */
export interface SubmittedJob {
  readonly id: string
  readonly spec: JobSpec
  /** True if every run of the job's tasks fails. */
  readonly poison: boolean
  /** Index of the task of the first step whose runs crash their VMs, if there is one. */
  readonly deadlyTask?: number
  /** True if a daemon answered the client that the job is accepted. */
  accepted: boolean
  /** True if the job was refused. Stays false after an attempt without an answer, which may have stored the job. */
  refused: boolean
  /** True if the client has sent a cancel of the job, whatever its answer. */
  cancelled: boolean
  /** State that the daemons showed to the client last. */
  shownState?: JobState
  /** Time at which the client first received the state `Complete`. */
  completeAtMs?: number
  readonly submittedAtMs: number
  /** Index of the queue to which the job was submitted. */
  readonly queue: number
}

/** Returns the names of all tasks of the first occurrence of a job. */
export function listTasks (job: SubmittedJob): string[] {
  return job.spec.steps.flatMap((step, index) => Array.from({ length: step.taskCount }, (_unused, task) => `${job.id}.0.${index}.${task}`))
}
