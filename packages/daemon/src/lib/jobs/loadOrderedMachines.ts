/**
 * Reads the orders for machines that earlier owners have recorded and that may still be carried out.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, Result } from '@vanillathread/model'
import { readTable, type RowStore, type StoreFailure } from '@vanillathread/ports'
import { decodeMoveRow, decodeWaveMachineRow, Table, type MoveRow } from './rows.js'
import { parseWaveMachineKey } from './WaveProgressStore.js'

/** A move that an earlier owner has ordered, or may have ordered. */
export interface RecordedMove extends MoveRow {
  readonly machine: string
  /** Version of the record's row. */
  readonly version: number
}

/** Orders of earlier owners that may still be carried out. */
export interface OrderedMachines {
  readonly moves: readonly RecordedMove[]
  /** Machines whose maintenance was ordered, or may have been ordered, and has not certainly begun. */
  readonly maintenances: ReadonlyArray<{ readonly machine: string, readonly wave: number }>
}

/** Reads a shard's recorded orders. Invalid rows are logged and left out. */
export async function loadOrderedMachines (rows: RowStore, log: EventLog, shard: string): Promise<Result<OrderedMachines, StoreFailure>> {
  const [moveRows, waveRows] = await Promise.all([readTable(rows, Table.Moves, shard), readTable(rows, Table.Waves, shard)])
  if (!moveRows.ok) return moveRows
  if (!waveRows.ok) return waveRows
  const moves: RecordedMove[] = []
  for (const row of moveRows.value.rows) {
    const move = decodeMoveRow(row.value)
    if (move === undefined) log.write(EventCode.JobRowInvalid, { table: row.table, key: row.key, version: row.version })
    else moves.push({ ...move, machine: row.key, version: row.version })
  }
  const maintenances = waveRows.value.rows.flatMap((row) => {
    const key = parseWaveMachineKey(row.key)
    return key === undefined || decodeWaveMachineRow(row.value)?.begun !== false ? [] : [key]
  })
  return Result.ok({ moves, maintenances })
}
