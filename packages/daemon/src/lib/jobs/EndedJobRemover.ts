/**
 * Removes the rows of ended jobs, and tombstones of jobs that were cancelled before they were stored, once their retention time has passed.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobScheduler, TrackedJob } from '@vanillathread/policy'
import { StoreFailureKind, type RowCondition, type RowKey, type RowStore, type StoredRow } from '@vanillathread/ports'
import { formatRowName } from './CommitLoop.js'
import { taskOptions } from './jobOptions.js'
import { CANCEL_PREFIX, JOB_PREFIX, Table } from './rows.js'
import type { Tombstone } from './ShardLoader.js'

/** Options of {@link EndedJobRemover.create}. */
export interface EndedJobRemoverOptions {
  readonly shard: string
  readonly scheduler: JobScheduler
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
  readonly ownerRow: RowCondition
  /** Versions of the shard's progress and roster rows, by table and key. */
  readonly versions: Map<string, number>
  /** Tombstones that the shard had at the takeover. */
  readonly tombstones: readonly Tombstone[]
  /** Time for which an ended job's rows are kept. */
  readonly keepMs: number
}

/**
 * Removes jobs whose state clients can no longer query. Each transaction is conditional on the owner row, so a superseded
 * owner cannot remove rows while its successor reads the shard.
 */
export class EndedJobRemover {
  private readonly timer: Subscription
  /** By job id. */
  private readonly tombstones: Map<string, Tombstone>
  private running = false
  private disposed = false

  private constructor (private readonly options: EndedJobRemoverOptions) {
    this.tombstones = new Map(options.tombstones.map((tombstone) => [tombstone.jobId, tombstone]))
    this.timer = options.timers.every(taskOptions.removalPeriodMs, () => { this.removeExpiredJobs() })
  }

  static create (options: EndedJobRemoverOptions): EndedJobRemover {
    return new EndedJobRemover(options)
  }

  addTombstone (tombstone: Tombstone): void {
    this.tombstones.set(tombstone.jobId, tombstone)
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
  }

  private async removeExpiredJobs (): Promise<void> {
    if (this.running) return
    this.running = true
    const { scheduler, rows, keepMs } = this.options
    for (;;) {
      const jobs = scheduler.listRemovableJobs(rows.getStoreClockMs(), keepMs, taskOptions.jobsPerRemoval)
      if (jobs.length === 0 || !await this.remove(jobs) || this.disposed) break
    }
    const expired = [...this.tombstones.values()].filter(({ cancelledAtMs }) => cancelledAtMs <= rows.getStoreClockMs() - keepMs).slice(0, taskOptions.tombstonesPerRemoval)
    if (expired.length > 0 && !this.disposed) await this.removeTombstones(expired)
    this.running = false
  }

  /** Removes jobs in one transaction. Returns false if that failed or this remover was disposed of meanwhile. */
  private async remove (jobs: readonly TrackedJob[]): Promise<boolean> {
    const { shard, scheduler, rows, timers, log, ownerRow, versions } = this.options
    const removes: RowKey[] = jobs.flatMap(({ id }) => [
      { table: Table.Jobs, part: shard, key: `${JOB_PREFIX}${id}` },
      { table: Table.Jobs, part: shard, key: `${CANCEL_PREFIX}${id}` },
      { table: Table.Progress, part: shard, key: id },
    ])
    const res = await rows.transact({ conditions: [ownerRow], puts: [], removes })
    if (this.disposed) return false
    if (!res.ok) {
      const reason = res.error.kind === StoreFailureKind.Conflict ? 'another daemon owns the shard' : res.error.reason
      log.write(EventCode.StoreCallFailed, { call: 'remove ended jobs', outcome: res.error.kind, reason })
      return false
    }
    for (const row of removes) versions.delete(formatRowName(row))
    for (const job of jobs) scheduler.dropJob(job, timers.now())
    log.write(EventCode.JobsRemoved, { shard, jobs: jobs.length })
    return true
  }

  /** Removes tombstones in one transaction, unless a job of another team or a later cancellation has replaced one of them. */
  private async removeTombstones (tombstones: readonly Tombstone[]): Promise<void> {
    const { shard, rows, log, ownerRow } = this.options
    const conditions = tombstones.map(({ jobId, version }) => ({ table: Table.Jobs, part: shard, key: `${JOB_PREFIX}${jobId}`, version }))
    const res = await rows.transact({ conditions: [ownerRow, ...conditions], puts: [], removes: conditions.map(({ table, part, key }) => ({ table, part, key })) })
    if (res.ok) {
      for (const { jobId } of tombstones) this.tombstones.delete(jobId)
      log.write(EventCode.JobsRemoved, { shard, jobs: 0, tombstones: tombstones.length })
      return
    }
    if (res.error.kind === StoreFailureKind.Conflict) this.dropReplaced(tombstones, res.error.rows)
    else log.write(EventCode.StoreCallFailed, { call: 'remove tombstones', outcome: res.error.kind, reason: res.error.reason })
  }

  /** Forgets the tombstones whose rows have other versions or are gone. */
  private dropReplaced (tombstones: readonly Tombstone[], rows: readonly StoredRow[]): void {
    const versions = new Map(rows.map(({ key, version }) => [key, version]))
    for (const { jobId, version } of tombstones) {
      if (versions.get(`${JOB_PREFIX}${jobId}`) !== version && this.tombstones.get(jobId)?.version === version) this.tombstones.delete(jobId)
    }
  }
}
