/**
 * The owner's view of one shard: takes in what happens, gives out orders.
 */
import { EventCode, isFinalState, JobState, type AcceptedJob, type VmEntry, type VmReport } from '@vanillathread/model'
import { TrackedVm } from '../vms/TrackedVm.js'
import { ArrivalMeter, getJobWork, measureDemand, type PoolLoad } from '../machines/PoolLoad.js'
import { describeSteps } from './describeSteps.js'
import { evacuateVm } from './evacuateVm.js'
import type { JobProgress } from './JobProgress.js'
import { OrderKind, StartOutcome, type Order } from './orders.js'
import { PaceController } from './PaceController.js'
import { placeTasks, type PlacementContext } from './placeTasks.js'
import { reconcileReport, startNewLife } from './reconcileReport.js'
import { restartOverdue } from './restartOverdue.js'
import { SchedulerState, type DecisionObserver } from './SchedulerState.js'
import { TrackedJob } from './TrackedJob.js'
import { RunPhase, type TrackedRun } from './TrackedRun.js'

/** Runs that one owner may number for a task; each generation of owners begins above the last one's. */
const RUNS_PER_GENERATION = 1_000

/** Accepted starts are logged from this duration on: their order has a line already, and an owner starts hundreds a second. */
const SLOW_START_MS = 200

/** Time after which an unanswered stop is sent again. */
const STOP_RETRY_MS = 600

/** Time for which tasks stay on a draining VM; most end by themselves, and the VM leaves after two seconds at the earliest. */
const DRAINING_TASK_GRACE_MS = 1_200

/** Time for which a forgotten job is not taken in again: far above the longest read of a whole table. */
const DROPPED_JOB_MEMORY_MS = 60_000

/** Options of {@link JobScheduler.create}. @public */
export interface JobSchedulerOptions {
  /** Number of owners that the shard had before. */
  readonly generation: number
  /** Store version of the transaction that took the shard. */
  readonly fencingToken: number
  /** Longest lease that we and every former owner give to a VM. */
  readonly leaseMs: number
  /** Time for which a former owner may still extend leases of VMs that we cannot reach. */
  readonly formerOwnerMs: number
  readonly startedAtMs: number
  readonly observe: DecisionObserver
}

/** The clocks of a moment. @public */
export interface Moment {
  readonly nowMs: number
  readonly storeNowMs: number
  readonly wallClockMs: number
}

/** Scheduler of one shard. @public */
export class JobScheduler {
  readonly state: SchedulerState
  /** VMs that a successor need not ask about any more. */
  readonly forgottenVms = new Set<string>()
  private readonly pacing = PaceController.create()
  private readonly arrivals = ArrivalMeter.create()
  /** Births of VMs that were moved or maintained; their old registrations linger. */
  private readonly retiredVms = new Map<string, number>()
  /** Times from which tasks that end by themselves are stopped on a VM that is evacuated. */
  private readonly evacuations = new Map<string, number>()
  private readonly changedJobs = new Set<TrackedJob>()
  private readonly pendingCancels = new Set<string>()
  private readonly tried = new Set<string>()
  /** Times at which ended jobs were forgotten. */
  private readonly droppedJobs = new Map<string, number>()

  private constructor (private readonly options: JobSchedulerOptions) {
    this.state = SchedulerState.create(options.observe)
  }

  static create (options: JobSchedulerOptions): JobScheduler {
    return new JobScheduler(options)
  }

  /** Takes in a job. @returns false where it is known already. */
  addJob (accepted: AcceptedJob, acceptedVersion: number, nowMs: number, progress?: JobProgress): boolean {
    if (this.state.jobs.has(accepted.id) || this.droppedJobs.has(accepted.id)) return false
    const isOlder = acceptedVersion < this.options.fencingToken
    const job = TrackedJob.create(accepted, {
      acceptedVersion,
      firstRun: isOlder ? this.options.generation * RUNS_PER_GENERATION : 0,
      mayHaveRuns: isOlder && this.options.generation > 0,
      progress,
      changes: this.changedJobs,
    })
    this.state.openJob(job)
    if (!isOlder) this.arrivals.observe(accepted.pool, getJobWork(this.state, job), nowMs)
    this.state.wantedJobs.delete(accepted.id)
    // Jobs that a former owner saw end have its lines already.
    if (!job.isOver) this.state.observe(EventCode.JobOwned, { job: job.id, queue: accepted.queue, acceptedVersion, state: job.state, steps: describeSteps(accepted.spec) })
    if (this.pendingCancels.delete(accepted.id)) this.state.cancelJob(job, nowMs)
    return true
  }

  cancelJob (id: string, nowMs: number): void {
    const job = this.state.jobs.get(id)
    if (job === undefined) {
      this.pendingCancels.add(id)
      return
    }
    if (job.isOver) return
    this.state.observe(EventCode.JobCancelled, { job: id, state: job.state })
    this.state.cancelJob(job, nowMs)
  }

  /** Takes in a registration, new or changed. */
  setVm (entry: VmEntry, nowMs: number): void {
    this.dropFormerVm(entry)
    if (this.retiredVms.get(entry.id) === entry.bornMs) return
    this.retiredVms.delete(entry.id)
    const vm = this.state.vms.get(entry.id)
    if (vm === undefined) {
      this.state.vms.set(entry.id, TrackedVm.create(entry))
      this.forgottenVms.delete(entry.id)
      this.state.observe(EventCode.VmSeen, { vm: entry.id, machine: entry.machine, pool: entry.pool })
      return
    }
    if (entry.draining && !vm.entry.draining) this.state.observe(EventCode.VmDraining, { vm: entry.id, runs: vm.runs.size })
    if (entry.draining && !vm.entry.draining) this.evacuate(entry.id, nowMs + DRAINING_TASK_GRACE_MS)
    if (entry.bornMs !== vm.entry.bornMs) startNewLife(this.state, vm, entry.bornMs)
    vm.entry = entry
    vm.unregisteredAtMs = undefined
  }

  /** Notes that a VM is registered no more. It may still run what it was told to. */
  unregisterVm (id: string, nowMs: number): void {
    const vm = this.state.vms.get(id)
    if (vm === undefined || !vm.registered) return
    vm.unregisteredAtMs = nowMs
    this.state.observe(EventCode.VmUnregistered, { vm: id, runs: vm.runs.size })
  }

  /** Forgets a VM that is certain to run nothing any more. */
  forgetVm (id: string, reason: string): void {
    const vm = this.state.vms.get(id)
    if (vm === undefined) return
    this.state.loseRuns(vm, vm.runs.values(), reason)
    this.state.vms.delete(id)
    if (vm.recorded) this.forgottenVms.add(id)
    this.evacuations.delete(id)
    this.state.observe(EventCode.VmForgotten, { vm: id, reason })
  }

  /** Forgets a VM whose machine was moved or maintained, which ends all that it ran. */
  retireVm (id: string, reason: string): void {
    const vm = this.state.vms.get(id)
    if (vm === undefined) return
    this.retiredVms.set(id, vm.entry.bornMs)
    this.forgetVm(id, reason)
  }

  /** What a pool's queues ask for. */
  getDemand (pool: string, moment: { readonly nowMs: number, readonly storeNowMs: number }): PoolLoad {
    return measureDemand(this.state, pool, this.arrivals, moment)
  }

  applyReport (vm: TrackedVm, report: VmReport, sentAtMs: number, nowMs: number): void {
    this.tried.add(vm.id)
    reconcileReport(this.state, vm, report, sentAtMs, nowMs)
    this.pacing.control(this.state, vm, nowMs)
  }

  /** Notes that a call to a VM got no answer. */
  noteSilence (vm: TrackedVm, nowMs: number): void {
    this.tried.add(vm.id)
    if (vm.silentSinceMs !== undefined) return
    vm.silentSinceMs = nowMs
    this.state.observe(EventCode.VmSilent, { vm: vm.id, runs: vm.runs.size, leaseOverInMs: Math.round(vm.leaseOverAtMs - nowMs) })
  }

  applyStart (run: TrackedRun, outcome: StartOutcome, nowMs: number, reason?: string): void {
    const tookMs = nowMs - run.orderedAtMs
    if (outcome !== StartOutcome.Accepted || tookMs >= SLOW_START_MS) this.state.observe(EventCode.TaskStartAnswered, { task: run.name, run: run.number, vm: run.vmId, outcome, reason, tookMs: Math.round(tookMs) })
    if (outcome === StartOutcome.Accepted) {
      run.confirmedAtMs ??= nowMs
      run.task.begun = true
      if (run.phase === RunPhase.Ordered || run.phase === RunPhase.Unsure) run.phase = RunPhase.Running
      return
    }
    if (outcome === StartOutcome.Unknown) {
      if (run.phase === RunPhase.Ordered) run.phase = RunPhase.Unsure
      return
    }
    // A stop that is under way decides on its own whether the run is there.
    if (run.phase === RunPhase.Ordered) this.state.releaseRun(run)
  }

  applyStop (run: TrackedRun, answered: boolean, nowMs: number): void {
    if (answered) run.stopAnsweredAtMs ??= nowMs
  }

  /** Begins to empty a VM; see {@link JobScheduler.isEvacuated}. */
  evacuate (vmId: string, stopShortAtMs: number): void {
    const vm = this.state.vms.get(vmId)
    if (vm === undefined) return
    vm.evacuating = true
    if (!this.evacuations.has(vmId)) this.evacuations.set(vmId, stopShortAtMs)
  }

  endEvacuation (vmId: string): void {
    const vm = this.state.vms.get(vmId)
    if (vm !== undefined) vm.evacuating = false
    this.evacuations.delete(vmId)
  }

  /** True while tasks that last leave a VM of the pool, each of which waits for the one before it to be seen at work elsewhere. */
  isEmptying (pool: string): boolean {
    for (const vmId of this.evacuations.keys()) {
      const vm = this.state.vms.get(vmId)
      if (vm?.entry.pool !== pool) continue
      for (const run of vm.runs.values()) {
        if (run.task.step.spec.longRunning) return true
      }
    }
    return false
  }

  isEvacuated (vmId: string): boolean {
    const vm = this.state.vms.get(vmId)
    return vm === undefined || (vm.evacuating && vm.runs.size === 0)
  }

  /** Decides what to do now. */
  plan (moment: Moment, getTickets: PlacementContext['getTickets']): Order[] {
    const { nowMs } = moment
    this.dropLapsedVms(nowMs)
    for (const [vmId, stopShortAtMs] of this.evacuations) {
      const vm = this.state.vms.get(vmId)
      if (vm !== undefined) evacuateVm(this.state, vm, nowMs, stopShortAtMs)
    }
    restartOverdue(this.state, nowMs)
    for (const pool of this.state.openJobs.keys()) {
      placeTasks(this.state, pool, { ...moment, getTickets, mayStart: (job) => this.mayStart(job) })
    }
    this.repeatStops(nowMs)
    return this.state.takeOrders()
  }

  /** Jobs whose progress the store lacks. */
  listChanged (): TrackedJob[] {
    return [...this.changedJobs]
  }

  /** Jobs whose final state has been in the store for `keepMs`. */
  listExpired (storeNowMs: number, keepMs: number, limit: number): TrackedJob[] {
    const expired: TrackedJob[] = []
    for (const job of this.state.jobs.values()) {
      if (expired.length >= limit) break
      if (isFinalState(job.storedState) && job.endedAtMs !== undefined && storeNowMs - job.endedAtMs >= keepMs) expired.push(job)
    }
    return expired
  }

  /** Forgets a job whose rows were removed. A read that began before may still bring it for a while. */
  dropJob (job: TrackedJob, nowMs: number): void {
    this.state.jobs.delete(job.id)
    for (const [id, droppedAtMs] of this.droppedJobs) {
      if (nowMs - droppedAtMs < DROPPED_JOB_MEMORY_MS) break
      this.droppedJobs.delete(id)
    }
    this.droppedJobs.set(job.id, nowMs)
  }

  /** Marks a job's progress as stored. */
  markStored (job: TrackedJob, progress: JobProgress): void {
    job.storedState = progress.state
    if (isFinalState(progress.state)) this.state.observe(EventCode.JobEnded, { job: job.id, state: progress.state })
  }

  getState (id: string): JobState | undefined {
    const job = this.state.jobs.get(id)
    if (job === undefined) return undefined
    // A final state is shown only once it is stored.
    if (isFinalState(job.storedState)) return job.storedState
    return job.begun ? JobState.Running : JobState.Queued
  }

  /** Number of a queue's jobs of which no task has begun. */
  countPending (queue: string): number {
    let count = 0
    for (const jobs of this.state.openJobs.values()) {
      for (const job of jobs) {
        if (job.accepted.queue === queue && !job.begun) count += 1
      }
    }
    return count
  }

  /** True once every VM that a former owner may have used has answered or was tried. */
  private mayStart (job: TrackedJob): boolean {
    for (const vm of this.state.vms.values()) {
      if (vm.entry.pool !== job.accepted.pool || vm.heard) continue
      if (job.mayHaveRuns || !this.tried.has(vm.id)) return false
    }
    return true
  }

  /** A new VM on a machine proves that the one before it has ended. */
  private dropFormerVm (entry: VmEntry): void {
    if (entry.machine === undefined) return
    for (const vm of this.state.vms.values()) {
      if (vm.entry.machine !== entry.machine || vm.id === entry.id || vm.entry.bornMs >= entry.bornMs) continue
      this.retireVm(vm.id, 'its machine runs a newer VM')
    }
  }

  private dropLapsedVms (nowMs: number): void {
    for (const vm of [...this.state.vms.values()]) {
      if (vm.heard) {
        if (vm.silentSinceMs === undefined || nowMs < vm.leaseOverAtMs) continue
        if (vm.runs.size > 0) this.state.loseRuns(vm, vm.runs.values(), 'lease is over and the VM does not answer')
        if (!vm.registered) this.forgetVm(vm.id, 'not registered and its lease is over')
      } else if (!vm.registered && nowMs >= this.unheardLeaseOverAtMs()) {
        this.forgetVm(vm.id, 'not registered and every former lease is over')
      } else if (vm.silentSinceMs !== undefined && nowMs >= this.unheardLeaseOverAtMs()) {
        // What a former owner started there has lapsed; the VM counts as heard until it answers.
        vm.heard = true
      }
    }
  }

  /** Time from which no VM runs anything under a former owner's lease. */
  private unheardLeaseOverAtMs (): number {
    const { startedAtMs, formerOwnerMs, leaseMs } = this.options
    return startedAtMs + formerOwnerMs + leaseMs * 1.03
  }

  private repeatStops (nowMs: number): void {
    for (const vm of this.state.vms.values()) {
      for (const run of vm.runs.values()) {
        if (run.phase !== RunPhase.Stopping || run.stopAnsweredAtMs !== undefined) continue
        if (nowMs - (run.stopSentAtMs ?? 0) < STOP_RETRY_MS) continue
        run.stopSentAtMs = nowMs
        this.state.orders.push({ kind: OrderKind.Stop, run })
      }
    }
  }
}
