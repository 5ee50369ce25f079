/**
 * Calls to the store through another daemon: copies on two paths, late copies, lost relays, and readings of the store's clock.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { HedgedRowStore, RelayedRowStore, StoreRelay } from '@vanillathread/daemon'
import { RandomSource } from '@vanillathread/policy'
import { StoreFailureKind, type RowTransaction } from '@vanillathread/ports'
import { StoreFault, StoreStandIn } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { MemoryPeerNetwork } from './lib/jobs/MemoryPeerNetwork.js'

const OWNER = { table: 'shards', part: 'p', key: 'owner' }
const ROW = { table: 'progress', part: 'p', key: 'a' }

/** Opens an owner's client beside two daemons that may make its calls. */
async function open () {
  const timers = FakeTimerService.create()
  const store = StoreStandIn.create({ timers, random: RandomSource.create(1) })
  const network = MemoryPeerNetwork.create(timers)
  const log = MemoryEventLog.create()
  const relays = await Promise.all(['b', 'c'].map(async (name, index) => {
    const address = { host: name, port: 1 }
    const transport = network.connect(address)
    await transport.listen()
    const rows = store.connect()
    StoreRelay.create({ network: transport, rows, timers, log })
    return { name, address, rows, answerAgoMs: 10 + index }
  }))
  const direct = store.connect()
  const transport = network.connect({ host: 'a', port: 1 })
  await transport.listen()
  const paths = RelayedRowStore.create({ direct, network: transport, timers, log })
  paths.listPeers = () => relays
  return { timers, store, network, relays, direct, paths, rows: HedgedRowStore.create({ rows: paths, timers, paths }), ownerVersion: store.put(OWNER, Buffer.from('a')) }
}

async function play<T> (timers: FakeTimerService, call: Promise<T>): Promise<{ readonly res: T, readonly tookMs: number }> {
  const startedAtMs = timers.now()
  const ended: Array<{ readonly res: T, readonly tookMs: number }> = []
  call.then((res) => { ended.push({ res, tookMs: timers.now() - startedAtMs }) })
  for (let count = 0; count < 3_000 && ended.length === 0; count++) await timers.advance(1)
  if (ended[0] === undefined) throw new Error('the call did not end')
  return ended[0]
}

function put (ownerVersion: number, version = 0): RowTransaction {
  return { conditions: [{ ...OWNER, version: ownerVersion }, { ...ROW, version }], puts: [{ ...ROW, value: Buffer.from('done') }], removes: [] }
}

describe('calls of an owner through another daemon', ({ it }) => {
  for (const fault of [StoreFault.Unresponsive, StoreFault.Resetting]) {
    it(`reach the store within 300 ms although its own connections fail (${fault})`, async () => {
      const { timers, store, direct, rows, ownerVersion } = await open()
      direct.fault = fault
      const written = await play(timers, rows.transact(put(ownerVersion)))
      const read = await play(timers, rows.readRange({ table: ROW.table, part: ROW.part }))
      const feed = await play(timers, rows.readFeed(ROW.table, 0, 0))
      assert.ok(written.res.ok && written.tookMs < 300 && read.tookMs < 300 && feed.tookMs < 300, `took ${written.tookMs}, ${read.tookMs} and ${feed.tookMs} ms`)
      assert.is(read.res.ok && Buffer.from(read.res.value.rows[0]?.value ?? []).toString(), 'done')
      assert.is(read.res.ok && read.res.value.rows[0]?.version, store.latestVersion)
      assert.is(feed.res.ok && feed.res.value.rows.length, 1)
    })
  }

  it('count once if the copy on its own connections was executed and only the answer is missing', async () => {
    const { timers, store, direct, rows, ownerVersion } = await open()
    const execute = direct.transact.bind(direct)
    direct.transact = async (transaction) => {
      store.transact(transaction)
      direct.fault = StoreFault.Unresponsive
      return execute(transaction)
    }
    const { res } = await play(timers, rows.transact(put(ownerVersion)))
    assert.ok(res.ok && res.value.version === store.latestVersion, 'the conflict of the second copy is with the first')
    assert.is(store.latestVersion, ownerVersion + 1)
  })

  it('are refused after a takeover: a late copy through a daemon that was suspended changes nothing', async () => {
    const { timers, store, direct, relays, rows, ownerVersion } = await open()
    direct.fault = StoreFault.Unresponsive
    for (const { rows: relayRows } of relays) relayRows.fault = StoreFault.Unresponsive
    const { res } = await play(timers, rows.transact(put(ownerVersion)))
    assert.is(!res.ok && res.error.kind, StoreFailureKind.Unknown)
    store.put(OWNER, Buffer.from('b'))
    for (const { rows: relayRows } of relays) relayRows.fault = StoreFault.None
    // After this time the owner asks daemons again that did not answer.
    await timers.advance(3_000)
    const late = await play(timers, relays[0]?.rows.transact(put(ownerVersion)) ?? Promise.reject(new Error('no relay')))
    assert.is(!late.res.ok && late.res.error.kind, StoreFailureKind.Conflict)
    const again = await play(timers, rows.transact(put(ownerVersion)))
    assert.is(!again.res.ok && again.res.error.kind, StoreFailureKind.Conflict, 'the owner learns that it is superseded')
    assert.not(store.rows.has('progress\0p\0a'))
  })

  it('take another daemon if the first is lost with the call, or cut off from the store itself', async () => {
    for (const lose of ['peer', 'store']) {
      const { timers, network, direct, relays, rows, ownerVersion } = await open()
      direct.fault = StoreFault.Unresponsive
      if (lose === 'peer') network.cutAddresses.add('b:1')
      else if (relays[0] !== undefined) relays[0].rows.fault = StoreFault.Unresponsive
      const { res, tookMs } = await play(timers, rows.transact(put(ownerVersion)))
      assert.ok(res.ok && tookMs < 400, `took ${tookMs} ms`)
    }
  })

  it('have an unknown outcome if no path answers', async () => {
    const { timers, network, direct, rows, ownerVersion } = await open()
    direct.fault = StoreFault.Unresponsive
    network.cutAddresses.add('a:1')
    const { res } = await play(timers, rows.transact(put(ownerVersion)))
    assert.is(!res.ok && res.error.kind, StoreFailureKind.Unknown)
  })

  it('read the store\'s clock at some time after the owner sent the call, however late the answer is', async () => {
    const { timers, store, direct, relays, rows } = await open()
    direct.fault = StoreFault.Resetting
    for (const { rows: relayRows } of relays) relayRows.lateReadMs = 80
    const sentAtMs = timers.now()
    const sentAtStoreMs = store.clockMs
    await play(timers, rows.readRange({ table: ROW.table, part: ROW.part }))
    const reading = rows.getStoreClockReading()
    assert.ok(reading !== undefined && timers.now() - reading.sentAgoMs >= sentAtMs, 'the reading counts from the call')
    assert.ok((reading?.clockMs ?? 0) >= sentAtStoreMs && (reading?.clockMs ?? Infinity) <= store.clockMs, 'the clock was read between call and answer')
    // A lease end computed from it must never be too early.
    assert.ok((reading?.clockMs ?? 0) + (reading?.sentAgoMs ?? 0) >= store.clockMs, 'the estimate that lease ends use is not behind')
    assert.ok(rows.getTimeSinceAnswerMs() >= 80, 'the time since an answer counts from the call')
  })
})
