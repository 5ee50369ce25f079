/**
 * A job in the memory of its owner.
 */
import { isFinalState, JobState, type AcceptedJob } from '@vanillathread/model'
import { countDueOccurrences, getMaxOpenOccurrences, MAX_WAITING_OCCURRENCES } from './dueOccurrences.js'
import { IndexRanges } from './IndexRanges.js'
import type { JobProgress, OccurrenceProgress } from './JobProgress.js'
import { listCrashes, restoreOccurrence, toOccurrenceProgress } from './occurrenceProgress.js'
import { getMinStoredCrashes, ProgressForm } from './ProgressForm.js'
import { TrackedOccurrence } from './TrackedOccurrence.js'
import type { TrackedTask } from './TrackedTask.js'

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
  /** Tracked occurrences by index: those that are open, and those that have ended and still have runs. */
  readonly occurrences = new Map<number, TrackedOccurrence>()
  /** Indexes of the occurrences that have ended. They are not restored if the stored state of the job is final. */
  private readonly finishedOccurrences = IndexRanges.create()
  /** All occurrences below this index are open or have ended. */
  private nextOccurrence = 0
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
    for (const saved of options.progress?.occurrences ?? []) restoreOccurrence(this.getOccurrence(saved.index), saved, options.progress?.crashVms)
    for (const index of options.progress?.finished ?? []) this.finishedOccurrences.add(index)
    for (const [from, to] of options.progress?.finishedRanges ?? []) this.finishedOccurrences.addRange(from, to)
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

  /** Opens due occurrences in order, as long as few of those that are open have tasks to start; see `dueOccurrences`. */
  openDueOccurrences (wallClockMs: number): void {
    const { spec } = this.accepted
    const dueCount = countDueOccurrences(spec, wallClockMs)
    this.nextOccurrence = this.finishedOccurrences.nextAbsent(this.nextOccurrence)
    if (this.nextOccurrence >= dueCount) return
    const limit = getMaxOpenOccurrences(spec)
    let waiting = 0
    for (const occurrence of this.occurrences.values()) waiting += occurrence.isWaiting ? 1 : 0
    while (this.nextOccurrence < dueCount && waiting < MAX_WAITING_OCCURRENCES && this.occurrences.size < limit) {
      if (!this.occurrences.has(this.nextOccurrence)) {
        this.getOccurrence(this.nextOccurrence)
        waiting += 1
      }
      this.nextOccurrence = this.finishedOccurrences.nextAbsent(this.nextOccurrence + 1)
    }
  }

  /** Returns the number of due occurrences that are neither open nor have ended. */
  countUnopened (wallClockMs: number): number {
    const dueCount = countDueOccurrences(this.accepted.spec, wallClockMs)
    let open = 0
    for (const index of this.occurrences.keys()) open += index < dueCount && !this.finishedOccurrences.has(index) ? 1 : 0
    return dueCount - this.finishedOccurrences.countBelow(dueCount) - open
  }

  /** Stops tracking an occurrence of a scheduled job that has ended and has no runs. */
  dropIfEnded (occurrence: TrackedOccurrence): void {
    if (this.accepted.spec.repeatCount > 0 && this.finishedOccurrences.has(occurrence.index) && !occurrence.hasRuns) this.occurrences.delete(occurrence.index)
  }

  /** Returns the tasks that may have crashed a VM. */
  listSuspects (): TrackedTask[] {
    return [...this.occurrences.values()].flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks.filter(({ crashes }) => crashes.length > 0)))
  }

  /** Records that progress of the job is stored. */
  markStored (progress: JobProgress): void {
    this.storedState = progress.state
    for (const saved of progress.occurrences) {
      for (const [task, crashes] of listCrashes(this.occurrences.get(saved.index), saved, progress.crashVms)) task.storedCrashCount = Math.min(crashes.length, task.crashes.length)
    }
  }

  /** Lets tasks start whose crashes are not part of a form, as these are not stored. */
  waiveCrashes (form: ProgressForm): void {
    const minCrashes = getMinStoredCrashes(form)
    for (const task of this.listSuspects()) if (task.crashes.length < minCrashes) task.storedCrashCount = task.crashes.length
  }

  /** Returns a task, also one of an occurrence that has ended: a VM may still run copies of it. */
  findTask (occurrence: number, step: number, index: number): TrackedTask | undefined {
    return (this.occurrences.get(occurrence) ?? this.getOccurrence(occurrence) ?? this.trackEnded(occurrence))?.steps[step]?.tasks[index]
  }

  /** Tracks an occurrence again that has ended, until `dropIfEnded`. */
  private trackEnded (index: number): TrackedOccurrence | undefined {
    if (!this.finishedOccurrences.has(index)) return undefined
    const occurrence = TrackedOccurrence.create(this, index, this.baseRunNumber)
    for (const step of occurrence.steps) for (const task of step.tasks) step.markDone(task)
    this.occurrences.set(index, occurrence)
    return occurrence
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
    this.dropIfEnded(occurrence)
  }

  /** Counts a failed run. A finite task that has reached the job's limit of attempts fails the job. */
  markFailed (task: TrackedTask, run: number): void {
    if (task.done || task.hasCountedFailure(run)) return
    task.failedRuns.add(run)
    this.changed = true
    if (!task.step.spec.longRunning && task.failureCount >= this.accepted.maxAttempts) this.failed = true
  }

  /** Fails the job although none of its tasks has reached the limit of attempts. */
  markFailedAsWhole (): void {
    this.failed = true
    this.changed = true
  }

  markCancelled (): void {
    if (this.isOver) return
    this.cancelled = true
    this.changed = true
  }

  /** Returns the progress to be stored for this job. */
  toProgress (storeNowMs: number, form = ProgressForm.Listed): JobProgress {
    const state = this.state
    if (isFinalState(state)) {
      this.endedAtMs ??= Math.round(storeNowMs)
      return { state, occurrences: [], finished: [], endedAtMs: this.endedAtMs }
    }
    const occurrences: OccurrenceProgress[] = []
    const crashVms: string[] = []
    for (const occurrence of this.occurrences.values()) {
      const progress = this.finishedOccurrences.has(occurrence.index) ? undefined : toOccurrenceProgress(occurrence, form, crashVms)
      if (progress !== undefined) occurrences.push(progress)
    }
    const ranges = this.finishedOccurrences.toRanges()
    const common = { state, occurrences, ...(crashVms.length > 0 && { crashVms }) }
    if (this.finishedOccurrences.size > MAX_FINISHED_LISTED) return { ...common, finished: [], finishedRanges: ranges }
    return { ...common, finished: ranges.flatMap(([from, to]) => Array.from({ length: to - from }, (_, offset) => from + offset)) }
  }
}

/** Occurrences that have ended are listed one by one up to this number, as earlier builds read only that. */
const MAX_FINISHED_LISTED = 1_000
