/**
 * A job in the memory of its owner: occurrences and steps.
 */
import { isFinalState, JobState, type AcceptedJob, type StepSpec } from '@vanillathread/model'
import type { JobProgress, OccurrenceProgress } from './JobProgress.js'
import { TrackedTask, type TaskCrash } from './TrackedTask.js'

/** One step of an occurrence. @public */
export class TrackedStep {
  readonly tasks: TrackedTask[] = []
  doneCount = 0
  /** Duration of the longest task that ended as done under this owner, in milliseconds. */
  longestMs = 0
  /** Time on the owner's clock from which a wait of the step's tasks for near places counts; set by `getReadySinceMs`. */
  readySinceMs: number | undefined

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
}

/** Options of {@link TrackedJob.create}. @public */
export interface TrackedJobOptions {
  /** Store version at which the job was accepted. */
  readonly acceptedVersion: number
  /** New runs of each task get numbers above this one. */
  readonly baseRunNumber: number
  /** True if a previous owner may have started tasks of the job. */
  readonly mayHavePreviousRuns: boolean
  readonly progress?: JobProgress
  /** Set to which the job adds itself while it has progress to be stored. */
  readonly changes?: Set<TrackedJob>
}

/** A job with its progress. @public */
export class TrackedJob {
  /** Tracked occurrences by index, including those that have ended since this owner began to track them. */
  readonly occurrences = new Map<number, TrackedOccurrence>()
  /** Indexes of the occurrences that have ended. They are not restored if the stored state of the job is final. */
  readonly finishedOccurrences = new Set<number>()
  cancelled = false
  /** True if its team submitted the job beyond its weight; see `WeightMeter`. */
  isBeyondWeight = false
  /** True once a finite task has failed as often as the job allows. */
  failed = false
  private hasChanged = false
  /** State of the job in the store. */
  storedState: JobState
  /** Store clock in milliseconds at which the owner first found that the job had ended. */
  endedAtMs: number | undefined
  readonly mayHavePreviousRuns: boolean
  readonly acceptedVersion: number
  private readonly baseRunNumber: number
  private readonly changes: Set<TrackedJob> | undefined

  private constructor (readonly accepted: AcceptedJob, options: TrackedJobOptions) {
    this.acceptedVersion = options.acceptedVersion
    this.baseRunNumber = options.baseRunNumber
    this.changes = options.changes
    this.mayHavePreviousRuns = options.mayHavePreviousRuns
    this.storedState = options.progress?.state ?? JobState.Queued
    this.endedAtMs = options.progress?.endedAtMs
    this.failed = this.storedState === JobState.Failed
    this.cancelled = this.storedState === JobState.Cancelled
    for (const saved of options.progress?.occurrences ?? []) this.restore(saved)
    for (const index of options.progress?.finished ?? []) this.finishedOccurrences.add(index)
    if (accepted.spec.repeatCount === 0) this.getOccurrence(0)
  }

  static create (accepted: AcceptedJob, options: TrackedJobOptions): TrackedJob {
    return new TrackedJob(accepted, options)
  }

  get id (): string {
    return this.accepted.id
  }

  /** True while the job has progress that is neither stored nor part of a commit in progress. */
  get changed (): boolean {
    return this.hasChanged
  }

  set changed (changed: boolean) {
    this.hasChanged = changed
    if (changed) this.changes?.add(this)
    else this.changes?.delete(this)
  }

  get occurrenceCount (): number {
    return Math.max(1, this.accepted.spec.repeatCount)
  }

  get isComplete (): boolean {
    return this.finishedOccurrences.size >= this.occurrenceCount
  }

  /** True if the job has completed, failed or been cancelled, whether stored or not. */
  get isOver (): boolean {
    return this.cancelled || this.failed || this.isComplete || isFinalState(this.storedState)
  }

  /** True once any task of the job has begun. */
  get begun (): boolean {
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.steps.some((step) => step.doneCount > 0 || step.tasks.some((task) => task.begun))) return true
    }
    return this.finishedOccurrences.size > 0
  }

  /** State of the job as this owner knows it, whether stored or not. */
  get state (): JobState {
    if (isFinalState(this.storedState)) return this.storedState
    if (this.cancelled) return JobState.Cancelled
    if (this.failed) return JobState.Failed
    if (this.isComplete) return JobState.Complete
    return this.begun ? JobState.Running : JobState.Queued
  }

  /** Returns an occurrence, and creates it if it is not tracked yet. Returns undefined if it has ended or is out of range. */
  getOccurrence (index: number): TrackedOccurrence | undefined {
    if (index < 0 || index >= this.occurrenceCount || this.finishedOccurrences.has(index)) return undefined
    let occurrence = this.occurrences.get(index)
    if (occurrence === undefined) {
      occurrence = TrackedOccurrence.create(this, index, this.baseRunNumber)
      this.occurrences.set(index, occurrence)
    }
    return occurrence
  }

  /** Returns the tasks that may have crashed a VM. */
  listSuspects (): TrackedTask[] {
    return [...this.occurrences.values()].flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks.filter(({ crashes }) => crashes.length > 0)))
  }

  /** Records that progress of the job is stored. */
  markStored (progress: JobProgress): void {
    this.storedState = progress.state
    for (const { index, crashed = [] } of progress.occurrences) {
      for (const [step, task, crashes] of crashed) {
        const stored = this.findTask(index, step, task)
        if (stored !== undefined) stored.storedCrashCount = Math.min(crashes.length, stored.crashes.length)
      }
    }
  }

  findTask (occurrence: number, step: number, index: number): TrackedTask | undefined {
    return this.getOccurrence(occurrence)?.steps[step]?.tasks[index]
  }

  /** Marks a task as done; if it belongs to a gang, marks all tasks of its step. */
  markDone (task: TrackedTask): void {
    const step = task.step
    const endedTasks = step.spec.gang ? step.tasks : [task]
    for (const each of endedTasks) {
      if (step.markDone(each)) this.changed = true
    }
    const { occurrence } = step
    if (!occurrence.isDone) return
    this.finishedOccurrences.add(occurrence.index)
  }

  /** Counts a failed run. A finite task that has reached the job's limit of attempts fails the job. */
  markFailed (task: TrackedTask, run: number): void {
    if (task.done || task.failedRuns.has(run)) return
    task.failedRuns.add(run)
    this.changed = true
    if (!task.step.spec.longRunning && task.failedRuns.size >= this.accepted.maxAttempts) this.failed = true
  }

  markCancelled (): void {
    if (this.isOver) return
    this.cancelled = true
    this.changed = true
  }

  /** Returns the progress to be stored for this job. */
  toProgress (storeNowMs: number): JobProgress {
    const state = this.state
    if (isFinalState(state)) {
      this.endedAtMs ??= Math.round(storeNowMs)
      return { state, occurrences: [], finished: [], endedAtMs: this.endedAtMs }
    }
    const occurrences: OccurrenceProgress[] = []
    for (const occurrence of this.occurrences.values()) {
      if (!this.finishedOccurrences.has(occurrence.index)) occurrences.push(toOccurrenceProgress(occurrence))
    }
    return { state, occurrences, finished: [...this.finishedOccurrences] }
  }

  private restore (saved: OccurrenceProgress): void {
    const occurrence = this.getOccurrence(saved.index)
    for (const [step, done] of saved.done) {
      for (const index of done) {
        const task = occurrence?.steps[step]?.tasks[index]
        if (task !== undefined) task.step.markDone(task)
      }
    }
    for (const [step, index, runs] of saved.failed) {
      const task = occurrence?.steps[step]?.tasks[index]
      for (const run of runs) task?.failedRuns.add(run)
    }
    for (const [step, index, crashes] of saved.crashed ?? []) occurrence?.steps[step]?.tasks[index]?.restoreCrashes(crashes)
  }
}

function toOccurrenceProgress (occurrence: TrackedOccurrence): OccurrenceProgress {
  const done: Array<[number, number[]]> = []
  const failed: Array<[number, number, number[]]> = []
  const crashed: Array<[number, number, readonly TaskCrash[]]> = []
  for (const step of occurrence.steps) {
    const indexes = step.tasks.filter((task) => task.done).map((task) => task.index)
    if (indexes.length > 0) done.push([step.index, indexes])
    for (const task of step.tasks) {
      // Long-running tasks have no limit of attempts, so their failures need not be stored.
      if (!step.spec.longRunning && task.failedRuns.size > 0) failed.push([step.index, task.index, [...task.failedRuns]])
      if (!task.done && task.crashes.length > 0) crashed.push([step.index, task.index, task.crashes])
    }
  }
  return { index: occurrence.index, done, failed, ...(crashed.length > 0 && { crashed }) }
}
