/**
 * Checks which connections and requests give way when a server holds too much, and when a connection has taken too long.
 */
import { assert, describe } from '@vanillathread/testing'
import { ConnectionAccount, ConnectionLedger, OverdueReason } from './ConnectionLedger.js'
import { deriveServerLimits, ServerRole, type ServerLimits } from './deriveServerLimits.js'

const LIMITS: ServerLimits = { maxConnections: 3, maxCost: 100_000, maxOpenRequests: 2, costPerByte: 4 }
const TIMEOUTS = { headerMs: 3_000, idleMs: 15_000, bodyMs: 60_000 }

function openAt (ledger: ConnectionLedger, openedAtMs: number): ConnectionAccount {
  const account = new ConnectionAccount(openedAtMs)
  ledger.open(account)
  return account
}

/** Opens a connection that has begun to send a body. */
function openUnfinished (ledger: ConnectionLedger, nowMs: number): ConnectionAccount {
  const account = openAt(ledger, nowMs)
  ledger.beginBody(account, nowMs)
  return account
}

describe('deriveServerLimits', ({ it }) => {
  // Guards against limits that hold on one size of VM only.
  it('leaves descriptors to files and to connections of the daemon, and memory to its heap, on every VM', () => {
    for (const memoryBytes of [160e6, 256e6, 600e6]) {
      for (const descriptors of [512, 4_100, 8_192]) {
        const limits = Object.values(ServerRole).map((role) => deriveServerLimits({ memoryBytes, descriptors }, role))
        const [clients, , peers, operations] = limits
        // Clients or callers, other daemons, and three servers for operations.
        const connections = (clients?.maxConnections ?? 0) + (peers?.maxConnections ?? 0) + 3 * (operations?.maxConnections ?? 0)
        assert.ok(connections <= (descriptors - 200) * 0.85, `${connections} connections of ${descriptors} descriptors`)
        assert.ok((clients?.maxCost ?? 0) + (peers?.maxCost ?? 0) + 3 * (operations?.maxCost ?? 0) <= memoryBytes / 4)
      }
    }
  })

  // Guards against limits that refuse clients inside the configuration's.
  it('lets several requests of the largest size in at a time on the smallest VM', () => {
    const { maxCost } = deriveServerLimits({ memoryBytes: 160e6, descriptors: 512 }, ServerRole.Clients)
    assert.ok(maxCost >= 8 * (262_144 + 16_384))
  })
})

describe('ConnectionLedger', ({ describe }) => {
  describe('with too many connections', ({ it }) => {
    // Guards against a crowd of new connections that locks ordinary callers out.
    it('gives up the one that has been quiet for longest, first one that has not sent a whole request', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const [used, silent] = [openAt(ledger, 0), openAt(ledger, 500)]
      ledger.endCall(used, ledger.beginCall(used, 0))
      used.lastActiveMs = 100
      const fresh = openAt(ledger, 990)
      assert.is(ledger.open(new ConnectionAccount(1_000)), silent)
      ledger.close(silent)
      assert.is(ledger.open(new ConnectionAccount(1_010)), used)
      ledger.close(used)
      assert.is(ledger.open(new ConnectionAccount(1_020)), fresh)
    })

    // Guards against closing a connection whose job is being stored.
    it('gives up none whose request is being handled, but the new one', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      for (let index = 0; index < 3; index++) ledger.beginCall(openAt(ledger, index), 0)
      const fresh = new ConnectionAccount(10_000)
      assert.is(ledger.open(fresh), fresh)
    })
  })

  describe('with unfinished requests that cost too much', ({ it }) => {
    // Guards against an ordinary request that is refused because of a crowd's.
    it('refuses the one that has held most for longest', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const [large, old, ordinary] = [openUnfinished(ledger, 1_000), openUnfinished(ledger, 0), openUnfinished(ledger, 1_990)]
      assert.equal(ledger.charge(large, 40_000, 1, 1_000), [])
      assert.equal(ledger.charge(old, 25_000, 1, 1_000), [])
      const refused = ledger.charge(ordinary, 9_000, 1, 2_000)
      assert.equal([refused.length, refused[0]], [1, old])
      assert.equal(ledger.charge(ordinary, 1_000, 1, 2_000), [])
    })

    // Guards against parts whose objects take more than their bytes.
    it('counts small parts by the objects that they are', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const [account] = [openUnfinished(ledger, 0), openUnfinished(ledger, 0)]
      assert.equal(ledger.charge(account as ConnectionAccount, 1_000, 100, 10), [account])
    })

    // Guards against refusing a client inside the limits that is alone.
    it('lets the only one go on, whatever it costs', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      assert.equal(ledger.charge(openUnfinished(ledger, 0), 200_000, 1, 10), [])
    })

    // Guards against giving up a request that would free nothing, or one that is being handled.
    it('leaves requests alone that are being handled', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const [busy, other] = [openUnfinished(ledger, 0), openUnfinished(ledger, 0)]
      ledger.beginCall(busy, 0)
      assert.equal(ledger.charge(busy, 70_000, 1, 10), [])
      assert.equal(ledger.charge(other, 10_000, 1, 10), [other])
    })
  })

  describe('with whole requests', ({ it }) => {
    // Guards against clients that send a request and leave, again and again.
    it('refuses further ones once the calls cost too much, also of clients that have gone, and never the only one', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const gone = openAt(ledger, 0)
      assert.is(ledger.canBeginCall(1_000_000), true)
      const cost = ledger.beginCall(gone, 18_000)
      ledger.close(gone)
      assert.equal([ledger.canBeginCall(1_000), ledger.isFull()], [true, false])
      assert.is(ledger.canBeginCall(20_000), false)
      ledger.endCall(gone, cost)
      assert.equal([ledger.canBeginCall(20_000), ledger.cost], [true, 0])
    })

    // Guards against accounts that stay after a connection has ended.
    it('limits the open requests of a connection', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const account = openAt(ledger, 0)
      for (const expected of [true, true, false]) {
        assert.is(ledger.canOpenRequest(account), expected)
        ledger.openRequest(account, 10)
      }
      ledger.close(account)
      assert.is(ledger.cost, 0)
    })
  })

  describe('with heads', ({ it }) => {
    // Guards against heads of thousands of short fields.
    it('counts the fields of whole requests and the bytes of unfinished heads', () => {
      const ledger = ConnectionLedger.create(LIMITS)
      const [many, head, other] = [openAt(ledger, 0), openAt(ledger, 0), openAt(ledger, 0)]
      const cost = ledger.openRequest(many, 700)
      assert.is(ledger.isFull(), true)
      ledger.closeRequest(many, cost)
      assert.equal([ledger.isFull(), ledger.cost], [false, 0])
      for (const account of [head, other]) ledger.beginUnfinished(account, 0)
      assert.equal(ledger.chargeHead(head, 6_000, 10), [])
      assert.equal(ledger.chargeHead(head, 6_000, 20), [])
      assert.equal(ledger.chargeHead(other, 4_000, 20), [head])
    })
  })

  describe('listOverdue', ({ it }) => {
    // Guards against closing connections that are in time, and against keeping those that are not.
    it('names connections by what they have not done in time', () => {
      const ledger = ConnectionLedger.create({ ...LIMITS, maxConnections: 10 })
      const head = openAt(ledger, 0)
      ledger.beginUnfinished(head, 0)
      const body = openUnfinished(ledger, 0)
      const unread = openAt(ledger, 0)
      unread.unsentBytes = 1
      const idle = openAt(ledger, 0)
      ledger.beginCall(openAt(ledger, 0), 0)
      const list = (nowMs: number) => ledger.listOverdue(nowMs, TIMEOUTS).map(({ account, reason }) => [[head, body, unread, idle].indexOf(account), reason])
      assert.equal(list(3_000), [])
      assert.equal(list(3_001), [[0, OverdueReason.Head]])
      assert.equal(list(15_001), [[0, OverdueReason.Head], [1, OverdueReason.Body], [2, OverdueReason.Answer], [3, OverdueReason.Idle]])
      for (const account of [body, unread, idle]) account.lastActiveMs = 60_000
      assert.equal(list(60_000), [[0, OverdueReason.Head]])
      assert.equal(list(60_001), [[0, OverdueReason.Head], [1, OverdueReason.Body]])
    })
  })
})
