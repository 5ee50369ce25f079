/**
 * When requests are refused because the store is silent, and that what was refused is never sent.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore, type RowTransaction } from '@vanillathread/ports'
import { assert, describe } from '@vanillathread/testing'
import { WriteOutcome } from '../peer/messages.js'
import { JobRowBatcher } from './JobRowBatcher.js'
import { GateResultKind, StoreGate } from './StoreGate.js'

function createGate (): { timers: FakeTimerService, gate: StoreGate, answer: () => void } {
  const timers = FakeTimerService.create()
  let answeredAtMs = 0
  const rows = { getTimeSinceAnswerMs: () => timers.now() - answeredAtMs } as unknown as RowStore
  const gate = StoreGate.create({ timers, log: MemoryEventLog.create(), rows, getOwnerAnswerAtMs: () => -Infinity })
  return { timers, gate, answer: () => { answeredAtMs = timers.now() } }
}

/** Runs a request that the store does not answer, and returns the kind of its result and the time until then. */
async function runUnanswered ({ timers, gate }: ReturnType<typeof createGate>): Promise<[GateResultKind, number]> {
  const startedAtMs = timers.now()
  const { kind } = await gate.run(() => new Promise(() => {}))
  return [kind, timers.now() - startedAtMs]
}

describe('StoreGate', ({ it }) => {
  it('does not take a daemon without requests for one without a store', async () => {
    const { timers, gate } = createGate()
    await timers.advance(60_000)
    assert.equal(await gate.run(async () => 'stored'), { kind: GateResultKind.Done, value: 'stored' })
  })

  it('gives up all requests together, then tries one at a time, and opens at the first answer', async () => {
    const setup = createGate()
    const { timers, gate, answer } = setup
    const first = runUnanswered(setup)
    await timers.advance(700)
    const second = runUnanswered(setup)
    await timers.advance(650)
    assert.equal([await first, await second], [[GateResultKind.GaveUp, 1_300], [GateResultKind.GaveUp, 600]])
    const probe = runUnanswered(setup)
    assert.equal(await runUnanswered(setup), [GateResultKind.Refused, 0])
    await timers.advance(750)
    assert.equal(await probe, [GateResultKind.GaveUp, 700])
    await timers.advance(1)
    answer()
    assert.is(gate.isClosed(), false)
  })

  it('waits on if another daemon stores what this one sends', async () => {
    const setup = createGate()
    let result: unknown
    runUnanswered(setup).then((value) => { result = value })
    for (let round = 0; round < 5; round++) {
      await setup.timers.advance(1_000)
      setup.gate.recordAnswer()
    }
    assert.is(result, undefined)
  })

  it('never sends a job that it refused, neither from the queue nor after a refusal by a busy store', async () => {
    const timers = FakeTimerService.create()
    const sent: string[] = []
    let settleFirst = (): void => {}
    const rows = {
      transact: async ({ puts }: RowTransaction) => {
        sent.push(...puts.map(({ key }) => key))
        if (sent.length === 1) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 429', busy: true })
        await new Promise<void>((resolve) => { settleFirst = resolve })
        return Result.ok({ version: 1 })
      },
    } as unknown as RowStore
    const batcher = JobRowBatcher.create({ timers, rows, shardName: 's' })
    const unsent = new AbortController()
    const busy = batcher.write('a', new Uint8Array(1), unsent.signal)
    const inFlight = batcher.write('b', new Uint8Array(1))
    await timers.advance(100)
    const queued = batcher.write('c', new Uint8Array(1), unsent.signal)
    unsent.abort()
    await timers.advance(1_000)
    settleFirst()
    await timers.advance(1_000)
    assert.equal([await busy, await queued, await inFlight].map(({ outcome }) => outcome), [WriteOutcome.NotDone, WriteOutcome.NotDone, WriteOutcome.Stored])
    assert.equal(sent, ['j/a', 'j/b'])
  })
})
