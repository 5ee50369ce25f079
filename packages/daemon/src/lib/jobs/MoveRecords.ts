/**
 * Records of the moves that an owner orders, kept in the store: an order may be carried out after its owner has lost the shard.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { StoreFailureKind, type RowCondition, type RowKey, type RowStore } from '@vanillathread/ports'
import { encodeRow, Table, type MoveRow } from './rows.js'

/** Options of {@link MoveRecords.create}. */
export interface MoveRecordsOptions {
  readonly shard: string
  readonly rows: RowStore
  readonly log: EventLog
  readonly ownerRow: RowCondition
  /** Versions of the rows that earlier owners left, by machine. */
  readonly versions: ReadonlyMap<string, number>
  /** Called if the store shows that another daemon owns the shard. */
  onSuperseded (reason: string): void
}

/** A row to write, or to remove if it has no value. */
interface PendingRow {
  readonly value?: MoveRow
  /** Called with true once the row is certainly stored. */
  readonly settle: (stored: boolean) => void
}

/** Limit on the rows of one transaction: a condition and a write for each, and the owner row, of the platform's 100 entries. */
const ROWS_PER_WRITE = 40

/** Writes a row for each machine with a pending move, many in a transaction. */
export class MoveRecords {
  private readonly pending = new Map<string, PendingRow>()
  /** Versions of the stored rows, by machine. */
  private readonly versions: Map<string, number>
  private writeInFlight = false

  private constructor (private readonly options: MoveRecordsOptions) {
    this.versions = new Map(options.versions)
  }

  static create (options: MoveRecordsOptions): MoveRecords {
    return new MoveRecords(options)
  }

  /** Stores that a move may be ordered; called before the order is sent. Returns false if that could not be stored. */
  record (machine: string, value: MoveRow): Promise<boolean> {
    return new Promise((resolve) => {
      this.pending.get(machine)?.settle(false)
      this.pending.set(machine, { value, settle: resolve })
      this.flush()
    })
  }

  /** Removes the record of a move that has ended. It is removed with the next write or call of {@link MoveRecords.flush}. */
  remove (machine: string): void {
    this.pending.get(machine)?.settle(false)
    if (this.versions.has(machine)) this.pending.set(machine, { settle: () => {} })
    else this.pending.delete(machine)
  }

  /** Writes pending rows, one transaction after another, until one fails. Rows to be removed then stay pending. */
  async flush (): Promise<void> {
    if (this.writeInFlight) return
    this.writeInFlight = true
    while (this.pending.size > 0 && await this.write([...this.pending].slice(0, ROWS_PER_WRITE)));
    this.writeInFlight = false
  }

  /** Returns true if the rows are certainly stored. */
  private async write (batch: ReadonlyArray<readonly [machine: string, row: PendingRow]>): Promise<boolean> {
    const { rows, ownerRow } = this.options
    for (const [machine] of batch) this.pending.delete(machine)
    const conditions = batch.map(([machine]) => ({ ...this.getKey(machine), version: this.versions.get(machine) ?? 0 }))
    const puts = batch.flatMap(([machine, { value }]) => value === undefined ? [] : [{ ...this.getKey(machine), value: encodeRow(value) }])
    const removes = batch.flatMap(([machine, { value }]) => value === undefined ? [this.getKey(machine)] : [])
    const res = await rows.transact({ conditions: [ownerRow, ...conditions], puts, removes })
    if (!res.ok && res.error.kind === StoreFailureKind.Conflict) this.applyConflict(res.error.rows, batch.map(([machine]) => machine))
    else if (!res.ok) this.options.log.write(EventCode.StoreCallFailed, { call: 'write moves', rows: batch.length, outcome: res.error.kind })
    for (const [machine, row] of batch) {
      if (res.ok && row.value !== undefined) this.versions.set(machine, res.value.version)
      else if (res.ok) this.versions.delete(machine)
      else if (row.value === undefined && !this.pending.has(machine)) this.pending.set(machine, row)
      row.settle(res.ok)
    }
    return res.ok
  }

  /** Only the owner writes these rows, so an earlier attempt with an unknown outcome was carried out after all. */
  private applyConflict (rows: ReadonlyArray<RowKey & { readonly version: number }>, machines: readonly string[]): void {
    const { ownerRow, onSuperseded } = this.options
    const owner = rows.find((row) => row.table === ownerRow.table && row.key === ownerRow.key)
    if (owner?.version !== ownerRow.version) onSuperseded('write of moves found another owner')
    for (const machine of machines) {
      const version = rows.find((row) => row.table === Table.Moves && row.key === machine)?.version ?? 0
      if (version > 0) this.versions.set(machine, version)
      else this.versions.delete(machine)
    }
  }

  private getKey (machine: string): RowKey {
    return { table: Table.Moves, part: this.options.shard, key: machine }
  }
}
