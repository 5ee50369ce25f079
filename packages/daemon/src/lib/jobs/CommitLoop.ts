/**
 * Writes the progress of a shard's jobs and then lets VMs forget the ends that it came from.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobProgress, JobScheduler, TrackedJob, TrackedVm } from '@vanillathread/policy'
import { StoreFailureKind, type RowCondition, type RowKey, type RowPut, type RowStore, type StoreFailure } from '@vanillathread/ports'
import { taskOptions } from './jobOptions.js'
import { encodeRow, Table } from './rows.js'

/** Options of {@link CommitLoop.create}. */
export interface CommitLoopOptions {
  readonly shard: string
  readonly scheduler: JobScheduler
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
  /** Row of the shard's owner; its version is the fencing token. */
  readonly ownerRow: RowCondition
  /** Versions of the rows read at the take-over, by table and key. */
  readonly versions: Map<string, number>
  onCommitted (): void
  onSuperseded (): void
}

interface Batch {
  readonly jobs: ReadonlyArray<{ readonly job: TrackedJob, readonly progress: JobProgress }>
  readonly roster: readonly TrackedVm[]
  /** VMs that are certain to hold no runs any more. */
  readonly left: readonly string[]
  /** Ends that are recorded once this batch is, by VM. */
  readonly ends: ReadonlyMap<TrackedVm, number>
}

/** One transaction at a time; what changes meanwhile goes into the next. */
export class CommitLoop {
  private running = false
  private wanted = false
  private disposed = false

  private constructor (private readonly options: CommitLoopOptions) {}

  static create (options: CommitLoopOptions): CommitLoop {
    return new CommitLoop(options)
  }

  /** Asks for a commit of what has changed. */
  request (): void {
    this.wanted = true
    if (!this.running) this.run()
  }

  /** Commits until nothing is left, or until `limitMs` is over. */
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
    while (this.wanted && !this.disposed) {
      this.wanted = false
      const batch = this.takeBatch()
      const done = await this.commit(batch)
      if (!done) this.wanted = true
      await delay(this.options.timers, done ? taskOptions.commitSpacingMs : taskOptions.commitRetryMs)
    }
    this.running = false
  }

  private takeBatch (): Batch {
    const { scheduler, rows } = this.options
    const changed = scheduler.listChanged()
    const jobs = changed.slice(0, taskOptions.jobsPerCommit).map((job) => {
      job.changed = false
      return { job, progress: job.toProgress(rows.nowMs()) }
    })
    const vms = [...scheduler.state.vms.values()]
    const roster = vms.filter((vm) => !vm.recorded).slice(0, MAX_ROSTER_ROWS)
    const left = [...scheduler.forgottenVms].slice(0, MAX_ROSTER_ROWS)
    const complete = changed.length === jobs.length
    if (!complete || vms.some((vm) => !vm.recorded && !roster.includes(vm))) this.wanted = true
    const ends = new Map(complete ? vms.filter((vm) => vm.appliedEnd > vm.notedEnd).map((vm) => [vm, vm.appliedEnd]) : [])
    return { jobs, roster, left, ends }
  }

  /** @returns false where the batch must be tried again. */
  private async commit (batch: Batch): Promise<boolean> {
    const { scheduler } = this.options
    // A VM that has left alone is not worth a transaction; it goes with the next one.
    if (batch.jobs.length === 0 && batch.roster.length === 0) {
      this.markCommitted(batch)
      return true
    }
    const puts = this.listPuts(batch)
    const conditions = [this.options.ownerRow, ...puts.map((put) => ({ table: put.table, part: put.part, key: put.key, version: this.options.versions.get(nameRow(put)) ?? 0 }))]
    const removes = batch.left.map((vm) => ({ table: Table.Rosters, part: this.options.shard, key: vm }))
    const res = await this.options.rows.transact({ conditions, puts, removes })
    if (this.disposed) return true
    if (res.ok) {
      for (const put of puts) this.options.versions.set(nameRow(put), res.value.version)
      for (const remove of removes) this.options.versions.delete(nameRow(remove))
      for (const vm of batch.left) scheduler.forgottenVms.delete(vm)
      this.markCommitted(batch)
      return true
    }
    for (const { job } of batch.jobs) job.changed = true
    this.applyFailure(res.error, conditions)
    return false
  }

  private listPuts (batch: Batch): RowPut[] {
    const { shard } = this.options
    const jobs = batch.jobs.map(({ job, progress }) => ({ table: Table.Progress, part: shard, key: job.id, value: encodeRow(progress) }))
    const roster = batch.roster.map((vm) => ({ table: Table.Rosters, part: shard, key: vm.id, value: encodeRow(vm.entry) }))
    return [...jobs, ...roster]
  }

  private markCommitted (batch: Batch): void {
    const { scheduler } = this.options
    for (const { job, progress } of batch.jobs) scheduler.markStored(job, progress)
    for (const vm of batch.roster) vm.recorded = true
    for (const [vm, end] of batch.ends) {
      // A new life of the VM numbers its ends anew.
      if (vm.appliedEnd >= end) vm.notedEnd = end
    }
    this.options.onCommitted()
  }

  private applyFailure (failure: StoreFailure, conditions: readonly RowCondition[]): void {
    const { log, ownerRow, versions } = this.options
    if (failure.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'commit', outcome: failure.kind, reason: failure.reason })
      return
    }
    const current = new Map(failure.rows.map((row) => [nameRow(row), row.version]))
    if ((current.get(nameRow(ownerRow)) ?? 0) !== ownerRow.version) {
      this.options.onSuperseded()
      return
    }
    // An earlier try of ours was carried out after all: only the owner writes these rows.
    for (const condition of conditions) {
      if (condition !== ownerRow) versions.set(nameRow(condition), current.get(nameRow(condition)) ?? 0)
    }
  }
}

/** Roster rows written, and removed, in one transaction: with forty jobs and the owner's row that makes 91 of 100 entries. */
const MAX_ROSTER_ROWS = 3

/** Name of a row within its part. */
export function nameRow (row: RowKey): string {
  return `${row.table}/${row.key}`
}
