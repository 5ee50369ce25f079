/**
 * Tests that the lenders on the sides of a network partition together stay within the slots of each endpoint.
 */
import fc from 'fast-check'
import { assert, describe } from '@vanillathread/testing'
import { CreditHolder } from './CreditHolder.js'
import { CreditLedger } from './CreditLedger.js'

const CREDIT_TTL_MS = 5_000
const ATTEMPT_HOLD_MS = 10_000
const ENDPOINT_ID = 'endpoint'
const SEED = 20261204

/** Returns the slots that the lender of one side lends to a busy daemon. */
function countLent (slots: number, names: readonly string[], side: ReadonlySet<string>): number {
  const ledger = CreditLedger.create({ creditTtlMs: CREDIT_TTL_MS, maxSlotHoldMs: ATTEMPT_HOLD_MS })
  ledger.setEndpoints([{ endpointId: ENDPOINT_ID, zone: 'z', slots }])
  ledger.setMembers(names.map((name) => ({ name, holderId: `${name}:1`, suspected: !side.has(name) })))
  const holder = CreditHolder.create({ daemonId: `${[...side][0] ?? ''}:1`, zone: 'z', creditTtlMs: CREDIT_TTL_MS })
  ledger.applyReport(holder.createReport(100, 0), 0)
  const grant = ledger.allocate(0).get(holder.createReport(0, 0).daemonId)
  return grant?.limits.get(ENDPOINT_ID) ?? 0
}

/** Divides the daemons into sides, each with at least one daemon. */
function divide (names: readonly string[], sideOf: readonly number[]): Array<Set<string>> {
  const sides = new Map<number, Set<string>>()
  names.forEach((name, index) => {
    const side = sideOf[index] ?? 0
    sides.set(side, (sides.get(side) ?? new Set()).add(name))
  })
  return [...sides.values()]
}

describe('CreditLedger during a partition', ({ it }) => {
  it('lends every slot of an endpoint on exactly one side, whatever the number of sides, daemons and slots', () => {
    const division = fc.record({ slots: fc.integer({ min: 1, max: 12 }), sideOf: fc.array(fc.nat({ max: 5 }), { minLength: 1, maxLength: 12 }) })
    fc.assert(fc.property(division, ({ slots, sideOf }) => {
      const names = sideOf.map((_side, index) => `daemon-${index}`)
      const lent = divide(names, sideOf).map((side) => countLent(slots, names, side))
      const sum = lent.reduce((total, count) => total + count, 0)
      if (sum !== slots) throw new Error(`${lent.join(' + ')} of ${slots} slots are lent`)
    }), { seed: SEED, numRuns: 300 })
  })

  it('lends the only slot of an endpoint on one side of two', () => {
    const names = ['a', 'b', 'c']
    const lent = [countLent(1, names, new Set(['a'])), countLent(1, names, new Set(['b', 'c']))]
    assert.equal(lent.sort(), [0, 1])
  })

  it('lends a lone daemon its part, which differs by at most one slot from that of any other', () => {
    const names = Array.from({ length: 9 }, (_, index) => `daemon-${index}`)
    const lent = names.map((name) => countLent(8, names, new Set([name])))
    assert.equal(lent.sort(), [0, 1, 1, 1, 1, 1, 1, 1, 1])
  })
})
