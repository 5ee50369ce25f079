/**
 * Reads all rows of one part of a table, page by page.
 */
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore, type StoredRow, type StoreFailure } from './RowStore.js'

/**
 * Reads all rows of one part of a table.
 *
 * @returns the rows, and the version after which to read the feed. This is the version of the first page, because rows
 * may change between the pages; the feed then returns those changes again.
 * @public
 */
export async function readTable (rows: RowStore, table: string, part: string): Promise<Result<{ rows: StoredRow[], version: number }, StoreFailure>> {
  const all: StoredRow[] = []
  let version: number | undefined
  for (let from = ''; ;) {
    const res = await rows.readRange({ bulk: true, table, part, from })
    if (!res.ok) return res
    version ??= res.value.version
    all.push(...res.value.rows)
    const last = res.value.rows.at(-1)
    if (!res.value.hasMore) return Result.ok({ rows: all, version })
    if (last === undefined) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'page has no rows although more follow' })
    from = `${last.key}\0`
  }
}
