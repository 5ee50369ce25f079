/**
 * Checks that a cancellation is not stored for a job whose rows are removed meanwhile, and how long another daemon's check of a key holds.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { Result, type AcceptedJob } from '@vanillathread/model'
import { StoreFailureKind, type RowStore, type RowTransaction, type StoredRow } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { PeerMessageKind, WriteOutcome, type PeerMessage, type PeerMessageOf } from '../peer/messages.js'
import type { MessageHandler, PeerTransport } from '../peer/PeerTransport.js'
import type { WriteResult } from './JobRowBatcher.js'
import { JobWriter, type JobWriterOptions } from './JobWriter.js'
import { encodeRow } from './rows.js'
import { StoreGate } from './StoreGate.js'

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

/** Asks a daemon to write a job, for a call whose key was checked until 100 ms on the store's clock. Returns the outcome. */
async function relayJob (storeClockMs: number, isCurrent: boolean): Promise<WriteOutcome | undefined> {
  const row = encodeRow({ id: 'a', spec: { steps: [] } } as unknown as AcceptedJob)
  const rows = { getStoreClockMs: () => storeClockMs, getTimeSinceAnswerMs: () => 0, transact: async () => Result.ok({ version: 9 }) } as unknown as RowStore
  let outcome: WriteOutcome | undefined
  let handle: MessageHandler<PeerMessageKind.WriteRequest> | undefined
  const network = { on: (kind: PeerMessageKind, handler: never) => { if (kind === PeerMessageKind.WriteRequest) handle = handler } } as unknown as PeerTransport
  const timers = FakeTimerService.create()
  const gate = StoreGate.create({ timers, log: MemoryEventLog.create(), rows, getOwnerAnswerAtMs: () => -Infinity })
  JobWriter.create({ timers, rows, network, shardName: 's', gate, canServe: () => isCurrent } as unknown as JobWriterOptions)
  handle?.({ kind: PeerMessageKind.WriteRequest, seq: 1, job: row, untilMs: 100 }, (answer: PeerMessage) => { outcome = (answer as PeerMessageOf<PeerMessageKind.WriteAnswer>).outcome })
  await timers.advance(1)
  return outcome
}

describe('JobWriter', ({ it }) => {
  it('stores the cancellation of a job', async () => {
    assert.equal(await cancelJob(7), { result: { outcome: WriteOutcome.Stored, version: 9 }, stored: ['c/a'] })
  })

  it('stores none if the job is removed between the read and the write, as nothing would remove it again', async () => {
    assert.equal(await cancelJob(0), { result: { outcome: WriteOutcome.Absent }, stored: [] })
  })

  it('writes for a key that another daemon checked only until that check expires, and not with a stale configuration after a suspension', async () => {
    assert.equal([await relayJob(99, true), await relayJob(100, true), await relayJob(99, false)], [WriteOutcome.Stored, WriteOutcome.NotDone, WriteOutcome.NotDone])
  })
})
