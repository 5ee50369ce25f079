/**
 * Tests that lent slots stay within the limits for any order of reports, losses and changes of the lender.
 */
import fc from 'fast-check'
import { assert, describe } from '@vanillathread/testing'
import { CreditHolder } from './CreditHolder.js'
import { CreditLedger } from './CreditLedger.js'
import type { CreditGrant, LendableEndpoint } from './credits.js'
import type { LendingMember } from './LendableSlots.js'

const CREDIT_TTL_MS = 5_000
const ATTEMPT_HOLD_MS = 10_000
const ENDPOINTS: LendableEndpoint[] = ['a', 'b', 'c'].map((zone) => ({ endpointId: `endpoint-${zone}`, zone, slots: 8 }))
const SEED = 20261204

function createLedger (): CreditLedger {
  const ledger = CreditLedger.create({ creditTtlMs: CREDIT_TTL_MS, maxSlotHoldMs: ATTEMPT_HOLD_MS })
  ledger.setEndpoints(ENDPOINTS)
  return ledger
}

function createHolder (daemonId: string, zone = 'a'): CreditHolder {
  return CreditHolder.create({ daemonId, zone, creditTtlMs: CREDIT_TTL_MS })
}

function listMembers (...names: string[]): LendingMember[] {
  return names.map((name) => ({ name, holderId: name, suspected: false }))
}

function exchange (ledger: CreditLedger, holders: readonly CreditHolder[], queued: readonly number[], nowMs: number): void {
  const grants = new Map<string, CreditGrant>()
  holders.forEach((holder, index) => {
    const report = holder.createReport(queued[index] ?? 0, nowMs)
    ledger.applyReport(report, nowMs)
    holder.renew(nowMs)
    for (const [daemonId, grant] of ledger.allocate(nowMs)) grants.set(daemonId, grant)
    const unacknowledged = ledger.getUnacknowledged(report.daemonId)
    if (unacknowledged !== undefined) grants.set(report.daemonId, unacknowledged)
    for (const [daemonId, grant] of grants) holders.find((other) => other.createReport(0, nowMs).daemonId === daemonId)?.applyGrant(grant)
  })
}

describe('CreditLedger', ({ it, describe }) => {
  describe('division', ({ it }) => {
    it('gives a lone daemon with demand every slot', () => {
      const ledger = createLedger()
      const holder = createHolder('one')
      exchange(ledger, [holder], [100], 0)
      assert.is(holder.getTotalLimit(0), 24)
    })

    it('moves slots to the daemon with more demand', () => {
      const ledger = createLedger()
      const [busy, calm] = [createHolder('busy'), createHolder('calm', 'b')]
      for (let round = 0; round < 6; round++) exchange(ledger, [calm, busy], [40, 0], round)
      assert.is(calm.getTotalLimit(5) > busy.getTotalLimit(5), true)
      for (let round = 6; round < 20; round++) exchange(ledger, [calm, busy], [0, 40], round)
      assert.is(busy.getTotalLimit(20) >= 20, true)
    })

    it('gives more on endpoints of the holder\'s availability zone', () => {
      const ledger = createLedger()
      const [one, two, three] = [createHolder('one', 'a'), createHolder('two', 'b'), createHolder('three', 'c')]
      for (let round = 0; round < 6; round++) exchange(ledger, [one, two, three], [9, 9, 9], round)
      assert.is(one.getLimit('endpoint-a') > one.getLimit('endpoint-b'), true)
      assert.is(three.getLimit('endpoint-c') > three.getLimit('endpoint-b'), true)
    })

    it('lends every slot if no daemon has demand', () => {
      const ledger = createLedger()
      const holders = [createHolder('one'), createHolder('two'), createHolder('three')]
      for (let round = 0; round < 10; round++) exchange(ledger, holders, [0, 0, 0], round)
      const limits = holders.map((holder) => holder.getTotalLimit(10))
      assert.is(limits.reduce((sum, limit) => sum + limit, 0), 24)
      assert.is(Math.min(...limits) >= 4, true)
    })

    it('lends only the parts of the daemons that are not suspected, and all others on the other side', () => {
      const names = Array.from({ length: 9 }, (_, index) => `daemon-${index}`)
      const lent = [4, 5].map((sideSize) => {
        const ledger = createLedger()
        ledger.setMembers(names.map((name, index) => ({ name, holderId: name, suspected: sideSize === 4 ? index >= 4 : index < 4 })))
        const holder = createHolder('one')
        exchange(ledger, [holder], [100], 0)
        return ENDPOINTS.map(({ endpointId }) => holder.getLimit(endpointId))
      })
      // Each daemon but one has a part of one slot on an endpoint with 8 slots.
      for (const limit of lent[0] ?? []) assert.is(limit === 3 || limit === 4, true, `${limit} slots`)
      assert.equal(ENDPOINTS.map((_endpoint, index) => (lent[0]?.[index] ?? 0) + (lent[1]?.[index] ?? 0)), [8, 8, 8])
    })
  })

  describe('loss', ({ it }) => {
    it('keeps the slots of an unresponsive holder until its attempts have timed out', () => {
      const ledger = createLedger()
      const [lost, live] = [createHolder('lost'), createHolder('live')]
      exchange(ledger, [lost, live], [100, 0], 0)
      const held = lost.getTotalLimit(0)
      const before = CREDIT_TTL_MS + ATTEMPT_HOLD_MS - 1
      ledger.removeExpiredHolders(before)
      for (let round = 0; round < 5; round++) exchange(ledger, [live], [100], before)
      assert.is(live.getTotalLimit(before) <= 24 - held, true)
      ledger.removeExpiredHolders(before + 1)
      for (let round = 0; round < 5; round++) exchange(ledger, [live], [100], before + 1)
      assert.is(live.getTotalLimit(before + 1), 24)
    })

    it('lends no slots that a holder may have from an earlier lender until the holder has reported', () => {
      const ledger = createLedger()
      ledger.setMembers(listMembers('one', 'other'))
      ledger.startTakeover(0)
      ledger.expectReport('other', 0)
      const holder = createHolder('one')
      exchange(ledger, [holder], [100], 0)
      assert.is(holder.getTotalLimit(0), 0)
      exchange(ledger, [createHolder('other'), holder], [0, 100], 1)
      exchange(ledger, [holder], [100], 2)
      assert.is(holder.getTotalLimit(2) > 0, true)
    })

    it('lends slots again that were reported and returned, while the slots of a lost holder are unknown', () => {
      const before = createLedger()
      const [lost, busy, calm] = [createHolder('lost'), createHolder('busy'), createHolder('calm')]
      for (let round = 0; round < 6; round++) exchange(before, [lost, busy, calm], [8, 8, 8], round)
      const held = lost.getTotalLimit(6)
      const after = createLedger()
      after.setMembers(listMembers('lost', 'busy', 'calm'))
      after.startTakeover(0)
      after.expectReport('lost', 6)
      for (let round = 6; round < 20; round++) exchange(after, [busy, calm], [100, 0], round)
      assert.is(busy.getTotalLimit(20) + calm.getTotalLimit(20), 24 - held)
      assert.is(busy.getTotalLimit(20) > calm.getTotalLimit(20), true)
    })

    it('grants slots again after the credits of a holder have expired', () => {
      const ledger = createLedger()
      const holder = createHolder('one')
      exchange(ledger, [holder], [10], 0)
      const laterMs = CREDIT_TTL_MS + 1
      assert.is(holder.getTotalLimit(laterMs), 0)
      exchange(ledger, [holder], [10], laterMs)
      exchange(ledger, [holder], [10], laterMs + 1)
      assert.is(holder.getTotalLimit(laterMs + 1) >= 10, true)
    })
  })

  it('never lets attempts in flight exceed an endpoint\'s slots', () => {
    const holderCount = 4
    const step = fc.record({
      holder: fc.nat({ max: holderCount - 1 }),
      action: fc.constantFrom('report', 'lose-report', 'deliver', 'drop', 'start', 'end', 'wait'),
      amount: fc.nat({ max: 30 }),
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      const ledger = createLedger()
      const holders = Array.from({ length: holderCount }, (_, index) => createHolder(`daemon-${index}`, ENDPOINTS[index % 3]?.zone))
      const inTransit = new Map<number, CreditGrant[]>()
      let nowMs = 0
      for (const { holder: index, action, amount } of steps) {
        const holder = holders[index] as CreditHolder
        if (action === 'report') {
          const report = holder.createReport(amount, nowMs)
          ledger.applyReport(report, nowMs)
          holder.renew(nowMs)
          for (const [daemonId, grant] of ledger.allocate(nowMs)) {
            const target = Number(daemonId.split('-')[1])
            inTransit.set(target, [...inTransit.get(target) ?? [], grant])
          }
          const again = ledger.getUnacknowledged(report.daemonId)
          if (again !== undefined) inTransit.set(index, [...inTransit.get(index) ?? [], again])
        } else if (action === 'deliver') {
          const [grant, ...rest] = inTransit.get(index) ?? []
          if (grant !== undefined) holder.applyGrant(grant)
          inTransit.set(index, rest)
        } else if (action === 'drop') {
          inTransit.set(index, [])
        } else if (action === 'start') {
          for (const { endpointId } of ENDPOINTS) {
            for (let count = 0; count < amount; count++) holder.acquire(endpointId, nowMs)
          }
        } else if (action === 'end') {
          for (const { endpointId } of ENDPOINTS) {
            if (holder.getInUse(endpointId) > 0) holder.release(endpointId)
          }
        } else if (action === 'wait') {
          // Attempts must end before the ledger counts their slots as free.
          nowMs += amount * 100
          ledger.removeExpiredHolders(nowMs)
          if (amount > 20) for (const other of holders) for (const { endpointId } of ENDPOINTS) while (other.getInUse(endpointId) > 0) other.release(endpointId)
        }
        for (const { endpointId, slots } of ENDPOINTS) {
          const inUse = holders.reduce((sum, other) => sum + other.getInUse(endpointId), 0)
          if (inUse > slots) throw new Error(`${endpointId} has ${inUse} attempts in flight`)
        }
      }
    }), { seed: SEED, numRuns: 300 })
  })
})
