/**
 * The row of turns: it must not survive its owner's loss of the shard, and a row that cannot be used must not block a takeover.
 */
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { decodeTurnHistoryRow, encodeRow, Table } from './rows.js'
import { loadTurnHistory, TurnHistoryStore } from './TurnHistoryStore.js'

const HISTORY = { turns: [{ pool: 'a', startMs: 1_000, lengthMs: 3_600, heightCpuMillis: 1e6 }], followers: { a: 'b' }, hits: 1, misses: 0 }
const OWNER_ROW = { table: Table.Shards, part: 'main', key: 'main', version: 7 }
const log = { write: () => {} } as never

function createStore (transact: RowStore['transact'], superseded: string[] = []): TurnHistoryStore {
  return TurnHistoryStore.create({ shard: 'main', rows: { transact } as RowStore, log, ownerRow: OWNER_ROW, version: 3, onSuperseded: (reason) => superseded.push(reason) })
}

describe('TurnHistoryStore', ({ it }) => {
  it('writes on condition of the owner row and of the version that it knows', async () => {
    const versions: number[][] = []
    const store = createStore(async ({ conditions }) => {
      versions.push(conditions.map(({ version }) => version))
      return Result.ok({ version: 9 }) as never
    })
    assert.ok(await store.write(HISTORY))
    assert.ok(await store.write(HISTORY))
    assert.equal(versions, [[7, 3], [7, 9]])
  })

  it('takes over the version that a conflict shows, and reports another owner', async () => {
    const superseded: string[] = []
    const versions: number[] = []
    const store = createStore(async ({ conditions }) => {
      versions.push(conditions[1]?.version ?? -1)
      return Result.err({ kind: StoreFailureKind.Conflict, reason: 'conflict', rows: [{ ...OWNER_ROW, version: 8 }, { table: Table.Turns, part: 'main', key: 'history', version: 5 }] }) as never
    }, superseded)
    assert.not(await store.write(HISTORY))
    await store.write(HISTORY)
    assert.equal(versions, [3, 5])
    assert.is(superseded.length, 2)
  })

  it('returns a stored history as it was, and none for a row that cannot be read', async () => {
    const read = (value: Uint8Array) => loadTurnHistory({ readRange: async () => Result.ok({ rows: [{ table: Table.Turns, part: 'main', key: 'history', value, version: 4, removed: false }], version: 4, hasMore: false }) } as never, log, 'main')
    assert.equal(decodeTurnHistoryRow(encodeRow(HISTORY)), HISTORY)
    assert.equal(await read(encodeRow(HISTORY)), { history: HISTORY, version: 4 })
    assert.equal(await read(new Uint8Array([1, 2, 3])), { history: undefined, version: 4 })
  })
})
