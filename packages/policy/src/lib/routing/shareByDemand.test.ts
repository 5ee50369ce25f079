/**
 * Compares the division of slots with a naive one that gives them out one at a time, and tests rendezvous hashing.
 */
import fc from 'fast-check'
import { assert, describe } from '@vanillathread/testing'
import { getRendezvousOwner, rankByRendezvous } from './rendezvous.js'
import { shareByDemand, type SlotDemand } from './shareByDemand.js'

const SEED = 20261204

/** Gives each slot to the daemon with the fewest slots among those with unmet demand. Slots beyond the total demand are not given. */
function shareOneByOne (total: number, demands: readonly SlotDemand[]): Map<string, number> {
  const shares = new Map(demands.map(({ daemonId }) => [daemonId, 0]))
  for (let slot = 0; slot < total; slot++) {
    const wanting = demands.filter(({ daemonId, demand }) => (shares.get(daemonId) ?? 0) < demand)
    const [next] = wanting.sort((a, b) => (shares.get(a.daemonId) ?? 0) - (shares.get(b.daemonId) ?? 0))
    if (next === undefined) break
    shares.set(next.daemonId, (shares.get(next.daemonId) ?? 0) + 1)
  }
  return shares
}

const demandsArbitrary = fc.uniqueArray(fc.record({ daemonId: fc.string({ minLength: 1, maxLength: 3 }), demand: fc.nat({ max: 40 }) }), {
  minLength: 1, maxLength: 9, selector: ({ daemonId }) => daemonId,
})

describe('shareByDemand', ({ it }) => {
  it('gives away every slot, and each daemon at most one less than the naive division', () => {
    fc.assert(fc.property(fc.nat({ max: 80 }), demandsArbitrary, (total, demands) => {
      const shares = shareByDemand(total, demands)
      const naive = shareOneByOne(total, demands)
      assert.is([...shares.values()].reduce((sum, share) => sum + share, 0), total)
      for (const { daemonId } of demands) assert.is((shares.get(daemonId) ?? 0) >= (naive.get(daemonId) ?? 0) - 1, true)
    }), { seed: SEED })
  })
})

describe('rendezvous', ({ it }) => {
  it('moves only the keys of a removed candidate', () => {
    const candidates = ['a', 'b', 'c', 'd']
    for (let key = 0; key < 200; key++) {
      const owner = getRendezvousOwner(`key-${key}`, candidates)
      assert.is(owner, rankByRendezvous(`key-${key}`, candidates)[0])
      if (owner !== 'd') assert.is(getRendezvousOwner(`key-${key}`, ['a', 'b', 'c']), owner)
    }
  })
})
