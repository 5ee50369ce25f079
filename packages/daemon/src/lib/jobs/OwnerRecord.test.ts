/**
 * Takeovers of a shard in the store.
 */
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { OwnerRecord } from './OwnerRecord.js'

const VALUE = { owner: 'a', host: 'h', port: 1, generation: 1 }

function createRecord (outcome: Awaited<ReturnType<RowStore['transact']>>): OwnerRecord {
  const rows = { getStoreClockMs: () => 0, transact: async () => outcome } as unknown as RowStore
  return OwnerRecord.create({ rows, shard: 'main', members: { readAtVersion: 0 } })
}

describe('takeover', ({ it }) => {
  it('may have been carried out while its outcome is unknown, so that the former owner gets no proof from this daemon', async () => {
    const record = createRecord(Result.err({ kind: StoreFailureKind.Unknown, reason: 'no answer' }))
    const takeover = record.takeOver(VALUE, 7)
    assert.is(record.mayHaveTakenOver(7), true)
    await takeover
    assert.is(record.mayHaveTakenOver(7), true)
    assert.is(record.mayHaveTakenOver(8), false)
  })

  it('has certainly not been carried out if the store refused it', async () => {
    const record = createRecord(Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 503' }))
    const takeover = record.takeOver(VALUE, 7)
    assert.is(record.mayHaveTakenOver(7), true)
    await takeover
    assert.is(record.mayHaveTakenOver(7), false)
  })
})
