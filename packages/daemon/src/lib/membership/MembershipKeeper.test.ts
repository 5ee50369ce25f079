/**
 * Checks that the row of a daemon that has left does not stay in the table.
 */
import { delay, FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { EventCode, Result, type Settings } from '@vanillathread/model'
import { MemoryTable, PlatformErrorKind, type TableService, type TableTransaction } from '@vanillathread/ports'
import { RandomSource } from '@vanillathread/policy'
import { assert, describe } from '@vanillathread/testing'
import { DaemonState } from '../DaemonState.js'
import { membershipOptions } from '../options.js'
import { PeerMessageKind, type PeerMessage } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import { DAEMON_ROW_PREFIX, MembershipKeeper } from './MembershipKeeper.js'

/** Latency of a transaction. */
const LATENCY_MS = 50

/** Time within which a row that nobody writes any more is removed. */
const REMOVAL_MS = membershipOptions.staleRowAfterMs + 3 * membershipOptions.tableSyncPeriodMs

/** Daemons that share a table with latency, and get each other's messages. */
class Group {
  readonly timers = FakeTimerService.create()
  readonly log = MemoryEventLog.create()
  readonly table = MemoryTable.create()
  /** True if transactions are refused. */
  refusesWrites = false
  private readonly handlers: Array<(message: PeerMessage) => void> = []

  static create (): Group {
    return new Group()
  }

  async add (id: string): Promise<MembershipKeeper> {
    const keeper = MembershipKeeper.create({
      settings: { daemon: { id, region: 'r', zone: 'z' }, seeds: [] } as unknown as Settings,
      state: DaemonState.create({ daemonId: id, incarnation: 1 }),
      peerAddress: { host: id, port: 1 },
      table: this.connect(),
      network: this.createNetwork(),
      timers: this.timers,
      log: this.log,
      random: RandomSource.create(1),
    })
    const started = keeper.start()
    await this.timers.advance(0)
    await this.timers.advance(4 * LATENCY_MS)
    await started
    return keeper
  }

  async hasRow (id: string): Promise<boolean> {
    const res = await this.table.read(DAEMON_ROW_PREFIX + id)
    return res.ok && res.value !== undefined
  }

  private connect (): TableService {
    const { table, timers } = this
    return {
      read: (key) => table.read(key),
      readChanges: (prefix, since) => table.readChanges(prefix, since),
      transact: async (transaction: TableTransaction) => {
        if (this.refusesWrites) return Result.err({ kind: PlatformErrorKind.Unavailable as const, reason: 'refused' })
        // A transaction of one write is carried out later than a removal that is sent at the same time.
        const isRemoval = transaction.writes.every(({ value }) => value === undefined)
        await delay(timers, isRemoval ? 1 : LATENCY_MS)
        return table.transact(transaction)
      },
    }
  }

  private createNetwork (): PeerNetwork {
    return {
      on: (kind: PeerMessageKind, handler: (message: PeerMessage, reply: () => void) => void) => {
        if (kind === PeerMessageKind.Heartbeat) this.handlers.push((message) => handler(message, () => {}))
      },
      send: (_address: unknown, message: PeerMessage) => { for (const handle of this.handlers) handle(message) },
      sendExpectingReply: (_address: unknown, message: PeerMessage) => { for (const handle of this.handlers) handle(message) },
    } as unknown as PeerNetwork
  }
}

describe('MembershipKeeper', ({ describe }) => {
  describe('row of a daemon that leaves', ({ it }) => {
    it('is not written again by a sync that was in progress', async () => {
      const group = Group.create()
      const keeper = await group.add('a')
      await group.timers.advance(membershipOptions.tableSyncPeriodMs - 4 * LATENCY_MS + 1)
      const left = keeper.leave()
      await group.timers.advance(10 * LATENCY_MS)
      await left
      assert.is(await group.hasRow('a'), false)
    })

    it('is removed by another daemon if its own removal failed, which is logged', async () => {
      const group = Group.create()
      const other = await group.add('b')
      const keeper = await group.add('a')
      await group.timers.advance(2 * membershipOptions.tableSyncPeriodMs)
      group.refusesWrites = true
      await keeper.leave()
      group.refusesWrites = false
      assert.is(await group.hasRow('a'), true)
      assert.equal(group.log.records.filter(({ code }) => code === EventCode.MemberRowKept).map(({ fields }) => fields), [{ daemonId: 'a', reason: 'unavailable' }])
      await group.timers.advance(REMOVAL_MS)
      assert.is(await group.hasRow('a'), false)
      assert.is(await group.hasRow('b'), true)
      other.dispose()
    })

    it('stays while its daemon is not suspected, although the row does not change', async () => {
      const group = Group.create()
      const other = await group.add('b')
      const keeper = await group.add('a')
      await group.timers.advance(2 * membershipOptions.tableSyncPeriodMs)
      keeper.dispose()
      const beats = group.timers.every(membershipOptions.heartbeatPeriodMs, () => keeper.beat())
      await group.timers.advance(2 * REMOVAL_MS)
      assert.is(await group.hasRow('a'), true)
      beats.dispose()
      other.dispose()
    })
  })
})
