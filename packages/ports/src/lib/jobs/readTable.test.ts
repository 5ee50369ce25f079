/**
 * Checks that a table is read to its last page, or not at all.
 */
import { Result } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { readTable } from './readTable.js'
import { StoreFailureKind, type RowPage, type RowStore } from './RowStore.js'

function createPage (keys: string[], hasMore: boolean, version: number): RowPage {
  return { rows: keys.map((key) => ({ table: 't', part: 'p', key, value: new Uint8Array(), version: 1, removed: false })), hasMore, version }
}

/** Creates a store that answers with the pages, one for each call, and records the first key of each range. */
function createRows (pages: RowPage[], seen: Array<string | undefined>): RowStore {
  return {
    readRange: async ({ from }: { from?: string }) => {
      seen.push(from)
      return Result.ok(pages.shift() ?? createPage([], false, 9))
    },
  } as unknown as RowStore
}

describe('readTable', ({ it }) => {
  it('reads page after page and returns the version of the first one', async () => {
    const seen: Array<string | undefined> = []
    const res = await readTable(createRows([createPage(['a', 'b'], true, 5), createPage(['c'], false, 6)], seen), 't', 'p')
    assert.equal(res.ok && [res.value.rows.map(({ key }) => key), res.value.version], [['a', 'b', 'c'], 5])
    assert.equal(seen, ['', 'b\0'])
  })

  it('fails if a page has no rows although more follow, as the rest would be missing without notice', async () => {
    const res = await readTable(createRows([createPage(['a'], true, 5), createPage([], true, 6)], []), 't', 'p')
    assert.ok(!res.ok && res.error.kind === StoreFailureKind.NotDone)
  })
})
