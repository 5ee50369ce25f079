/**
 * Transactions whose answers are lost, late or refused.
 */
import { assert, describe } from '@vanillathread/testing'
import { delay, FakeTimerService } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import { RandomSource } from '@vanillathread/policy'
import { StoreFailureKind, type RowCommit, type RowStore, type RowTransaction, type StoreFailure } from '@vanillathread/ports'
import { StoreStandIn } from '@vanillathread/stand-ins'
import { HedgedRowStore } from '@vanillathread/daemon'

const ROW = { table: 't', part: 'p', key: 'k' }
const OWNER = { table: 'shards', part: 'p', key: 'owner' }
const CALL_MS = 4
const TIMEOUT_MS = 1_200

/** What happens to one attempt. */
enum Attempt {
  Answered = 'answered',
  /** Executed, but the answer is lost. */
  AnswerLost = 'answer lost',
  /** Not executed, and not answered. */
  Lost = 'lost',
  Refused = 'refused',
  /** Executed and answered after a long time. */
  Slow = 'slow',
}

/** Returns a client whose attempts end as listed, the last one repeatedly, and the store behind it. */
function createStore (timers: FakeTimerService, ends: readonly Attempt[], slowMs = 0) {
  const store = StoreStandIn.create({ timers, random: RandomSource.create(1) })
  const sentAtMs: number[] = []
  const transact = async (transaction: RowTransaction): Promise<Result<RowCommit, StoreFailure>> => {
    const end = ends[Math.min(sentAtMs.length, ends.length - 1)]
    sentAtMs.push(timers.now())
    if (end === Attempt.Refused) {
      await delay(timers, CALL_MS)
      return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 503' })
    }
    await delay(timers, end === Attempt.Slow ? slowMs : CALL_MS)
    const res = end === Attempt.Lost ? undefined : store.transact(transaction)
    if (res !== undefined && end !== Attempt.AnswerLost) return res
    await delay(timers, TIMEOUT_MS - CALL_MS)
    return Result.err({ kind: StoreFailureKind.Unknown, reason: 'no answer' })
  }
  const rows = { transact, getStoreClockMs: () => timers.now(), getTimeSinceAnswerMs: () => 0 } as unknown as RowStore
  return { store, sentAtMs, hedged: HedgedRowStore.create({ rows, timers }) }
}

/** Runs a call to its end and returns its result with the time that it took. */
async function play<T> (timers: FakeTimerService, call: Promise<T>): Promise<{ res: T, tookMs: number }> {
  const startedAtMs = timers.now()
  const ended: Array<{ res: T, tookMs: number }> = []
  call.then((res) => { ended.push({ res, tookMs: timers.now() - startedAtMs }) })
  for (let index = 0; index < 1_000 && ended.length === 0; index++) await timers.advance(4)
  const [first] = ended
  if (first === undefined) throw new Error('the call did not end')
  return first
}

function put (value: string, version: number): RowTransaction {
  return { conditions: [{ ...ROW, version }], puts: [{ ...ROW, value: Buffer.from(value) }], removes: [] }
}

describe('HedgedRowStore', ({ it }) => {
  it('reports a transaction as executed soon after its answer was lost', async () => {
    const timers = FakeTimerService.create()
    const { hedged, store } = createStore(timers, [Attempt.AnswerLost, Attempt.Answered])
    const { res, tookMs } = await play(timers, hedged.transact(put('a', 0)))
    assert.ok(res.ok)
    assert.ok(tookMs < 300, `took ${tookMs} ms`)
    assert.is(res.ok && res.value.version, [...store.rows.values()][0]?.version)
  })

  it('executes a transaction whose first attempt did not arrive', async () => {
    const timers = FakeTimerService.create()
    const { hedged, store } = createStore(timers, [Attempt.Lost, Attempt.Answered])
    const { res, tookMs } = await play(timers, hedged.transact(put('a', 0)))
    assert.ok(res.ok && tookMs < 300)
    assert.is(store.rows.size, 1)
  })

  it('reports a conflict with a row that someone else wrote', async () => {
    const timers = FakeTimerService.create()
    const { hedged, store } = createStore(timers, [Attempt.Lost, Attempt.Answered])
    store.put(ROW, Buffer.from('b'))
    const { res } = await play(timers, hedged.transact(put('a', 0)))
    assert.is(!res.ok && res.error.kind, StoreFailureKind.Conflict)
  })

  it('reports a conflict if the rows are written but another daemon has taken the shard over since', async () => {
    const timers = FakeTimerService.create()
    const { hedged, store } = createStore(timers, [Attempt.AnswerLost, Attempt.Answered])
    const version = store.put(OWNER, Buffer.from('one'))
    const pending = play(timers, hedged.transact({ ...put('a', 0), conditions: [{ ...OWNER, version }, { ...ROW, version: 0 }] }))
    timers.after(50, () => { store.put(OWNER, Buffer.from('two')) })
    const { res } = await pending
    assert.is(!res.ok && res.error.kind, StoreFailureKind.Conflict)
  })

  it('says that nothing was done only if no attempt can have been executed', async () => {
    const timers = FakeTimerService.create()
    const refused = await play(timers, createStore(timers, [Attempt.Refused]).hedged.transact(put('a', 0)))
    assert.is(!refused.res.ok && refused.res.error.kind, StoreFailureKind.NotDone)
    const { hedged } = createStore(timers, [Attempt.AnswerLost, Attempt.Refused])
    const unknown = await play(timers, hedged.transact(put('a', 0)))
    assert.is(!unknown.res.ok && unknown.res.error.kind, StoreFailureKind.Unknown)
  })

  it('does not multiply the calls to a store that has become slow', async () => {
    const timers = FakeTimerService.create()
    const { hedged, sentAtMs } = createStore(timers, [Attempt.Slow], 240)
    let version = 0
    for (let index = 0; index < 10; index++) {
      const { res } = await play(timers, hedged.transact(put(`${index}`, version)))
      assert.ok(res.ok)
      version = res.ok ? res.value.version : 0
    }
    assert.ok(sentAtMs.length <= 14, `${sentAtMs.length} calls for 10 transactions`)
  })

  it('sends each transaction once while the store answers nothing, and again more often once it answers', async () => {
    const timers = FakeTimerService.create()
    const ends = [...Array.from({ length: 40 }, () => Attempt.Lost), Attempt.Answered]
    const { hedged, sentAtMs } = createStore(timers, ends)
    while (sentAtMs.length < 40) await play(timers, hedged.transact(put('a', 0)))
    const callsBefore = sentAtMs.length
    assert.ok(sentAtMs.slice(-10).every((atMs, index, last) => index === 0 || atMs - (last[index - 1] ?? 0) >= TIMEOUT_MS), 'the last ten calls are one by one')
    const { res } = await play(timers, hedged.transact(put('a', 0)))
    assert.ok(res.ok)
    assert.is(sentAtMs.length, callsBefore + 1)
  })
})
