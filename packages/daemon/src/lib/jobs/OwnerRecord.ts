/**
 * The owner row of a shard and its owner's store heartbeat, in the store.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { Address, Result } from '@vanillathread/model'
import { StoreFailureKind, type RowCommit, type RowPut, type RowStore, type StoreFailure } from '@vanillathread/ports'
import type { MemberDirectory } from './MemberDirectory.js'
import { decodeOwnerRow, decodeStoreHeartbeatRow, encodeRow, Table, type OwnerRow } from './rows.js'

/** Key of a shard's owner row and of its store heartbeat. */
const OWNER_KEY = 'owner'

/** An owner row with its version, which is the fencing token. */
export interface VersionedOwner {
  readonly value: OwnerRow
  readonly version: number
}

/** The owner known to this daemon. */
export interface KnownOwner {
  readonly name: string
  readonly address: Address
  readonly fencingToken: number
}

/** A store heartbeat: the version of its row, and its age by the store's clock. */
export interface StoreHeartbeat {
  readonly version: number
  readonly ageMs: number
  /** See {@link StoreHeartbeatRow.membersAtVersion}. */
  readonly membersAtVersion: number | undefined
}

/** Options of {@link OwnerRecord.create}. */
export interface OwnerRecordOptions {
  readonly rows: RowStore
  readonly shard: string
  readonly members: Pick<MemberDirectory, 'readAtVersion'>
}

/** Reads and writes the records of one shard's owner. */
export class OwnerRecord {
  /** Version on whose condition a takeover is being written, or was written with an unknown outcome. */
  private openTakeover: number | undefined

  private constructor (private readonly options: OwnerRecordOptions) {}

  static create (options: OwnerRecordOptions): OwnerRecord {
    return new OwnerRecord(options)
  }

  private get rows (): RowStore {
    return this.options.rows
  }

  private get shard (): string {
    return this.options.shard
  }

  /** Name of the owner row. */
  get key (): { readonly table: string, readonly part: string, readonly key: string } {
    return { table: Table.Shards, part: this.shard, key: OWNER_KEY }
  }

  /** Reads the owner row. Returns 'unavailable' if the store does not answer, undefined if there is no valid row. */
  async read (): Promise<VersionedOwner | undefined | 'unavailable'> {
    const res = await this.rows.readRange({ table: Table.Shards, part: this.shard })
    if (!res.ok) return 'unavailable'
    const stored = res.value.rows.find((row) => row.key === OWNER_KEY)
    const value = stored === undefined ? undefined : decodeOwnerRow(stored.value)
    return stored === undefined || value === undefined ? undefined : { value, version: stored.version }
  }

  /** Writes the row of a new owner, with its first store heartbeat, on condition that the row has the expected version. */
  async takeOver (value: OwnerRow, expectedVersion: number): Promise<Result<RowCommit, StoreFailure>> {
    this.openTakeover = expectedVersion
    const res = await this.write(value, expectedVersion, [this.createHeartbeat()])
    // A takeover with an unknown outcome may yet be carried out, as long as the row has this version.
    if (res.ok || res.error.kind !== StoreFailureKind.Unknown) this.openTakeover = undefined
    return res
  }

  /** Returns true if this daemon has taken over from the owner with the given token, or may have, without knowing. */
  mayHaveTakenOver (fencingToken: number): boolean {
    return this.openTakeover === fencingToken
  }

  /**
   * Writes a row without an owner after the given one, on condition that the row has the expected version.
   *
   * @param leasesEndMs - time on the store's clock from which every lease given before the release has expired, if it is known.
   */
  release (former: OwnerRow | undefined, expectedVersion: number, leasesEndMs: number | undefined): Promise<Result<RowCommit, StoreFailure>> {
    const value = { owner: '', host: '', port: 0, generation: former?.generation ?? 0, leaseEndsKeptSince: former?.leaseEndsKeptSince, leasesEndMs }
    return this.write(value, expectedVersion, [])
  }

  /** Writes a store heartbeat. Returns 'superseded' if the store shows another owner, 'failed' if it does not answer or refuses. */
  async writeHeartbeat (fencingToken: number): Promise<'written' | 'superseded' | 'failed'> {
    const res = await this.rows.transact({ conditions: [{ ...this.key, version: fencingToken }], puts: [this.createHeartbeat()], removes: [] })
    if (res.ok) return 'written'
    return res.error.kind === StoreFailureKind.Conflict ? 'superseded' : 'failed'
  }

  /** Reads the store heartbeat, or returns undefined if the store does not answer. */
  async readHeartbeat (): Promise<StoreHeartbeat | undefined> {
    const res = await this.rows.readRange({ table: Table.StoreHeartbeats, part: this.shard })
    if (!res.ok) return undefined
    const row = res.value.rows[0]
    // The row holds the store's clock at its write, so a single read shows the heartbeat's age.
    const heartbeat = row === undefined ? undefined : decodeStoreHeartbeatRow(row.value)
    return { version: row?.version ?? 0, ageMs: this.rows.getStoreClockMs() - (heartbeat?.atMs ?? 0), membersAtVersion: heartbeat?.membersAtVersion }
  }

  /**
   * Converts a time on this daemon's clock to the store's clock, rounded up. Returns undefined if the store does not answer. The store's
   * clock is read first, as a daemon's own clock does not count the time for which its VM is suspended.
   */
  async toStoreTime (atMs: number, timers: TimerService): Promise<number | undefined> {
    const sentAtMs = timers.now()
    if (await this.read() === 'unavailable') return undefined
    const reading = this.rows.getStoreClockReading()
    const nowMs = timers.now()
    if (reading === undefined || nowMs - reading.sentAgoMs < sentAtMs) return undefined
    return Math.ceil(reading.clockMs + reading.sentAgoMs + atMs - nowMs)
  }

  private write (value: OwnerRow, expectedVersion: number, more: readonly RowPut[]): Promise<Result<RowCommit, StoreFailure>> {
    return this.rows.transact({ conditions: [{ ...this.key, version: expectedVersion }], puts: [{ ...this.key, value: encodeRow(value) }, ...more], removes: [] })
  }

  private createHeartbeat (): RowPut {
    return { table: Table.StoreHeartbeats, part: this.shard, key: OWNER_KEY, value: encodeRow({ atMs: Math.round(this.rows.getStoreClockMs()), membersAtVersion: this.options.members.readAtVersion }) }
  }
}
