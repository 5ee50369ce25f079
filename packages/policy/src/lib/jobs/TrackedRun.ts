/**
 * One start of a task on one VM.
 */
import { formatTaskName } from '@vanillathread/model'
import type { TrackedTask } from './TrackedJob.js'

/** How much is known of a run. @public */
export enum RunPhase {
  /** The start was sent and is unanswered. */
  Ordered = 'ordered',
  /** The start got no answer and may still be carried out. */
  Unsure = 'unsure',
  Running = 'running',
  /** A stop was sent; the run counts until the VM lists its end. */
  Stopping = 'stopping',
}

/** Why we stop a run. @public */
export enum StopReason {
  Cancelled = 'cancelled',
  JobOver = 'job over',
  Unwanted = 'unwanted',
  Evacuation = 'evacuation',
  NoAnswer = 'no answer',
  Stalled = 'stalled',
  GangBroken = 'gang broken',
}

/** A run that may occupy its VM. @public */
export class TrackedRun {
  phase = RunPhase.Ordered
  /** Time at which the VM confirmed the start. */
  confirmedAtMs: number | undefined
  /** Time at which a stop was answered; a report asked for later that lacks the run proves its end. */
  stopAnsweredAtMs: number | undefined
  stopSentAtMs: number | undefined
  stopReason: StopReason | undefined
  /** Share at which the task works. */
  percent = 0
  usage: number | undefined
  /** Share that we asked for. */
  pacePercent = 100
  /** Time since which the VM lists the run as working in full. */
  atWorkSinceMs: number | undefined
  readonly name: string

  private constructor (
    readonly task: TrackedTask,
    readonly number: number,
    readonly vmId: string,
    readonly orderedAtMs: number
  ) {
    const { step } = task
    this.name = formatTaskName({ jobId: step.occurrence.job.id, occurrence: step.occurrence.index, step: step.index, index: task.index })
  }

  /** Name and number together. */
  get key (): string {
    return `${this.name}#${this.number}`
  }

  static create (task: TrackedTask, number: number, vmId: string, orderedAtMs: number): TrackedRun {
    return new TrackedRun(task, number, vmId, orderedAtMs)
  }
}
