/**
 * Reads one row.
 */
import { Result } from '@vanillathread/model'
import type { RowKey, RowStore, StoredRow, StoreFailure } from './RowStore.js'

/** Reads the row with a key. Returns undefined if there is none. @public */
export async function readRow (rows: RowStore, { table, part, key }: RowKey): Promise<Result<StoredRow | undefined, StoreFailure>> {
  const res = await rows.readRange({ table, part, from: key, to: `${key}\0` })
  return res.ok ? Result.ok(res.value.rows[0]) : res
}
