/**
 * Checks that stops of long-running tasks leave enough of their step available, as the platform's rule AVAIL demands.
 */
import { parseTaskName, RunEnd } from '@vanillathread/model'
import { RESTORE_DURATION_MS, type ObservedVm, type VmStandInRun } from '@vanillathread/stand-ins'
import { listTasks, type SubmittedJob } from './SubmittedJob.js'

/** Options of {@link AvailabilityCheck.create}. */
export interface AvailabilityCheckOptions {
  now (): number
  findJob (id: string): SubmittedJob | undefined
  onViolation (detail: string): void
}

/** Follows the runs of long-running tasks, and the tasks that an order has ended and that have not worked since. */
export class AvailabilityCheck {
  /** Time of the latest start, by task. */
  private readonly startedAtMs = new Map<string, number>()
  /** Time at which an order last ended the task, by task. */
  private readonly endedByOrderAtMs = new Map<string, number>()

  private constructor (private readonly options: AvailabilityCheckOptions) {}

  static create (options: AvailabilityCheckOptions): AvailabilityCheck {
    return new AvailabilityCheck(options)
  }

  recordStart (task: string): void {
    this.startedAtMs.set(task, this.options.now())
  }

  /** Records the end of a run. Checks it if an order has ended a task that was at work on a VM that does not drain. */
  recordEnd (vm: ObservedVm, run: VmStandInRun, end: RunEnd): void {
    if (end === RunEnd.Stopped && !vm.entry.draining && this.options.now() - run.startedAtMs >= RESTORE_DURATION_MS) this.recordOrderedEnd(run.task)
  }

  private recordOrderedEnd (task: string): void {
    const { options, endedByOrderAtMs } = this
    const name = parseTaskName(task)
    const job = options.findJob(name?.jobId ?? '')
    const step = job?.spec.steps[name?.step ?? 0]
    if (job === undefined || job.cancelled || step === undefined || !step.longRunning || step.mayMiss === 0) return
    const awayCount = listTasks(job).filter((other) => other !== task && parseTaskName(other)?.step === name?.step && this.isAway(other)).length
    endedByOrderAtMs.set(task, options.now())
    if (awayCount >= step.mayMiss) options.onViolation(`a stop ends ${task} while ${awayCount} others of its step are away`)
  }

  /** Returns true if an order has ended the task and no run of it has worked since. */
  private isAway (task: string): boolean {
    const endedAtMs = this.endedByOrderAtMs.get(task)
    const startedAtMs = this.startedAtMs.get(task) ?? -Infinity
    return endedAtMs !== undefined && (startedAtMs < endedAtMs || this.options.now() - startedAtMs < RESTORE_DURATION_MS)
  }
}
