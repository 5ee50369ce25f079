/**
 * A job in the memory of its owner: occurrences, steps and tasks.
 */
import { isFinalState, JobState, type AcceptedJob, type StepSpec } from '@vanillathread/model'
import type { JobProgress, OccurrenceProgress } from './JobProgress.js'
import type { TrackedRun } from './TrackedRun.js'

/** One task of a step. @public */
export class TrackedTask {
  done = false
  /** Highest run number that was used. */
  lastRun: number
  /** Numbers of the runs that ended as failed; a number counts once however often its end is reported. */
  readonly failedRuns = new Set<number>()
  /** VMs on which a run of this task failed. */
  readonly failedVms = new Set<string>()
  checkpoint = ''
  /** Runs that may still occupy a VM. */
  readonly runs = new Set<TrackedRun>()
  /** True where a second run beside an overdue one is wanted. */
  wantsCopy = false
  /** True once a run of this task was seen on a VM. */
  begun = false

  private constructor (readonly step: TrackedStep, readonly index: number, firstRun: number) {
    this.lastRun = firstRun
  }

  /** @param firstRun - number below the first run; runs of earlier owners are not above it. */
  static create (step: TrackedStep, index: number, firstRun: number): TrackedTask {
    return new TrackedTask(step, index, firstRun)
  }

  /** True where the task wants a run and has none. */
  get isWaiting (): boolean {
    return !this.done && (this.runs.size === 0 || this.wantsCopy)
  }
}

/** One step of an occurrence. @public */
export class TrackedStep {
  readonly tasks: TrackedTask[] = []
  doneCount = 0

  private constructor (
    readonly occurrence: TrackedOccurrence,
    readonly index: number,
    readonly spec: StepSpec
  ) {}

  static create (occurrence: TrackedOccurrence, index: number, spec: StepSpec, firstRun: number): TrackedStep {
    const step = new TrackedStep(occurrence, index, spec)
    for (let task = 0; task < spec.taskCount; task++) step.tasks.push(TrackedTask.create(step, task, firstRun))
    return step
  }

  get isDone (): boolean {
    return this.doneCount >= this.tasks.length
  }

  /** True once every step that this one depends on has ended. */
  get isReady (): boolean {
    return this.spec.after.every((index) => this.occurrence.steps[index]?.isDone ?? true)
  }

  markDone (task: TrackedTask): boolean {
    if (task.done) return false
    task.done = true
    this.doneCount += 1
    return true
  }
}

/** One execution of all steps. @public */
export class TrackedOccurrence {
  readonly steps: TrackedStep[]

  private constructor (readonly job: TrackedJob, readonly index: number, firstRun: number) {
    this.steps = job.accepted.spec.steps.map((spec, step) => TrackedStep.create(this, step, spec, firstRun))
  }

  static create (job: TrackedJob, index: number, firstRun: number): TrackedOccurrence {
    return new TrackedOccurrence(job, index, firstRun)
  }

  get isDone (): boolean {
    return this.steps.every((step) => step.isDone)
  }
}

/** Options of {@link TrackedJob.create}. @public */
export interface TrackedJobOptions {
  /** Version of the store at which the job was accepted. */
  readonly acceptedVersion: number
  /** Number below the first run. */
  readonly firstRun: number
  /** True where a former owner may have started tasks. */
  readonly mayHaveRuns: boolean
  readonly progress?: JobProgress
  /** Set that holds the job while it has changes to store. */
  readonly changes?: Set<TrackedJob>
}

/** A job and what has happened to it. @public */
export class TrackedJob {
  readonly occurrences = new Map<number, TrackedOccurrence>()
  readonly finishedOccurrences = new Set<number>()
  cancelled = false
  failed = false
  private hasChanged = false
  /** State that the store holds. */
  storedState: JobState
  /** Store clock at which the job was first found over. */
  endedAtMs: number | undefined
  readonly mayHaveRuns: boolean
  readonly acceptedVersion: number
  private readonly firstRun: number
  private readonly changes: Set<TrackedJob> | undefined

  private constructor (readonly accepted: AcceptedJob, options: TrackedJobOptions) {
    this.acceptedVersion = options.acceptedVersion
    this.firstRun = options.firstRun
    this.changes = options.changes
    this.mayHaveRuns = options.mayHaveRuns
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

  /** True where what happened since is not in the store yet. */
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

  get isOver (): boolean {
    return this.cancelled || this.failed || this.isComplete || isFinalState(this.storedState)
  }

  get begun (): boolean {
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.steps.some((step) => step.doneCount > 0 || step.tasks.some((task) => task.begun))) return true
    }
    return this.finishedOccurrences.size > 0
  }

  /** State that follows from what this owner knows, written or not. */
  get state (): JobState {
    if (isFinalState(this.storedState)) return this.storedState
    if (this.cancelled) return JobState.Cancelled
    if (this.failed) return JobState.Failed
    if (this.isComplete) return JobState.Complete
    return this.begun ? JobState.Running : JobState.Queued
  }

  /** Returns an occurrence, creating it where it is not tracked yet and has not ended. */
  getOccurrence (index: number): TrackedOccurrence | undefined {
    if (index < 0 || index >= this.occurrenceCount || this.finishedOccurrences.has(index)) return undefined
    let occurrence = this.occurrences.get(index)
    if (occurrence === undefined) {
      occurrence = TrackedOccurrence.create(this, index, this.firstRun)
      this.occurrences.set(index, occurrence)
    }
    return occurrence
  }

  findTask (occurrence: number, step: number, index: number): TrackedTask | undefined {
    return this.getOccurrence(occurrence)?.steps[step]?.tasks[index]
  }

  /** Marks a task, or its whole gang, as done. */
  markDone (task: TrackedTask): void {
    const step = task.step
    const ended = step.spec.gang ? step.tasks : [task]
    for (const each of ended) {
      if (step.markDone(each)) this.changed = true
    }
    const { occurrence } = step
    if (!occurrence.isDone) return
    this.finishedOccurrences.add(occurrence.index)
  }

  /** Counts a failed run. */
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

  /** What the store keeps of this job. */
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
  }
}

function toOccurrenceProgress (occurrence: TrackedOccurrence): OccurrenceProgress {
  const done: Array<[number, number[]]> = []
  const failed: Array<[number, number, number[]]> = []
  for (const step of occurrence.steps) {
    const indexes = step.tasks.filter((task) => task.done).map((task) => task.index)
    if (indexes.length > 0) done.push([step.index, indexes])
    for (const task of step.tasks) {
      // A long-running task has no limit of attempts, so its failures need no record.
      if (!step.spec.longRunning && task.failedRuns.size > 0) failed.push([step.index, task.index, [...task.failedRuns]])
    }
  }
  return { index: occurrence.index, done, failed }
}
