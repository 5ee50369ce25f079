/**
 * Reads one part of a table page by page.
 */
import { Result } from '@vanillathread/model'
import type { RowStore, StoredRow, StoreFailure } from './RowStore.js'

/** All rows of a part, and the version from which a feed goes on: the first page's, so that it repeats what changed between the pages. @public */
export async function readTable (rows: RowStore, table: string, part: string): Promise<Result<{ rows: StoredRow[], version: number }, StoreFailure>> {
  const all: StoredRow[] = []
  let version: number | undefined
  for (let from = ''; ;) {
    const res = await rows.readRange({ bulk: true, table, part, from })
    if (!res.ok) return res
    version ??= res.value.version
    all.push(...res.value.rows)
    const last = res.value.rows.at(-1)
    if (!res.value.hasMore || last === undefined) return Result.ok({ rows: all, version })
    from = `${last.key}\0`
  }
}
