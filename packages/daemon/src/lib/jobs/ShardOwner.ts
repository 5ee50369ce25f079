/**
 * The owner of a shard: schedules the shard's jobs on its VMs until another owner supersedes it or it hands the shard over.
 */
import { delay, type Subscription } from '@vanillathread/kernel'
import { EventCode, type AcceptedJob } from '@vanillathread/model'
import { JobScheduler, type DecisionFields, type OwnershipProof } from '@vanillathread/policy'
import type { Changes, VmChange } from '@vanillathread/ports'
import { TicketCache } from './TicketCache.js'
import { CommitLoop, formatRowName } from './CommitLoop.js'
import { EndedJobRemover } from './EndedJobRemover.js'
import { MachineController, type MachineContent } from './MachineController.js'
import { shardOptions, taskOptions } from './jobOptions.js'
import { loadOrderedMachines } from './loadOrderedMachines.js'
import { readMoment } from './OwnershipProver.js'
import { getNearPlaceRules } from './JobsSettings.js'
import { Table } from './rows.js'
import type { ShardOwnerOptions } from './ShardOwnerContext.js'
import { ShardFeeds } from './ShardFeeds.js'
import { loadShard, type ShardContent } from './ShardLoader.js'
import { loadTurnHistory } from './TurnHistoryStore.js'
import { VmRegistrations } from './VmRegistrations.js'
import { VmSessions } from './VmSessions.js'

/** Loads a shard from the store, schedules its jobs and commits their progress. */
export class ShardOwner {
  readonly scheduler: JobScheduler
  private readonly sessions: VmSessions
  private readonly registrations: VmRegistrations
  /** Admission tickets. */
  private readonly advice: TicketCache
  private commitLoop: CommitLoop | undefined
  private machineController: MachineController | undefined
  private planTimer: Subscription | undefined
  private planScheduled = false
  private feeds: ShardFeeds | undefined
  private endedJobRemover: EndedJobRemover | undefined
  /** True from the end of loading until this owner finishes or is disposed of. */
  private loaded = false
  private disposed = false
  private readonly startedAtMs: number

  private constructor (private readonly options: ShardOwnerOptions) {
    const { timers, log } = options
    this.startedAtMs = timers.now()
    this.scheduler = JobScheduler.create({
      ...options,
      fencingToken: options.ownerRow.version,
      leaseMs: this.leaseMs,
      stopMs: options.settings.stopMs,
      previousOwnerRenewalMs: options.generation > 0 ? options.previousOwnerRenewalMs : 0,
      startedAtMs: this.startedAtMs,
      logDecision: (code, fields) => log.write(code, this.addProofAge(code, fields)),
      nearPlaces: getNearPlaceRules(options.settings),
    })
    this.sessions = VmSessions.create({
      ...options,
      scheduler: this.scheduler,
      fencingToken: options.ownerRow.version,
      leaseMs: this.leaseMs,
      onChange: () => this.onChange(),
      onTicketRefused: (run, ticket) => this.advice.rejectTicket(run, ticket),
    })
    this.registrations = VmRegistrations.create({ timers, log, scheduler: this.scheduler })
    this.advice = TicketCache.create({ timers, log, scheduler: this.scheduler, admissionService: options.admissionService, onChange: () => this.requestPlan() })
  }

  static create (options: ShardOwnerOptions): ShardOwner {
    return new ShardOwner(options)
  }

  /** Proofs of this ownership. */
  get proof (): OwnershipProof {
    return this.options.proof
  }

  get fencingToken (): number {
    return this.options.ownerRow.version
  }

  /** Number of takeovers of the shard before this one. */
  get generation (): number {
    return this.options.generation
  }

  get shard (): string {
    return this.options.shard
  }

  /** Time since the takeover. */
  get ageMs (): number {
    return this.options.timers.now() - this.startedAtMs
  }

  /** True while this owner schedules the shard's jobs. */
  get isLoaded (): boolean {
    return this.loaded
  }

  /** Returns the time on this daemon's clock from which every lease of this owner and of previous ones has certainly expired. */
  getLeasesEndMs (): number {
    return this.scheduler.getLeasesEndMs(this.options.timers.now())
  }

  private get leaseMs (): number {
    return Math.min(taskOptions.leaseMs, this.options.settings.maxLeaseMs)
  }

  /** Reads the shard from the store, retrying until that succeeds, and then starts scheduling. */
  async start (): Promise<void> {
    while (!this.disposed) {
      const [content, orders, vms, turnHistory] = await Promise.all([
        loadShard(this.options.rows, this.options.log, this.shard),
        loadOrderedMachines(this.options.rows, this.options.log, this.shard),
        this.options.feeds.readRegistrations(),
        loadTurnHistory(this.options.rows, this.options.log, this.shard),
      ])
      if (this.disposed) return
      if (content.ok && orders.ok && vms.ok) {
        this.startScheduling(content.value, { orderedMachines: orders.value, turnHistory }, vms.value)
        return
      }
      await delay(this.options.timers, taskOptions.storeRetryMs)
    }
  }

  /** Adds a job that this or another daemon has stored. */
  addJob (job: AcceptedJob, version: number): void {
    if (!this.loaded) return
    if (this.scheduler.addJob(job, version, this.options.timers.now())) this.requestPlan()
  }

  cancelJob (id: string): void {
    if (!this.loaded) return
    this.scheduler.cancelJob(id, this.options.timers.now())
    this.onChange()
  }

  /** Stops starting tasks and commits the remaining changes within `limitMs`, so that a successor can take over. */
  async finish (limitMs: number): Promise<void> {
    this.machineController?.dispose()
    this.planTimer?.dispose()
    this.loaded = false
    // Further reports and registrations would make changes faster than they are committed. The successor gets them itself.
    this.feeds?.dispose()
    this.sessions.dispose()
    await this.commitLoop?.flush(limitMs)
    this.dispose()
  }

  dispose (): void {
    this.disposed = true
    this.loaded = false
    this.planTimer?.dispose()
    this.sessions.dispose()
    this.commitLoop?.dispose()
    this.machineController?.dispose()
    this.feeds?.dispose()
    this.endedJobRemover?.dispose()
    this.advice.dispose()
  }

  requestPlan (): void {
    if (this.planScheduled || !this.loaded) return
    this.planScheduled = true
    this.options.timers.after(taskOptions.planSpacingMs, () => {
      this.planScheduled = false
      if (!this.disposed && this.loaded) this.plan()
    })
  }

  private startScheduling (content: ShardContent, machineContent: MachineContent, registrations: Changes<VmChange>): void {
    const { values: vms, version: vmsVersion } = registrations
    const { orderedMachines } = machineContent
    const { scheduler, options } = this
    const nowMs = options.timers.now()
    this.commitLoop = CommitLoop.create({
      ...options,
      rowBytes: options.settings.rowBytes,
      scheduler,
      versions: content.versions,
      onStored: (sentAt) => options.proof.record(sentAt),
      onCommitted: () => {
        this.sessions.resumeAfterCommit()
        this.requestPlan()
      },
      onSuperseded: () => options.onSuperseded('commit found another owner'),
    })
    for (const { job, version } of content.jobs) scheduler.addJob(job, version, nowMs, content.progress.get(job.id))
    for (const id of content.cancels) scheduler.cancelJob(id, nowMs)
    const clocks = { nowMs, storeNowMs: options.rows.getStoreClockMs() }
    for (const record of content.roster) {
      const version = content.versions.get(formatRowName({ table: Table.Rosters, part: this.shard, key: record.entry.id })) ?? 0
      this.registrations.attempt(record.entry.id, () => scheduler.restoreVm(version > (options.leaseEndsKeptSince ?? Infinity) ? record : { entry: record.entry }, clocks))
    }
    scheduler.setPools(options.configuration.poolNames, nowMs)
    this.registrations.apply(vms.filter((change) => change.entry !== undefined))
    const registered = new Set(vms.filter((change) => change.entry !== undefined).map((change) => change.id))
    for (const { entry } of content.roster) {
      if (!registered.has(entry.id)) scheduler.unregisterVm(entry.id, nowMs)
    }
    this.loaded = true
    this.applyVms(vms)
    options.log.write(EventCode.ShardReady, {
      shard: this.shard, fencingToken: this.fencingToken, jobs: content.jobs.length, vms: scheduler.state.vms.size, orderedMachines: orderedMachines.moves.length + orderedMachines.maintenances.length, tookMs: Math.round(nowMs - this.startedAtMs),
    })
    this.planTimer = options.timers.every(taskOptions.planPeriodMs, () => {
      this.requestPlan()
      this.commitLoop?.requestDueRecords()
    })
    this.endedJobRemover = EndedJobRemover.create({ ...options, scheduler, versions: content.versions, tombstones: content.tombstones, keepMs: options.settings.stateKeptMs * taskOptions.stateRetentionFactor })
    this.createMachineController(machineContent)
    this.feeds = ShardFeeds.create({
      ...options,
      jobsVersion: content.jobsVersion,
      vmsVersion,
      onJob: (job, version) => this.addJob(job, version),
      onCancel: (id) => this.cancelJob(id),
      onTombstone: (tombstone) => this.endedJobRemover?.addTombstone(tombstone),
      onVms: (changes, complete) => this.onVms(changes, complete),
    })
    this.onChange()
  }

  private createMachineController (content: MachineContent): void {
    const { machines, configuration, settings, generation, onSuperseded } = this.options
    if (machines === undefined) return
    this.machineController = MachineController.create({
      ...this.options,
      ...content,
      machines,
      scheduler: this.scheduler,
      // If the platform does not check fencing tokens, the last order of a previous owner must be older than the order lease.
      ordersAllowedFromMs: generation === 0 || settings.fencingEnforced ? 0 : this.startedAtMs + settings.orderLeaseMs,
      getPools: () => configuration.current?.pools ?? [],
      getWaves: () => configuration.waves.values(),
      onSuperseded,
      onChange: () => this.onChange(),
    })
  }

  /** Adds to a decision that a superseded owner must not take how long ago the ownership was last proven, if that is not recent. */
  private addProofAge (code: EventCode, fields: DecisionFields): DecisionFields {
    if (code !== EventCode.TaskStartOrdered && code !== EventCode.TaskLost) return fields
    const provenAgoMs = Math.round(this.options.proof.getAgeMs(readMoment(this.options.timers)))
    return provenAgoMs < shardOptions.storeHeartbeatTimeoutMs ? fields : { ...fields, provenAgoMs }
  }

  private plan (): void {
    const { timers, rows, configuration } = this.options
    this.scheduler.setTeams(configuration.current?.teams)
    this.scheduler.setPools(configuration.poolNames, timers.now())
    this.sessions.openMissing()
    const clocks = { nowMs: timers.now(), storeNowMs: rows.getStoreClockMs(), wallClockMs: timers.wallClock() }
    const orders = this.advice.runPlan((getTickets) => this.scheduler.plan(clocks, getTickets))
    for (const order of orders) this.sessions.execute(order)
    this.sessions.closeForgotten()
    if (this.scheduler.state.jobsToRead.size > 0) this.readUnknownJobs()
    if (this.scheduler.ownership.isProofWanted) this.options.requestProof()
    if (this.scheduler.listJobsToStore().length > 0) this.commitLoop?.request()
  }

  private onChange (): void {
    this.requestPlan()
    this.commitLoop?.request()
  }

  /** Applies changes of registrations, and opens a session to each VM that has none. */
  private applyVms (changes: readonly VmChange[]): void {
    this.registrations.apply(changes)
    this.sessions.openMissing()
    this.machineController?.evacuateNewVms()
    this.onChange()
  }

  /** Applies changes of registrations. If the list is complete, VMs missing from it are no longer registered. */
  private onVms (changes: readonly VmChange[], complete: boolean): void {
    if (complete) this.registrations.unregisterMissing(changes)
    this.applyVms(changes)
  }

  /** Reads the jobs whose runs VMs report but which this owner does not know. */
  private async readUnknownJobs (): Promise<void> {
    const { jobsToRead, absentJobs } = this.scheduler.state
    const ids = [...jobsToRead]
    jobsToRead.clear()
    for (const id of ids) {
      if (await this.feeds?.readJob(id) === false) absentJobs.add(id)
    }
  }
}
