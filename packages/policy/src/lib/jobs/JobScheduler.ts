/**
 * The scheduler of one shard, which its owner runs: it applies events to the shard's state and returns orders.
 */
import { EventCode, isFinalState, JobState, type AcceptedJob, type TeamRules, type VmEntry, type VmReport } from '@vanillathread/model'
import type { RosterClocks, RosterRecord, RosterWrite } from '../vms/rosterRecords.js'
import { OwnershipGate } from '../ownership/OwnershipGate.js'
import { StartGate } from '../vms/StartGate.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { SLOW_CLOCK_FACTOR, VmRegistry } from '../vms/VmRegistry.js'
import { ArrivalMeter, getJobWork, measureDemand, type PoolCapacityDemand } from '../machines/PoolCapacityDemand.js'
import { TeamScheduling } from '../teams/TeamScheduling.js'
import { applyStartOutcome } from './applyStartOutcome.js'
import { blameCrash } from './crashBlame.js'
import { describeSteps } from './describeSteps.js'
import { Evacuations } from './Evacuations.js'
import type { JobProgress } from './JobProgress.js'
import { JobRetention } from './JobRetention.js'
import type { ClockReadings, JobSchedulerOptions } from './JobSchedulerOptions.js'
import { StartOutcome, type Order } from './orders.js'
import { PaceController } from './PaceController.js'
import { PendingCancels } from './PendingCancels.js'
import { placeTasks } from './placeTasks.js'
import { getBaseRunNumber, mayHavePreviousRuns } from './previousRuns.js'
import { reconcileReport } from './reconcileReport.js'
import { resendStops } from './resendStops.js'
import { restartOverdue } from './restartOverdue.js'
import { SchedulerState } from './SchedulerState.js'
import type { PlacementContext } from './startTask.js'
import { TrackedJob } from './TrackedJob.js'
import type { TrackedRun } from './TrackedRun.js'

/** Period of checking leases, overdue runs and unanswered stops, whose time limits are all far longer. */
const CHECK_PERIOD_MS = 50

/** Scheduler of one shard. @public */
export class JobScheduler {
  readonly state: SchedulerState
  /** What the proofs of the ownership allow. */
  readonly ownership: OwnershipGate
  private readonly registry: VmRegistry
  private readonly pacing = PaceController.create()
  /** Time of the last checks that depend on time alone. */
  private checkedAtMs = -Infinity
  private readonly arrivals = ArrivalMeter.create()
  private readonly evacuations: Evacuations
  /** Jobs with progress that is neither stored nor part of a commit in progress. */
  private readonly changedJobs = new Set<TrackedJob>()
  readonly pendingCancels = PendingCancels.create()
  private readonly startGate: StartGate
  private readonly retention = JobRetention.create()

  private constructor (private readonly options: JobSchedulerOptions) {
    const { logDecision, stopMs, leaseMs, generation, startedAtMs, previousOwnerRenewalMs } = options
    const previousOwnerUntilMs = generation > 0 ? startedAtMs + previousOwnerRenewalMs : -Infinity
    const endedJobRunMs = leaseMs * SLOW_CLOCK_FACTOR + previousOwnerRenewalMs + stopMs
    this.state = SchedulerState.create(logDecision, stopMs, TeamScheduling.create({ previousOwnerUntilMs, endedJobRunMs, startedAtMs, logDecision }), options.nearPlaces)
    this.evacuations = Evacuations.create(this.state)
    this.registry = VmRegistry.create({ ...options, state: this.state, onForget: (id) => this.evacuations.end(id) })
    this.ownership = OwnershipGate.create({ registry: this.registry, proof: options.proof })
    this.startGate = StartGate.create({ state: this.state, getLeaseExpiryMs: (vm) => this.registry.getLeaseExpiryMs(vm) })
  }

  static create (options: JobSchedulerOptions): JobScheduler {
    return new JobScheduler(options)
  }

  /** Adds a job. @returns false if it is known already or was dropped a short time ago. */
  addJob (accepted: AcceptedJob, acceptedVersion: number, nowMs: number, progress?: JobProgress): boolean {
    if (this.state.jobs.has(accepted.id) || this.retention.isDropped(accepted.id)) return false
    const { fencingToken, generation } = this.options
    const predatesTakeover = acceptedVersion < fencingToken
    const hasPreviousRuns = mayHavePreviousRuns(this.options, acceptedVersion, nowMs)
    const job = TrackedJob.create(accepted, {
      acceptedVersion,
      baseRunNumber: getBaseRunNumber(generation, hasPreviousRuns),
      mayHavePreviousRuns: hasPreviousRuns,
      progress,
      changes: this.changedJobs,
    })
    this.state.addJob(job)
    this.state.teams.addJob(job, nowMs)
    if (!predatesTakeover && !this.state.teams.isAtCap(job)) this.arrivals.recordArrival(accepted.pool, getJobWork(this.state, job), nowMs)
    this.state.jobsToRead.delete(accepted.id)
    // A job that ended under a previous owner was logged by that owner.
    if (!job.isOver) this.state.logDecision(EventCode.JobOwned, { job: job.id, queue: accepted.queue, acceptedVersion, state: job.state, steps: describeSteps(accepted.spec) })
    if (this.pendingCancels.take(accepted.id)) this.state.cancelJob(job, nowMs)
    return true
  }

  /** Cancels a job now, or once it is added. */
  cancelJob (id: string, nowMs: number): void {
    const job = this.state.jobs.get(id)
    if (job === undefined) {
      if (!this.retention.isDropped(id)) this.pendingCancels.add(id, nowMs)
      return
    }
    if (job.isOver) return
    this.state.logDecision(EventCode.JobCancelled, { job: id, state: job.state })
    this.state.cancelJob(job, nowMs)
  }

  /** Applies a new or changed registration of a VM, and begins to evacuate a VM that has begun to drain. */
  applyRegistration (entry: VmEntry, nowMs: number): void {
    if (this.registry.apply(entry, nowMs)) this.evacuations.drain(entry.id, nowMs)
    this.evacuations.endDrain(entry.id)
  }

  /** Returns the time from which every lease given until now, by this owner or a previous one, has certainly expired. */
  getLeasesEndMs (nowMs: number): number {
    return this.registry.getLeasesEndMs(nowMs)
  }

  /** Applies a time from which every lease of previous owners has expired, which became known after the takeover. */
  learnPreviousLeasesEnd (atMs: number): void {
    this.registry.learnPreviousLeasesEnd(atMs)
  }

  /** Adds a VM that the store's roster lists at the takeover. */
  restoreVm (record: RosterRecord, clocks: { readonly nowMs: number, readonly storeNowMs: number }): void {
    if (this.registry.restore(record, clocks.nowMs, clocks.storeNowMs)) this.evacuations.drain(record.entry.id, clocks.nowMs)
  }

  /** Returns the records of VMs that the store's roster lacks or that have changed. */
  listRosterWrites (clocks: RosterClocks): RosterWrite[] {
    return this.registry.listRosterWrites(clocks)
  }

  /** Records that a VM is no longer registered. Its runs may still go on. */
  unregisterVm (id: string, nowMs: number): void {
    this.registry.unregister(id, nowMs)
  }

  /** Removes a VM at whose address another VM answers, so that it has ended. Runs that are still tracked there are recorded as lost. */
  replaceVm (id: string, nowMs: number): void {
    const vm = this.state.vms.get(id)
    if (vm !== undefined) blameCrash(this.state, vm, nowMs)
    this.registry.forget(id, 'another VM answers at its address')
  }

  /**
   * Forgets a VM whose machine was moved, maintained or given a newer VM, and ignores its registration from then on. Its
   * runs have ended.
   */
  retireVm (id: string, reason: string): void {
    this.registry.retire(id, reason)
  }

  /** Ids of VMs that are forgotten here and whose records in the store can be removed, as a successor need not contact them. */
  get forgottenVms (): Set<string> {
    return this.registry.forgotten
  }

  /** Returns the capacity that a pool's open jobs need. */
  getDemand (pool: string, clocks: { readonly nowMs: number, readonly storeNowMs: number }): PoolCapacityDemand {
    return measureDemand(this.state, pool, this.arrivals, clocks)
  }

  /** Applies a VM's report. `sentAtMs` is the time at which it was requested. */
  applyReport (vm: TrackedVm, report: VmReport, sentAtMs: number, nowMs: number): void {
    this.startGate.recordCall(vm.id)
    if (reconcileReport(this.state, vm, report, sentAtMs, nowMs)) this.evacuations.drain(vm.id, nowMs)
    this.evacuations.endDrain(vm.id)
    this.registry.retireReplaced(vm, nowMs)
    this.pacing.control(this.state, vm, nowMs)
  }

  /** Records that a VM does not answer calls. */
  markUnresponsive (vm: TrackedVm, nowMs: number): void {
    this.startGate.recordCall(vm.id)
    if (vm.unresponsiveSinceMs !== undefined) return
    vm.unresponsiveSinceMs = nowMs
    this.state.logDecision(EventCode.VmSilent, { vm: vm.id, runs: vm.runs.size, leaseOverInMs: Math.round(this.registry.getLeaseExpiryMs(vm) - nowMs) })
    this.registry.retireReplaced(vm, nowMs)
  }

  /** Applies the outcome of a start order. */
  applyStart (run: TrackedRun, outcome: StartOutcome, nowMs: number, reason?: string): void {
    const vm = this.state.vms.get(run.vmId)
    if (outcome === StartOutcome.Accepted && vm !== undefined) this.recordAnswer(vm, nowMs)
    applyStartOutcome(this.state, run, outcome, nowMs, reason)
  }

  /** Applies the outcome of a stop order. */
  applyStop (run: TrackedRun, answered: boolean, nowMs: number): void {
    if (answered) run.stopAnsweredAtMs ??= nowMs
  }

  /** Records that a VM has answered an order, so that it had not crashed. */
  recordAnswer (vm: TrackedVm, nowMs: number): void {
    vm.lastAnswerAtMs = Math.max(vm.lastAnswerAtMs, nowMs)
  }

  /** Begins to evacuate a VM. Finite tasks run on until `stopFiniteAtMs`. See {@link JobScheduler.isEvacuated}. */
  evacuate (vmId: string, stopFiniteAtMs: number): void {
    this.evacuations.begin(vmId, stopFiniteAtMs)
  }

  endEvacuation (vmId: string): void {
    this.evacuations.end(vmId)
  }

  /** See {@link Evacuations.concernsLongRunningTasks}. */
  isEvacuatingLongRunningTasks (pool: string): boolean {
    return this.evacuations.concernsLongRunningTasks(pool)
  }

  /**
   * Returns true if a VM is evacuated and has no runs left, or is not known. A VM that is not reconciled may have runs that a
   * previous owner started.
   */
  isEvacuated (vmId: string): boolean {
    const vm = this.state.vms.get(vmId)
    return vm === undefined || (vm.evacuating && vm.isReconciled && vm.runs.size === 0)
  }

  /** Applies all policies to the present state and returns the resulting orders. */
  plan (clocks: ClockReadings, getTickets: PlacementContext['getTickets']): Order[] {
    const { nowMs } = clocks
    const isCheckDue = nowMs - this.checkedAtMs >= CHECK_PERIOD_MS
    if (isCheckDue) {
      this.checkedAtMs = nowMs
      this.ownership.handleExpiredLeases(nowMs)
    }
    this.evacuations.stopRuns(nowMs)
    if (isCheckDue) restartOverdue(this.state, nowMs)
    const vmsByPool = this.state.groupVmsByPool()
    this.state.teams.beginPlan(vmsByPool, clocks)
    for (const pool of this.ownership.mayAct(clocks) ? this.state.openJobs.keys() : []) {
      const vms = vmsByPool.get(pool) ?? []
      const mayStart = this.startGate.createCheck(pool, vms, nowMs)
      placeTasks(this.state, pool, { ...clocks, vms, getTickets, mayStart })
    }
    if (isCheckDue) resendStops(this.state, nowMs)
    return this.state.takeOrders()
  }

  /** Applies the pools of the configuration in force; undefined before one has been read. */
  setPools (pools: ReadonlySet<string> | undefined, nowMs: number): void {
    for (const id of this.registry.setPools(pools, nowMs)) this.evacuations.drain(id, nowMs)
  }

  /** Applies the teams of the configuration in force; undefined before one has been read. */
  setTeams (teams: readonly TeamRules[] | undefined): void {
    this.state.teams.setTeams(teams)
  }

  /** Returns the jobs with progress that is neither stored nor part of a commit in progress. */
  listJobsToStore (): TrackedJob[] {
    return [...this.changedJobs]
  }

  /** Returns up to `limit` jobs that ended at least `keepMs` ago and whose final state is stored. */
  listRemovableJobs (storeNowMs: number, keepMs: number, limit: number): TrackedJob[] {
    return this.retention.listRemovable(this.state.jobs.values(), storeNowMs - keepMs, limit)
  }

  /** Forgets a job whose rows were removed from the store. */
  dropJob (job: TrackedJob, nowMs: number): void {
    this.state.jobs.delete(job.id)
    this.retention.recordDrop(job.id, nowMs)
  }

  /** Records that the given progress of a job is stored. */
  markStored (job: TrackedJob, progress: JobProgress): void {
    job.markStored(progress)
    if (isFinalState(progress.state)) this.state.logDecision(EventCode.JobEnded, { job: job.id, state: progress.state })
  }

  /** Returns the state of a job to show to clients, or undefined if the job is not known. */
  getState (id: string): JobState | undefined {
    const job = this.state.jobs.get(id)
    if (job === undefined) return undefined
    // Clients see a final state only once it is stored.
    if (isFinalState(job.storedState)) return job.storedState
    return job.begun ? JobState.Running : JobState.Queued
  }
}
