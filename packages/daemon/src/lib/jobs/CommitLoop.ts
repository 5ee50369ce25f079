/**
 * Writes the progress of a shard's jobs to the store. Once it is stored, the end entries that it was derived from can be
 * acknowledged to their VMs, which then stop listing them.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobProgress, JobScheduler, Moment, RosterRecord, RosterWrite, TrackedJob, TrackedVm } from '@vanillathread/policy'
import { StoreFailureKind, type RowCondition, type RowKey, type RowPut, type RowStore, type StoreFailure } from '@vanillathread/ports'
import { taskOptions } from './jobOptions.js'
import { readMoment } from './OwnershipProver.js'
import { ProgressEncoder } from './ProgressEncoder.js'
import { encodeRow, Table } from './rows.js'

/** Options of {@link CommitLoop.create}. */
export interface CommitLoopOptions {
  readonly shard: string
  readonly scheduler: JobScheduler
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
  /** Bytes that a row may have at the most. */
  readonly rowBytes: number
  /** The shard's owner row, on whose version every transaction is conditional; that version is the fencing token. */
  readonly ownerRow: RowCondition
  /** Versions of the progress and roster rows, by table and key: as read at the takeover, then updated after each commit. */
  readonly versions: Map<string, number>
  /** Called after each transaction that the store has carried out, with the moment at which it was sent. */
  onStored (sentAt: Moment): void
  /** Called after each commit, also after one that had nothing to write. */
  onCommitted (): void
  /** Called if the store shows that another daemon owns the shard. */
  onSuperseded (): void
}

/** Content of one transaction. */
interface Batch {
  readonly jobs: ReadonlyArray<{ readonly job: TrackedJob, readonly progress: JobProgress, readonly value: Uint8Array }>
  /** Records for the roster, the stored list of VMs that may hold runs of the shard, with the lease ends that were recorded before. */
  readonly roster: ReadonlyArray<RosterWrite & { readonly formerLeaseEndMs: number | undefined }>
  /** VMs that are certain to hold no runs any more, whose roster rows are removed. */
  readonly left: readonly string[]
  /** Number up to which each VM's end entries are stored once this batch is committed, and the incarnation that listed them. */
  readonly ends: ReadonlyMap<TrackedVm, { readonly end: number, readonly bornMs: number }>
}

/** Commits one transaction at a time; changes made meanwhile go into the next one. */
export class CommitLoop {
  private running = false
  private commitRequested = false
  /** Number of transactions that hold one row only, after the store rejected one that held as many rows. */
  private singleRowCommits = 0
  private disposed = false
  private readonly encoder: ProgressEncoder

  private constructor (private readonly options: CommitLoopOptions) {
    this.encoder = ProgressEncoder.create(options)
  }

  static create (options: CommitLoopOptions): CommitLoop {
    return new CommitLoop(options)
  }

  /** Requests a commit of all changes. */
  request (): void {
    this.commitRequested = true
    if (!this.running) this.run()
  }

  /** Requests a commit if records of VMs are to be written, which some are after a time without any event, or removed. */
  requestDueRecords (): void {
    if (this.options.scheduler.forgottenVms.size > 0 || this.listRosterWrites().length > 0) this.request()
  }

  /** Commits until no change is left or `limitMs` has passed. */
  async flush (limitMs: number): Promise<void> {
    const endMs = this.options.timers.now() + limitMs
    this.request()
    while (this.running && !this.disposed && this.options.timers.now() < endMs) await delay(this.options.timers, taskOptions.commitSpacingMs)
  }

  dispose (): void {
    this.disposed = true
  }

  private async run (): Promise<void> {
    this.running = true
    while (this.commitRequested && !this.disposed) {
      this.commitRequested = false
      const batch = this.collectBatch()
      const done = await this.commit(batch)
      if (!done) this.commitRequested = true
      await delay(this.options.timers, done ? taskOptions.commitSpacingMs : taskOptions.commitRetryMs)
    }
    this.running = false
  }

  private listRosterWrites (): RosterWrite[] {
    const { scheduler, rows, timers } = this.options
    return scheduler.listRosterWrites({ nowMs: timers.now(), storeReading: rows.getStoreClockReading() })
  }

  private collectBatch (): Batch {
    const { scheduler } = this.options
    const maxRows = this.singleRowCommits > 0 ? 1 : MAX_ROWS
    const changed = scheduler.listJobsToStore()
    const jobs = changed.slice(0, Math.min(maxRows, taskOptions.jobsPerCommit)).map((job) => {
      job.changed = false
      return { job, ...this.encoder.encode(job, this.options.rows.getStoreClockMs()) }
    })
    const vms = [...scheduler.state.vms.values()]
    const rosterWrites = this.listRosterWrites()
    const roster = rosterWrites.slice(0, Math.max(0, maxRows - jobs.length - (maxRows === 1 ? 0 : MIN_ROSTER_REMOVALS)))
      .map((write) => ({ ...write, formerLeaseEndMs: write.vm.recordedLeaseEndMs }))
    const left = [...scheduler.forgottenVms].slice(0, maxRows - jobs.length - roster.length)
    // The write may be carried out even if its answer is lost.
    for (const { vm, record } of roster) vm.recordedLeaseEndMs ??= record.leaseEndMs
    const complete = changed.length === jobs.length
    if (!complete || rosterWrites.length > roster.length || scheduler.forgottenVms.size > left.length) this.commitRequested = true
    // End entries are acknowledged only if the batch holds every changed job, as any of these may depend on them.
    const ends = new Map(complete ? vms.filter((vm) => vm.appliedEnd > vm.acknowledgedEnd).map((vm) => [vm, { end: vm.appliedEnd, bornMs: vm.entry.bornMs }]) : [])
    return { jobs, roster, left, ends }
  }

  /** Commits a batch in one transaction. Returns false if its changes must be committed again. */
  private async commit (batch: Batch): Promise<boolean> {
    const { scheduler } = this.options
    if (batch.jobs.length === 0 && batch.roster.length === 0 && batch.left.length === 0) {
      this.markCommitted(batch)
      return true
    }
    const puts = this.listPuts(batch)
    const removes = batch.left.map((vm) => ({ table: Table.Rosters, part: this.options.shard, key: vm }))
    // A late copy must not remove the row of a VM that has registered again since.
    const conditions = [this.options.ownerRow, ...[...puts, ...removes].map(({ table, part, key }) => ({ table, part, key, version: this.options.versions.get(formatRowName({ table, part, key })) ?? 0 }))]
    const sentAt = readMoment(this.options.timers)
    const res = await this.options.rows.transact({ conditions, puts, removes })
    if (this.disposed) return true
    this.singleRowCommits = Math.max(0, this.singleRowCommits - 1)
    if (res.ok) {
      this.options.onStored(sentAt)
      for (const put of puts) this.options.versions.set(formatRowName(put), res.value.version)
      for (const remove of removes) this.options.versions.delete(formatRowName(remove))
      for (const vm of batch.left) scheduler.forgottenVms.delete(vm)
      this.markCommitted(batch)
      return true
    }
    for (const { job } of batch.jobs) job.changed = true
    for (const { vm, formerLeaseEndMs } of batch.roster) {
      if (res.error.kind === StoreFailureKind.NotDone) vm.recordedLeaseEndMs = formerLeaseEndMs
      else vm.recordUnconfirmed = true
    }
    this.applyFailure(res.error, conditions)
    if (res.error.kind === StoreFailureKind.NotDone && res.error.rejected === true) this.isolate(batch, puts.length + removes.length)
    return false
  }

  /**
   * Keeps a row that the store rejects from holding up the others: the rows of a rejected transaction are written one by one. Progress that is rejected
   * alone is stored in a smaller form; a job whose smallest form is rejected, and a VM whose row is, are given up.
   */
  private isolate (batch: Batch, rowCount: number): void {
    const { scheduler, timers, log } = this.options
    if (rowCount > 1) {
      this.singleRowCommits = rowCount
      return
    }
    const row = batch.jobs[0]?.job.id ?? batch.roster[0]?.vm.id ?? batch.left[0]
    log.write(EventCode.RowRejected, { shard: this.options.shard, row })
    for (const { job } of batch.jobs) {
      if (job.isOver) job.changed = false
      else if (!this.encoder.requireSmallerForm(job)) scheduler.state.failJob(job, 'the store rejects its progress', timers.now())
    }
    for (const { vm } of batch.roster) vm.recordRejected = true
    for (const id of batch.left) scheduler.forgottenVms.delete(id)
  }

  private listPuts (batch: Batch): RowPut[] {
    const { shard } = this.options
    const jobs = batch.jobs.map(({ job, value }) => ({ table: Table.Progress, part: shard, key: job.id, value }))
    const roster = batch.roster.map(({ vm, record }) => ({ table: Table.Rosters, part: shard, key: vm.id, value: this.encodeRosterRow(record) }))
    return [...jobs, ...roster]
  }

  /** Encodes a VM's record. Runs that do not fit into a row are left out, and a successor waits for the end of the lease before it starts tasks again that may run there. */
  private encodeRosterRow ({ entry, ...rest }: RosterRecord): Uint8Array {
    const value = encodeRow({ ...entry, ...rest })
    if (value.length <= this.options.rowBytes || rest.runs === undefined) return value
    this.options.log.write(EventCode.RosterRunsLeftOut, { shard: this.options.shard, vm: entry.id, runs: rest.runs.length, bytes: value.length })
    return encodeRow({ ...entry, ...rest, runs: undefined })
  }

  private markCommitted (batch: Batch): void {
    const { scheduler } = this.options
    for (const { job, progress } of batch.jobs) scheduler.markStored(job, progress)
    for (const { vm, record } of batch.roster) {
      vm.recorded = true
      vm.recordedLeaseEndMs = record.leaseEndMs
      vm.recordUnconfirmed = false
    }
    for (const [vm, { end, bornMs }] of batch.ends) {
      // A restarted VM numbers its end entries from the start again.
      if (vm.entry.bornMs === bornMs) vm.acknowledgedEnd = end
    }
    this.options.onCommitted()
  }

  private applyFailure (failure: StoreFailure, conditions: readonly RowCondition[]): void {
    const { log, ownerRow, versions } = this.options
    if (failure.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'commit', outcome: failure.kind, reason: failure.reason })
      return
    }
    const current = new Map(failure.rows.map((row) => [formatRowName(row), row.version]))
    if ((current.get(formatRowName(ownerRow)) ?? 0) !== ownerRow.version) {
      this.options.onSuperseded()
      return
    }
    // Only the owner writes these rows, so an earlier attempt with an unknown outcome was carried out after all.
    for (const condition of conditions) {
      if (condition !== ownerRow) versions.set(formatRowName(condition), current.get(formatRowName(condition)) ?? 0)
    }
  }
}

/** Entries (conditions, puts and removes) of one transaction at the most, as the platform states. */
const MAX_ENTRIES = 100

/** Rows of one transaction at the most: a condition, and a put or removal each, beside the condition on the owner row. */
const MAX_ROWS = Math.floor((MAX_ENTRIES - 1) / 2)

/** Removals of roster rows that a transaction has room for beside any number of other rows. */
const MIN_ROSTER_REMOVALS = 3

/** Formats a row's name, which is unique within a part. */
export function formatRowName (row: RowKey): string {
  return `${row.table}/${row.key}`
}
