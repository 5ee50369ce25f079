/**
 * Reads a shard's rows from the store.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, Result, type AcceptedJob } from '@vanillathread/model'
import type { JobProgress, RosterRecord } from '@vanillathread/policy'
import { readTable, type RowStore, type StoredRow, type StoreFailure } from '@vanillathread/ports'
import { formatRowName } from './CommitLoop.js'
import { CANCEL_PREFIX, decodeJobRow, decodeProgressRow, decodeRosterRow, decodeTombstoneRow, JOB_PREFIX, Table } from './rows.js'

/** Tombstone of a job that was cancelled before it was stored. */
export interface Tombstone {
  readonly jobId: string
  readonly version: number
  /** The store's clock at the write. */
  readonly cancelledAtMs: number
}

/** Content of a shard in the store. */
export interface ShardContent {
  readonly jobs: ReadonlyArray<{ readonly job: AcceptedJob, readonly version: number }>
  /** Ids of cancelled jobs. */
  readonly cancels: readonly string[]
  readonly tombstones: readonly Tombstone[]
  /** Progress by job id. */
  readonly progress: ReadonlyMap<string, JobProgress>
  /** VMs that may hold runs of the shard. */
  readonly roster: readonly RosterRecord[]
  /** Versions of the progress and roster rows, by table and key. */
  readonly versions: Map<string, number>
  /** Store version from which the feed of jobs is to be read. */
  readonly jobsVersion: number
}

/** Reads a shard's jobs, cancellations, progress and roster. Invalid rows are logged and left out. */
export async function loadShard (rows: RowStore, log: EventLog, shard: string): Promise<Result<ShardContent, StoreFailure>> {
  const [jobs, progress, roster] = await Promise.all([
    readTable(rows, Table.Jobs, shard), readTable(rows, Table.Progress, shard), readTable(rows, Table.Rosters, shard),
  ])
  if (!jobs.ok) return jobs
  if (!progress.ok) return progress
  if (!roster.ok) return roster
  const versions = new Map([...progress.value.rows, ...roster.value.rows].map((row) => [formatRowName(row), row.version]))
  const accepted = []
  const cancels = []
  const tombstones = []
  for (const row of jobs.value.rows) {
    const change = decodeJobChange(row, log)
    if (change?.job !== undefined) accepted.push({ job: change.job, version: row.version })
    else if (change?.tombstone !== undefined) tombstones.push(change.tombstone)
    else if (change !== undefined) cancels.push(change.id)
  }
  return Result.ok({
    jobs: accepted,
    cancels,
    tombstones,
    progress: decodeAll(progress.value.rows, decodeProgressRow, log),
    roster: [...decodeAll(roster.value.rows, decodeRosterRow, log).values()],
    versions,
    jobsVersion: jobs.value.version,
  })
}

/** Decodes a row of the table of jobs: a job, a tombstone, or else the id of a cancelled job. Returns undefined for removed and invalid rows. */
export function decodeJobChange (row: StoredRow, log: EventLog): { readonly id: string, readonly job?: AcceptedJob, readonly tombstone?: Tombstone } | undefined {
  if (row.removed) return undefined
  if (row.key.startsWith(CANCEL_PREFIX)) return { id: row.key.slice(CANCEL_PREFIX.length) }
  const id = row.key.slice(JOB_PREFIX.length)
  const cancelledAtMs = decodeTombstoneRow(row.value)?.cancelledAtMs
  if (cancelledAtMs !== undefined) return { id, tombstone: { jobId: id, version: row.version, cancelledAtMs } }
  const job = decodeJobRow(row.value)
  if (job === undefined) {
    log.write(EventCode.JobRowInvalid, { table: row.table, key: row.key, version: row.version })
    return undefined
  }
  return { id, job }
}

function decodeAll<T> (rows: readonly StoredRow[], decode: (bytes: Uint8Array) => T | undefined, log: EventLog): Map<string, T> {
  const values = new Map<string, T>()
  for (const row of rows) {
    const value = decode(row.value)
    if (value === undefined) log.write(EventCode.JobRowInvalid, { table: row.table, key: row.key, version: row.version })
    else values.set(row.key, value)
  }
  return values
}
