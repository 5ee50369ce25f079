/**
 * Keeps what the forecast of turns has learned in one row beside the shard, so that the next owner need not learn it again.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { TurnHistory } from '@vanillathread/policy'
import { readTable, StoreFailureKind, type RowCondition, type RowKey, type RowStore } from '@vanillathread/ports'
import { decodeTurnHistoryRow, encodeRow, Table } from './rows.js'

/** Key of the only row of a shard. */
const KEY = 'history'

/** A stored history, with times on the store's clock, and the version of its row; 0 if there is none. */
export interface StoredTurnHistory {
  readonly history?: TurnHistory
  readonly version: number
}

/** Reads a shard's history. Returns none if it cannot be read or used, as it is then learned again. */
export async function loadTurnHistory (rows: RowStore, log: EventLog, shard: string): Promise<StoredTurnHistory> {
  const res = await readTable(rows, Table.Turns, shard)
  if (!res.ok) {
    log.write(EventCode.TurnHistoryLoaded, { shard, outcome: res.error.kind })
    return { version: 0 }
  }
  const row = res.value.rows.find(({ key }) => key === KEY)
  if (row === undefined) return { version: 0 }
  const history = decodeTurnHistoryRow(row.value)
  log.write(EventCode.TurnHistoryLoaded, { shard, outcome: history === undefined ? 'invalid' : 'read', turns: history?.turns.length })
  return { history, version: row.version }
}

/** Returns the history with its times shifted, as from the store's clock to this daemon's. */
export function shiftHistory (history: TurnHistory, byMs: number): TurnHistory {
  return { ...history, turns: history.turns.map((turn) => ({ ...turn, startMs: turn.startMs + byMs })) }
}

/** Options of {@link TurnHistoryStore.create}. */
export interface TurnHistoryStoreOptions {
  readonly shard: string
  readonly rows: RowStore
  readonly log: EventLog
  readonly ownerRow: RowCondition
  /** Version of the row that a previous owner has left, or 0. */
  readonly version: number
  /** Called if the store shows that another daemon owns the shard. */
  onSuperseded (reason: string): void
}

/** Writes a shard's history of turns. */
export class TurnHistoryStore {
  private version: number
  private writeInFlight = false

  private constructor (private readonly options: TurnHistoryStoreOptions) {
    this.version = options.version
  }

  static create (options: TurnHistoryStoreOptions): TurnHistoryStore {
    return new TurnHistoryStore(options)
  }

  /**
   * Stores a history with times on the store's clock. Returns false if that could not be done, or another write is in flight; the
   * next turn brings the next attempt.
   */
  async write (history: TurnHistory): Promise<boolean> {
    if (this.writeInFlight) return false
    this.writeInFlight = true
    const { rows, ownerRow, shard, log, onSuperseded } = this.options
    const key: RowKey = { table: Table.Turns, part: shard, key: KEY }
    const res = await rows.transact({ conditions: [ownerRow, { ...key, version: this.version }], puts: [{ ...key, value: encodeRow(history) }], removes: [] })
    this.writeInFlight = false
    if (res.ok) {
      this.version = res.value.version
      return true
    }
    log.write(EventCode.StoreCallFailed, { call: 'write turns', outcome: res.error.kind })
    if (res.error.kind !== StoreFailureKind.Conflict) return false
    const owner = res.error.rows.find((row) => row.table === ownerRow.table && row.key === ownerRow.key)
    if (owner?.version !== ownerRow.version) onSuperseded('write of turns found another owner')
    // Only the owner writes this row, so it was not read at the start, or an earlier attempt was carried out after all.
    this.version = res.error.rows.find((row) => row.table === Table.Turns && row.key === KEY)?.version ?? 0
    return false
  }
}
