/**
 * Removes the rows of ended jobs once their retention time has passed.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobScheduler, TrackedJob } from '@vanillathread/policy'
import { StoreFailureKind, type RowCondition, type RowKey, type RowStore } from '@vanillathread/ports'
import { formatRowName } from './CommitLoop.js'
import { taskOptions } from './jobOptions.js'
import { CANCEL_PREFIX, JOB_PREFIX, Table } from './rows.js'

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
  /** Time for which an ended job's rows are kept. */
  readonly keepMs: number
}

/**
 * Removes jobs whose state clients can no longer query. Each transaction is conditional on the owner row, so a superseded
 * owner cannot remove rows while its successor reads the shard.
 */
export class EndedJobRemover {
  private readonly timer: Subscription
  private running = false
  private disposed = false

  private constructor (private readonly options: EndedJobRemoverOptions) {
    this.timer = options.timers.every(taskOptions.removalPeriodMs, () => { this.removeExpiredJobs() })
  }

  static create (options: EndedJobRemoverOptions): EndedJobRemover {
    return new EndedJobRemover(options)
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
}
