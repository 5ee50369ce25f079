/**
 * An occurrence of a job in the memory of the job's owner, with its steps.
 */
import type { StepSpec } from '@vanillathread/model'
import type { TrackedJob } from './TrackedJob.js'
import { TrackedTask } from './TrackedTask.js'

/** One step of an occurrence. @public */
export class TrackedStep {
  readonly tasks: TrackedTask[] = []
  doneCount = 0
  /** Duration of the longest task that ended as done under this owner, in milliseconds. */
  longestMs = 0
  /** Time on the owner's clock from which a wait of the step's tasks for near places counts; set by `getReadySinceMs`. */
  readySinceMs: number | undefined
  /** Time at which a trial of the step's tasks last began, or a VM was last reserved for one. */
  lastTrialAtMs = 0

  private constructor (
    readonly occurrence: TrackedOccurrence,
    readonly index: number,
    readonly spec: StepSpec
  ) {}

  static create (occurrence: TrackedOccurrence, index: number, spec: StepSpec, baseRunNumber: number): TrackedStep {
    const step = new TrackedStep(occurrence, index, spec)
    for (let task = 0; task < spec.taskCount; task++) step.tasks.push(TrackedTask.create(step, task, baseRunNumber))
    return step
  }

  get isDone (): boolean {
    return this.doneCount >= this.tasks.length
  }

  /** True once every step that this one depends on is done. */
  get isReady (): boolean {
    return this.spec.after.every((index) => this.occurrence.steps[index]?.isDone ?? true)
  }

  /** Marks one task as done. @returns false if it was done already. */
  markDone (task: TrackedTask): boolean {
    if (task.done) return false
    task.done = true
    this.doneCount += 1
    return true
  }
}

/** One execution of all steps of a job. @public */
export class TrackedOccurrence {
  readonly steps: TrackedStep[]

  private constructor (readonly job: TrackedJob, readonly index: number, baseRunNumber: number) {
    this.steps = job.accepted.spec.steps.map((spec, step) => TrackedStep.create(this, step, spec, baseRunNumber))
  }

  static create (job: TrackedJob, index: number, baseRunNumber: number): TrackedOccurrence {
    return new TrackedOccurrence(job, index, baseRunNumber)
  }

  get isDone (): boolean {
    return this.steps.every((step) => step.isDone)
  }

  /** True if a task could be started now. */
  get isWaiting (): boolean {
    return this.steps.some((step) => !step.isDone && step.isReady && step.tasks.some((task) => task.isWaiting))
  }

  get hasRuns (): boolean {
    return this.steps.some((step) => step.tasks.some((task) => task.runs.size > 0))
  }
}
