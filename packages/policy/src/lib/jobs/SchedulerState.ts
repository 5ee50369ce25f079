/**
 * Jobs, VMs and runs of one shard, with the state changes that several policies make.
 */
import { EventCode, parseTaskName, type EndEntry } from '@vanillathread/model'
import { TrackedVm } from '../vms/TrackedVm.js'
import { PauseReason } from '../vms/VmPause.js'
import { DurationEstimates } from './DurationEstimates.js'
import { OrderKind, type Order } from './orders.js'
import { NearPlaces, type NearPlaceRules } from '../placement/NearPlaces.js'
import { TrialReservations } from '../placement/TrialReservations.js'
import type { TrackedJob } from './TrackedJob.js'
import type { TrackedTask } from './TrackedTask.js'
import { RunPhase, StopReason, TrackedRun } from './TrackedRun.js'
import type { TeamScheduling } from '../teams/TeamScheduling.js'

/** Log fields that explain a decision. @public */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Logs a decision; called for every decision of the scheduler. @public */
export type DecisionLogger = (code: EventCode, fields: DecisionFields) => void

/**
 * Number of jobs that must have failed tasks on a VM, with no task done there in between, before the VM is paused. A single
 * job may fail for a reason of its own.
 */
export const MIN_FAILED_JOBS = 3

/**
 * First pause of a VM on which tasks of several jobs failed; a paused VM gets no new tasks. The pause doubles with each
 * further one until a task is done there, or fails only after `WORKING_VM_MS`.
 */
const FIRST_PAUSE_MS = 1_500
/** A long-running task that fails after it has worked for this long shows, like a task that is done, that its VM works. */
const WORKING_VM_MS = 5_000

/** Longest pause of such a VM. */
const MAX_PAUSE_MS = 12_000

/** Scheduling state of one shard. @public */
export class SchedulerState {
  readonly jobs = new Map<string, TrackedJob>()
  /** Jobs that have not ended, by pool. */
  readonly openJobs = new Map<string, Set<TrackedJob>>()
  readonly vms = new Map<string, TrackedVm>()
  readonly estimates = DurationEstimates.create()
  /** Tasks that may have crashed a VM. */
  readonly suspects = new Set<TrackedTask>()
  /** Times at which VMs last crashed, by machine. */
  readonly crashedMachines = new Map<string, number>()
  /** Ids of jobs that VMs have listed and that the owner has not read from the store yet. */
  readonly jobsToRead = new Set<string>()
  /** Ids of jobs that VMs have listed and that the store does not hold. */
  readonly absentJobs = new Set<string>()
  /** Orders that have not been taken by {@link SchedulerState.takeOrders}. */
  readonly orders: Order[] = []
  /** By VM id, since a task was last done there: the number of pauses, and the jobs with failed tasks since the last pause. */
  private readonly failuresByVm = new Map<string, { jobs: Set<string>, pauses: number }>()

  /** Waits for places near the data of tasks; undefined if it is not known what another place costs. */
  readonly nearPlaces: NearPlaces | undefined

  readonly trialReservations: TrialReservations

  private constructor (readonly logDecision: DecisionLogger, readonly stopMs: number, readonly teams: TeamScheduling, rules: NearPlaceRules | undefined) {
    this.trialReservations = TrialReservations.create(logDecision)
    this.nearPlaces = rules && NearPlaces.create({ ...rules, estimates: this.estimates, logDecision })
  }

  /** @param stopMs - longest time from a VM's answer to a stop until the run has ended. */
  static create (logDecision: DecisionLogger, stopMs: number, teams: TeamScheduling, nearPlaceRules?: NearPlaceRules): SchedulerState {
    return new SchedulerState(logDecision, stopMs, teams, nearPlaceRules)
  }

  takeOrders (): Order[] {
    return this.orders.splice(0)
  }

  /** Returns the VMs of each pool. */
  groupVmsByPool (): Map<string, TrackedVm[]> {
    const vmsByPool = new Map<string, TrackedVm[]>()
    for (const vm of this.vms.values()) {
      const vms = vmsByPool.get(vm.entry.pool)
      if (vms === undefined) vmsByPool.set(vm.entry.pool, [vm])
      else vms.push(vm)
    }
    return vmsByPool
  }

  /** Adds a job, and lists it as open unless it has ended. */
  addJob (job: TrackedJob): void {
    this.jobs.set(job.id, job)
    if (job.isOver) return
    for (const task of job.listSuspects()) this.suspects.add(task)
    const open = this.openJobs.get(job.accepted.pool) ?? new Set()
    open.add(job)
    this.openJobs.set(job.accepted.pool, open)
  }

  /**
   * Returns the task with a given name. If its job is not known, and the store may hold it, `unread` is true and the job is
   * added to `jobsToRead`.
   */
  findTask (name: string): { task?: TrackedTask, unread: boolean } {
    const parsed = parseTaskName(name)
    if (parsed === undefined) return { unread: false }
    const job = this.jobs.get(parsed.jobId)
    if (job === undefined) {
      const unread = !this.absentJobs.has(parsed.jobId)
      if (unread) this.jobsToRead.add(parsed.jobId)
      return { unread }
    }
    return { task: job.findTask(parsed.occurrence, parsed.step, parsed.index), unread: false }
  }

  /** Creates a run of a task on a VM, and orders its start. */
  startRun (task: TrackedTask, vm: TrackedVm, number: number, nowMs: number, ticket?: string): TrackedRun {
    const run = TrackedRun.create(task, number, vm.id, nowMs)
    task.lastRun = Math.max(task.lastRun, number)
    task.needsSecondRun = false
    this.nearPlaces?.recordStart(run, vm, nowMs)
    this.trackRun(run, vm)
    this.orders.push({ kind: OrderKind.Start, run, ticket })
    return run
  }

  /** Tracks a run that a VM lists and that this owner did not start. */
  adoptRun (task: TrackedTask, vm: TrackedVm, number: number, nowMs: number): TrackedRun {
    const run = TrackedRun.create(task, number, vm.id, nowMs)
    // A previous owner may have changed the pace.
    run.orderedPacePercent = Number.NaN
    run.mayBeStopping = true
    run.placeFactor = this.nearPlaces?.getFactor(task.step, vm) ?? 1
    task.lastRun = Math.max(task.lastRun, number)
    task.begun = true
    this.trackRun(run, vm)
    return run
  }

  /** Tracks a run that a previous owner recorded for an unresponsive VM, unless the run is not needed any more. */
  restoreRun (taskName: string, number: number, vm: TrackedVm, nowMs: number): void {
    const { task } = this.findTask(taskName)
    if (task === undefined) return
    const { occurrence } = task.step
    occurrence.job.dropIfEnded(occurrence)
    if (task.done || occurrence.job.isOver) return
    const run = this.adoptRun(task, vm, number, nowMs)
    run.isOfKnownIncarnation = true
    run.markUnknown(nowMs)
  }

  /** Orders the stop of a run, unless that was done before. */
  stopRun (run: TrackedRun, reason: StopReason, nowMs: number): void {
    if (run.phase === RunPhase.Stopping) return
    run.phase = RunPhase.Stopping
    run.stopReason = reason
    run.stopSentAtMs = nowMs
    this.orders.push({ kind: OrderKind.Stop, run })
    this.logDecision(EventCode.TaskStopOrdered, { task: run.name, run: run.number, vm: run.vmId, reason })
  }

  /** Removes a run that no longer occupies its VM. */
  releaseRun (run: TrackedRun): void {
    if (run.task.runs.delete(run)) this.teams.adjust(run, -1)
    this.vms.get(run.vmId)?.removeRun(run)
    const { occurrence } = run.task.step
    occurrence.job.dropIfEnded(occurrence)
  }

  /** Applies an end entry that a VM listed. */
  applyEnd (vm: TrackedVm, end: EndEntry, task: TrackedTask | undefined, nowMs: number): void {
    const run = vm.runs.get(`${end.task}#${end.run}`)
    if (run !== undefined) this.releaseRun(run)
    if (task === undefined) return
    const { job } = task.step.occurrence
    task.lastRun = Math.max(task.lastRun, end.run)
    task.begun = true
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    this.logDecision(EventCode.TaskEnded, { task: end.task, run: end.run, vm: vm.id, end: end.end, number: end.number })
    job.dropIfEnded(task.step.occurrence)
    if (job.isOver) return
    if (end.end === 'done') this.applyDone(vm, run, task, nowMs)
    else if (end.end === 'failed') this.applyFailure(vm, run, task, end.run, nowMs)
    else if (task.step.spec.gang) this.stopGangMembers(task, end.run, nowMs)
    this.closeIfOver(job, nowMs)
  }

  cancelJob (job: TrackedJob, nowMs: number): void {
    job.markCancelled()
    this.closeIfOver(job, nowMs)
  }

  /** Gives a job up, for example because its progress cannot be stored. Its runs are stopped. */
  failJob (job: TrackedJob, reason: string, nowMs: number): void {
    if (job.isOver) return
    this.logDecision(EventCode.JobGivenUp, { job: job.id, reason })
    job.markFailedAsWhole()
    this.closeIfOver(job, nowMs)
  }

  /** Removes runs that ended without an end entry, for example because their VM restarted or its lease expired. */
  loseRuns (vm: TrackedVm, runs: Iterable<TrackedRun>, reason: string): void {
    for (const run of [...runs]) {
      this.releaseRun(run)
      this.logDecision(EventCode.TaskLost, { task: run.name, run: run.number, vm: vm.id, reason })
    }
  }

  /** If a job has ended, stops its remaining runs and removes it from the open jobs. */
  closeIfOver (job: TrackedJob, nowMs: number): void {
    if (!job.isOver) return
    this.openJobs.get(job.accepted.pool)?.delete(job)
    for (const occurrence of job.occurrences.values()) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks) {
          for (const run of task.runs) this.stopRun(run, job.cancelled ? StopReason.Cancelled : StopReason.JobOver, nowMs)
        }
      }
    }
  }

  private trackRun (run: TrackedRun, vm: TrackedVm): void {
    run.task.runs.add(run)
    vm.addRun(run)
    this.teams.adjust(run, 1)
  }

  private applyDone (vm: TrackedVm, run: TrackedRun | undefined, task: TrackedTask, nowMs: number): void {
    const { job } = task.step.occurrence
    this.failuresByVm.delete(vm.id)
    vm.doneCount += 1
    if (run?.confirmedAtMs !== undefined) this.learnDuration(task, (nowMs - run.confirmedAtMs) / run.placeFactor)
    job.markDone(task)
    this.teams.markDone(task)
    for (const other of task.runs) this.stopRun(other, StopReason.Unwanted, nowMs)
  }

  /** Learns from the duration that a run would have had near its data. */
  private learnDuration ({ step }: TrackedTask, durationMs: number): void {
    const { queue } = step.occurrence.job.accepted
    const { estimateMs, taskCount } = step.spec
    this.estimates.addSample(queue, estimateMs, durationMs)
    step.longestMs = Math.max(step.longestMs, durationMs)
    if (step.doneCount === taskCount - 1) this.estimates.addStepSample(queue, this.estimates.getTaskMs(queue, estimateMs), step.longestMs, taskCount)
  }

  private applyFailure (vm: TrackedVm, run: TrackedRun | undefined, task: TrackedTask, number: number, nowMs: number): void {
    const { step } = task
    const { job } = step.occurrence
    job.markFailed(task, number)
    task.failedVms.add(vm.id)
    if (step.spec.longRunning && run?.confirmedAtMs !== undefined && nowMs - run.confirmedAtMs >= WORKING_VM_MS) this.failuresByVm.delete(vm.id)
    else this.recordVmFailure(vm, job.id, nowMs)
    if (step.spec.gang) this.stopGangMembers(task, number, nowMs)
  }

  /** Counts a failure of a VM, and pauses the VM if tasks of several jobs failed there with none done in between. */
  private recordVmFailure (vm: TrackedVm, jobId: string, nowMs: number): void {
    const failures = this.failuresByVm.get(vm.id) ?? { jobs: new Set<string>(), pauses: 0 }
    failures.jobs.add(jobId)
    this.failuresByVm.set(vm.id, failures)
    vm.pause.recordFailure(nowMs)
    if (failures.jobs.size < MIN_FAILED_JOBS) return
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures.pauses)
    failures.pauses += 1
    failures.jobs.clear()
    vm.pause.begin(PauseReason.Failures, pauseMs, nowMs)
    this.logDecision(EventCode.VmAvoided, { vm: vm.id, pauseMs, reason: PauseReason.Failures })
  }

  /** Stops the members of a gang that still run under the given run number. */
  private stopGangMembers (task: TrackedTask, number: number, nowMs: number): void {
    for (const member of task.step.tasks) {
      for (const run of member.runs) {
        if (run.number === number) this.stopRun(run, StopReason.GangBroken, nowMs)
      }
    }
  }
}
