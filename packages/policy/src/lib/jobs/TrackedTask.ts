/**
 * A task in the memory of its job's owner.
 */
import type { TrackedStep } from './TrackedOccurrence.js'
import type { TrackedRun } from './TrackedRun.js'

/** A crash of a VM on which a task had just been started. @public */
export interface TaskCrash {
  readonly vm: string
  /** True if the VM had confirmed the run, so that it certainly crashed under it. */
  readonly confirmed: boolean
}

/** One task of a step. @public */
export class TrackedTask {
  done = false
  /** Highest run number used so far. */
  lastRun: number
  /** Numbers of the runs that failed, as a set because a VM may report the same end more than once. */
  readonly failedRuns = new Set<number>()
  /** Failed runs of which a previous owner stored the number only: how many, and up to which run number they count. */
  formerFailures: { readonly count: number, readonly upToRun: number } | undefined
  /** Ids of VMs on which a run of this task failed or was overdue. */
  readonly failedVms = new Set<string>()
  /** Number of runs that were stopped because they took several times the expected duration. */
  stallCount = 0
  /** VMs that crashed shortly after this task was started there. */
  crashes: readonly TaskCrash[] = []
  /** Number of entries of `crashes` that are stored. The task is not started before all are. */
  storedCrashCount = 0
  /** True if the next run is to be started in a trial, without tasks of other steps beside it. */
  needsTrial = false
  /** Latest checkpoint that a VM reported for the task, or an empty string. */
  checkpoint = ''
  /** Runs that may still occupy a VM. */
  readonly runs = new Set<TrackedRun>()
  /** True if the task's run is overdue and a second run beside it is to be started. */
  needsSecondRun = false
  /** True once a VM has confirmed a run of this task or listed its end. */
  begun = false

  private constructor (readonly step: TrackedStep, readonly index: number, baseRunNumber: number) {
    this.lastRun = baseRunNumber
  }

  /** @param baseRunNumber - new runs get numbers above it; runs of previous owners have numbers up to it. */
  static create (step: TrackedStep, index: number, baseRunNumber: number): TrackedTask {
    return new TrackedTask(step, index, baseRunNumber)
  }

  /** True if the task needs a run to be started: its first, the next after one that ended, or a second beside an overdue one. */
  get isWaiting (): boolean {
    return !this.done && (this.runs.size === 0 || this.needsSecondRun) && this.storedCrashCount >= this.crashes.length
  }

  /** Number of failed runs that count as attempts. */
  get failureCount (): number {
    return this.failedRuns.size + (this.formerFailures?.count ?? 0)
  }

  get highestFailedRun (): number {
    return Math.max(this.formerFailures?.upToRun ?? 0, ...this.failedRuns)
  }

  /** Returns true if a failed run counts already. */
  hasCountedFailure (run: number): boolean {
    return this.failedRuns.has(run) || run <= (this.formerFailures?.upToRun ?? 0)
  }

  /** Records that a VM crashed under a run of this task. */
  recordCrash (crash: TaskCrash, needsTrial: boolean): void {
    this.crashes = [...this.crashes, crash]
    this.needsTrial ||= needsTrial || this.crashes.length > 1
    this.step.occurrence.job.changed = true
  }

  /** Forgets the crashes of a task that has worked since without one. */
  clearCrashes (): void {
    this.crashes = []
    this.storedCrashCount = 0
    this.needsTrial = false
    this.step.occurrence.job.changed = true
  }

  /** Restores crashes that a previous owner has stored. */
  restoreCrashes (crashes: readonly TaskCrash[]): void {
    this.crashes = crashes
    this.storedCrashCount = crashes.length
    this.needsTrial = true
  }
}
