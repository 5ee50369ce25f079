/**
 * Checks how a batch of writes goes on after a conflict.
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError, type TableService, type TableTransaction } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { TableBatcher } from './TableBatcher.js'

/** Number of transactions after which the table accepts every one, so that a batch that is sent again and again ends. */
const MAX_TRANSACTIONS = 50

/** Creates a table that answers with a conflict on the keys that `findConflicts` returns, or accepts the transaction. */
function createTable (transactions: string[][], findConflicts: (keys: string[]) => string[] | undefined): TableService {
  return {
    transact: async ({ writes }: TableTransaction): Promise<Result<number, PlatformError>> => {
      const sentKeys = writes.map(({ key }) => key)
      transactions.push(sentKeys)
      const keys = transactions.length > MAX_TRANSACTIONS ? undefined : findConflicts(sentKeys)
      return keys === undefined ? Result.ok(transactions.length) : Result.err({ kind: PlatformErrorKind.Conflict, keys })
    },
  } as unknown as TableService
}

describe('TableBatcher', ({ it }) => {
  it('sends the other writes of a batch again at once after a conflict on one', async () => {
    const transactions: string[][] = []
    const batcher = TableBatcher.create(createTable(transactions, (keys) => (keys.includes('b') ? ['b'] : undefined)))
    const results = await Promise.all(['first', 'a', 'b', 'c'].map((key) => batcher.write({ key, revision: 0, value: 1 })))
    assert.equal(transactions, [['first'], ['a', 'b', 'c'], ['a', 'c']])
    assert.equal(results.map((res) => (res.ok ? 'ok' : res.error.kind)), ['ok', 'ok', PlatformErrorKind.Conflict, 'ok'])
  })

  it('fails the writes of a batch if a conflict names none of them, instead of sending it again without end', async () => {
    for (const named of [[], ['other']]) {
      const transactions: string[][] = []
      const batcher = TableBatcher.create(createTable(transactions, () => named))
      const res = await batcher.write({ key: 'a', revision: 0, value: 1 })
      assert.equal(res, Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'conflict names no row of the transaction' }))
      assert.is(transactions.length, 1)
    }
  })
})
