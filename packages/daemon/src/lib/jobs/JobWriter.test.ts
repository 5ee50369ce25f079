/**
 * Checks that a cancellation is not stored for a job whose rows are removed meanwhile.
 */
import { FakeTimerService } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore, type RowTransaction, type StoredRow } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { WriteOutcome } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import type { WriteResult } from './JobRowBatcher.js'
import { JobWriter, type JobWriterOptions } from './JobWriter.js'

const JOB_ROW: StoredRow = { table: 'jobs', part: 's', key: 'j/a', value: new Uint8Array(), version: 7, removed: false }

/** Cancels a job in a store where the job's row has the given version, 0 if it was removed, when the transaction is executed. */
async function cancelJob (versionAtWrite: number): Promise<{ result: WriteResult, stored: string[] }> {
  const stored: string[] = []
  const rows = {
    getStoreClockMs: () => 0,
    readRange: async () => Result.ok({ rows: [JOB_ROW], version: 7, hasMore: false }),
    transact: async ({ conditions, puts }: RowTransaction) => {
      if (conditions.some(({ version }) => version !== versionAtWrite)) return Result.err({ kind: StoreFailureKind.Conflict, rows: [] })
      stored.push(...puts.map(({ key }) => key))
      return Result.ok({ version: 9 })
    },
  } as unknown as RowStore
  const network = { on: () => {} } as unknown as PeerTransport
  const writer = JobWriter.create({ timers: FakeTimerService.create(), rows, network, shardName: 's' } as unknown as JobWriterOptions)
  return { result: await writer.writeCancel('a', new AbortController().signal), stored }
}

describe('JobWriter', ({ it }) => {
  it('stores the cancellation of a job', async () => {
    assert.equal(await cancelJob(7), { result: { outcome: WriteOutcome.Stored, version: 9 }, stored: ['c/a'] })
  })

  it('stores none if the job is removed between the read and the write, as nothing would remove it again', async () => {
    assert.equal(await cancelJob(0), { result: { outcome: WriteOutcome.Absent }, stored: [] })
  })
})
