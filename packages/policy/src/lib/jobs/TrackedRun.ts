/**
 * A run, which is one start of a task on one VM.
 */
import { formatTaskName } from '@vanillathread/model'
import type { TrackedTask } from './TrackedTask.js'

/** State of a run as far as the owner knows it. @public */
export enum RunPhase {
  /** The start was ordered and has not been answered yet. */
  Ordered = 'ordered',
  /** The start got no answer; the VM may have carried it out or may still do so. */
  Unknown = 'unsure',
  /** The VM has confirmed the run. */
  Running = 'running',
  /**
   * A stop was ordered. The run keeps its capacity until the VM lists its end, or until a report that was requested after
   * the stop was answered lacks the run.
   */
  Stopping = 'stopping',
}

/** Why the owner stops a run. @public */
export enum StopReason {
  Cancelled = 'cancelled',
  /** The job ended without being cancelled. */
  JobOver = 'job over',
  /** The run is not needed: its task is done, is not ready or has another run, or its job has ended. */
  Unwanted = 'unwanted',
  Evacuation = 'evacuation',
  /** The start got no answer, and a later report does not list the run. */
  NoAnswer = 'no answer',
  /** The run has taken several times the mean duration of its queue's tasks. */
  Stalled = 'stalled',
  /** Another member of the gang ended without being done. */
  GangBroken = 'gang broken',
}

/** A run that may occupy capacity of its VM. @public */
export class TrackedRun {
  phase = RunPhase.Ordered
  /** Time at which the VM first confirmed the run, by its answer to the start or in a report. */
  confirmedAtMs: number | undefined
  /**
   * True if the run belongs to the incarnation of the VM that the owner knows, as a report listed it or a previous owner recorded it.
   * A run that was only ordered may begin on a later incarnation.
   */
  isOfKnownIncarnation = false
  /** Time since which the outcome of the start is unknown. */
  unknownSinceMs: number | undefined
  /** Time at which the VM answered a stop. A report that was requested later and lacks the run proves that the run has ended. */
  stopAnsweredAtMs: number | undefined
  stopSentAtMs: number | undefined
  stopReason: StopReason | undefined
  /** True if a former owner may have ordered the stop of this run, which the VM then lists until the stop has ended. */
  mayBeStopping = false
  /** Number of tasks that the VM had ended as done when the run was added to it, as counted by this owner. */
  vmDoneCountBefore = 0
  /** Pace at which the task works according to the VM's last report, in percent. */
  percent = 0
  /** Last reported tail latency in milliseconds for a latency-sensitive task, otherwise thousandths of a core in use. */
  usage: number | undefined
  /** Pace that the owner last ordered, in percent; `NaN` if the pace in force is not known. */
  orderedPacePercent = 100
  /** Factor by which the run takes longer because of where it runs; see `NearPlaces`. */
  placeFactor = 1
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

  /** Task name and run number, which together identify the run. */
  get key (): string {
    return `${this.name}#${this.number}`
  }

  /** Records that the start got no answer, so that the VM may have carried it out. */
  markUnknown (nowMs: number): void {
    this.phase = RunPhase.Unknown
    this.unknownSinceMs = nowMs
  }

  static create (task: TrackedTask, number: number, vmId: string, orderedAtMs: number): TrackedRun {
    return new TrackedRun(task, number, vmId, orderedAtMs)
  }
}
