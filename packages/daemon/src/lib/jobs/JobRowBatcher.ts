/**
 * Stores the rows of accepted jobs, several in one transaction if the store is slow (group commit).
 */
import type { TimerService } from '@vanillathread/kernel'
import { decideWriteStart } from '@vanillathread/policy'
import { StoreFailureKind, type RowStore, type StoredRow, type StoreFailure } from '@vanillathread/ports'
import { WriteOutcome } from '../peer/messages.js'
import type { WritePermit } from './CallGuard.js'
import { decodeTombstoneRow, JOB_PREFIX, NO_TEAM, Table } from './rows.js'

/** Jobs in one transaction at the most: two of the platform's 100 entries each. */
const MAX_JOBS = 40

/** Bytes of the jobs in one transaction at the most, far below the platform's limit of 1 MB even in base64. */
const MAX_BYTES = 400_000

/** Pause after a transaction that a busy store refused. */
const BUSY_RETRY_MS = 150

/** Time for which a job is tried again after its first refusal by a busy store; a refused client would come back later than that. */
const BUSY_RETRY_LIMIT_MS = 800

/** Outcome of a write. */
export interface WriteResult {
  readonly outcome: WriteOutcome
  /** Version of the row if this write stored it. */
  readonly version?: number
}

/** Options of {@link JobRowBatcher.create}. */
export interface JobRowBatcherOptions {
  readonly timers: TimerService
  readonly rows: RowStore
  readonly shardName: string
  /** Called if the store refuses a transaction as it is busy, which proves that it answers. */
  onBusy? (): void
}

interface PendingJob {
  readonly id: string
  readonly value: Uint8Array
  /** Checked before each transaction; absent if the call needs no key. */
  readonly permit?: WritePermit
  /** Version of a tombstone of other teams that the row replaces; absent if there is none. */
  replacedVersion?: number
  /** True if the store rejected a transaction of several jobs with this one, which is then written alone. */
  alone?: boolean
  /** Time at which a busy store first refused the job, if it did. */
  refusedAtMs?: number
  /** Aborted once the job must not be sent any more. */
  readonly unsent?: AbortSignal
  settle (result: WriteResult): void
}

/** Writes the rows of jobs, each on condition that the job has no row: neither its own nor a tombstone. */
export class JobRowBatcher {
  private pending: PendingJob[] = []
  /** Times at which the transactions in flight were sent. */
  private readonly inFlight = new Set<{ readonly sentAtMs: number }>()

  private constructor (private readonly options: JobRowBatcherOptions) {}

  static create (options: JobRowBatcherOptions): JobRowBatcher {
    return new JobRowBatcher(options)
  }

  /**
   * Writes one row, unless its permit ends while it waits. A row that exists is the same job, submitted before.
   *
   * @param unsent - if it is aborted while the job is not in a transaction in flight, the job is taken out of the queue.
   */
  write (id: string, value: Uint8Array, unsent?: AbortSignal, permit?: WritePermit): Promise<WriteResult> {
    return new Promise((resolve) => {
      const job = { id, value, permit, unsent, settle: resolve }
      unsent?.addEventListener('abort', () => this.withdraw(job), { once: true })
      this.enqueue([job])
      this.sendNext()
    })
  }

  /** Takes a job out of the queue, if it is there. */
  private withdraw (job: PendingJob): void {
    if (!this.pending.includes(job)) return
    this.pending = this.pending.filter((other) => other !== job)
    job.settle({ outcome: WriteOutcome.NotDone })
  }

  /** Puts jobs that are not stored into the queue, except for those that must not be sent any more. */
  private enqueue (jobs: readonly PendingJob[], atHead = false): void {
    settleAll(jobs.filter(({ unsent }) => unsent?.aborted), { outcome: WriteOutcome.NotDone })
    const others = jobs.filter(({ unsent }) => unsent?.aborted !== true)
    this.pending = atHead ? [...others, ...this.pending] : [...this.pending, ...others]
  }

  private sendNext (): void {
    while (this.pending.length > 0 && decideWriteStart([...this.inFlight].map(({ sentAtMs }) => sentAtMs), this.options.timers.now())) {
      const batch = this.takeBatch()
      if (batch.length > 0) this.send(batch)
    }
  }

  /** Takes the next jobs, and ends those without a valid permit, none of which was written. A second write of the same job goes into a later transaction. */
  private takeBatch (): PendingJob[] {
    const ids = new Set<string>()
    const batch: PendingJob[] = []
    const rest: PendingJob[] = []
    let bytes = 0
    for (const job of this.pending) {
      const fits = batch.length === 0 || (job.alone !== true && batch[0]?.alone !== true && batch.length < MAX_JOBS && bytes + job.value.length <= MAX_BYTES)
      if (!fits || ids.has(job.id)) {
        rest.push(job)
        continue
      }
      if (job.permit?.isValid() === false) {
        job.settle({ outcome: WriteOutcome.NotDone })
        continue
      }
      ids.add(job.id)
      batch.push(job)
      bytes += job.value.length
    }
    this.pending = rest
    return batch
  }

  private async send (batch: readonly PendingJob[]): Promise<void> {
    const { rows, shardName, timers } = this.options
    const transaction = { sentAtMs: timers.now() }
    this.inFlight.add(transaction)
    const puts = batch.map(({ id, value }) => ({ table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}`, value }))
    const conditions = batch.map(({ id, replacedVersion = 0 }) => ({ table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}`, version: replacedVersion }))
    const res = await rows.transact({ conditions, puts, removes: [] })
    this.inFlight.delete(transaction)
    if (res.ok) settleAll(batch, { outcome: WriteOutcome.Stored, version: res.value.version })
    else if (res.error.kind === StoreFailureKind.Conflict) this.settleConflict(batch, res.error.rows)
    else if (res.error.kind === StoreFailureKind.NotDone && res.error.busy === true) this.retryLater(batch)
    else if (res.error.kind === StoreFailureKind.NotDone && res.error.rejected === true && batch.length > 1) this.enqueue(batch.map((job) => Object.assign(job, { alone: true })), true)
    else settleAll(batch, { outcome: toOutcome(res.error) })
    this.sendNext()
  }

  /** Puts the jobs that were not refused for long into the queue again after a pause, and fails the others. */
  private retryLater (batch: readonly PendingJob[]): void {
    const { timers, onBusy } = this.options
    const nowMs = timers.now()
    onBusy?.()
    for (const job of batch) job.refusedAtMs ??= nowMs
    const isOverdue = ({ refusedAtMs = nowMs }: PendingJob): boolean => nowMs - refusedAtMs >= BUSY_RETRY_LIMIT_MS
    settleAll(batch.filter(isOverdue), { outcome: WriteOutcome.NotDone })
    const others = batch.filter((job) => !isOverdue(job))
    timers.after(BUSY_RETRY_MS, () => {
      this.enqueue(others, true)
      this.sendNext()
    })
  }

  /** Settles the jobs that have a row or were cancelled, and puts the others, of which none was written, at the head of the queue again. */
  private settleConflict (batch: readonly PendingJob[], rows: readonly StoredRow[]): void {
    const existing = new Map(rows.filter(({ version }) => version > 0).map((row) => [row.key, row]))
    const others: PendingJob[] = []
    let canSucceed = false
    for (const job of batch) {
      const row = existing.get(`${JOB_PREFIX}${job.id}`)
      const outcome = row === undefined ? undefined : getConflictOutcome(job, row)
      if (outcome !== undefined) job.settle({ outcome })
      else others.push(job)
      canSucceed ||= outcome !== undefined || (row?.version ?? 0) !== (job.replacedVersion ?? 0)
      job.replacedVersion = row?.version
    }
    if (canSucceed) this.enqueue(others, true)
    else settleAll(others, { outcome: batch.length === 1 ? WriteOutcome.Exists : WriteOutcome.NotDone })
  }
}

/** Returns what the row of a job means for a write of the job, or undefined if it is a tombstone of other teams. */
function getConflictOutcome (job: PendingJob, row: StoredRow): WriteOutcome | undefined {
  const tombstone = decodeTombstoneRow(row.value)
  if (tombstone === undefined) return WriteOutcome.Exists
  return tombstone.teams.includes(job.permit?.team ?? NO_TEAM) ? WriteOutcome.Cancelled : undefined
}

function settleAll (batch: readonly PendingJob[], result: WriteResult): void {
  for (const { settle } of batch) settle(result)
}

/** Converts a failure, except for a conflict of a batch, to an outcome. */
export function toOutcome (failure: StoreFailure): WriteOutcome {
  if (failure.kind === StoreFailureKind.Conflict) return WriteOutcome.Exists
  return failure.kind === StoreFailureKind.Unknown ? WriteOutcome.Unknown : WriteOutcome.NotDone
}
