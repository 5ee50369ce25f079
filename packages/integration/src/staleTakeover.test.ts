/**
 * A daemon that suspects an owner while another one takes the shard over.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import type { Address } from '@vanillathread/model'
import { RandomSource } from '@vanillathread/policy'
import { encodeRow, PeerMessageKind, ShardOwnership, type ShardOwnershipOptions } from '@vanillathread/daemon'
import { StoreStandIn } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { MemoryPeerNetwork } from './lib/jobs/MemoryPeerNetwork.js'

const OWNER_ROW = { table: 'shards', part: 'main', key: 'owner' }
const HEARTBEAT_ROW = { table: 'beats', part: 'main', key: 'owner' }

function toAddress (host: string): Address {
  return { host, port: 1 }
}

function encodeOwner (owner: string, generation: number): Uint8Array<ArrayBuffer> {
  return encodeRow({ owner, host: owner, port: 1, generation, leaseEndsKeptSince: 1 })
}

describe('daemon that reads the heartbeat of a suspected owner', ({ it }) => {
  it('does not take over from a new owner whose heartbeat arrives during the read, as it would use the lease ends of the former one', async () => {
    const timers = FakeTimerService.create()
    const store = StoreStandIn.create({ timers, random: RandomSource.create(1) })
    const network = MemoryPeerNetwork.create(timers)
    const [own, next, former] = ['own', 'next', 'former'].map((host) => network.connect(toAddress(host)))
    for (const transport of [own, next, former]) await transport?.listen()
    await timers.advance(20_000)
    const version = store.put(OWNER_ROW, encodeOwner('former', 5))
    store.put(HEARTBEAT_ROW, encodeRow({ atMs: Math.round(store.clockMs - 6_000) }))
    const rows = store.connect()
    const readRange = rows.readRange.bind(rows)
    let takenOver = false
    rows.readRange = async (range) => {
      const page = await readRange(range)
      if (range.table !== HEARTBEAT_ROW.table || takenOver) return page
      takenOver = true
      const res = store.transact({
        conditions: [{ ...OWNER_ROW, version }],
        puts: [{ ...OWNER_ROW, value: encodeOwner('next', 6) }, { ...HEARTBEAT_ROW, value: encodeRow({ atMs: Math.round(store.clockMs) }) }],
        removes: [],
      })
      next?.send(toAddress('own'), { kind: PeerMessageKind.ShardHeartbeat, shard: 'main', owner: 'next', address: toAddress('next'), fencingToken: res.ok ? res.value.version : 0, storeSilentMs: 0 })
      await new Promise<void>((resolve) => { timers.after(5, resolve) })
      return page
    }
    const unanswered = new Proxy({}, { get: () => () => new Promise(() => {}) })
    const ownership = ShardOwnership.create({
      shard: 'main',
      network: own,
      context: { settings: { name: 'own', peer: toAddress('own'), speed: 1, maxLeaseMs: 6_000, stopMs: 900 }, timers, log: MemoryEventLog.create(), rows, feeds: unanswered, vms: unanswered, configuration: { waves: new Map() } },
      members: { candidates: ['own', 'next', 'former'].map((name) => ({ name, speed: 1 })), others: [], recordAnswer: () => {}, removeSilent: () => {}, isKnownAt: () => true },
    } as unknown as ShardOwnershipOptions)
    former?.send(toAddress('own'), { kind: PeerMessageKind.ShardReleased, shard: 'main', fencingToken: version, generation: 5, leasesLeftMs: 300 })
    await timers.advance(3_000)
    assert.is(takenOver, true)
    assert.is(ownership.owner, undefined)
  })
})
