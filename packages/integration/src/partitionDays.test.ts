/**
 * Tests that no partition beside another fault violates an invariant. The times of the faults and the isolated VMs depend on the seed.
 */
import { assert, describe } from '@vanillathread/testing'
import { simulatePartitionDay } from './lib/jobs/simulateRandomDay.js'

/** The third range has seed 2008, on which a VM got a lease by the clock of its former incarnation. */
const FIRST_SEEDS = [1, 1_001, 2_001]
const SEEDS_PER_TEST = 10

describe('no invariant is violated by a partition beside another fault', ({ it }) => {
  for (const firstSeed of FIRST_SEEDS) {
    it(`seeds from ${firstSeed} on`, async () => {
      for (let seed = firstSeed; seed < firstSeed + SEEDS_PER_TEST; seed++) {
        const { violations, incompleteWaves, faults } = await simulatePartitionDay(seed)
        assert.equal({ seed, faults, violations, incompleteWaves }, { seed, faults, violations: [], incompleteWaves: [] })
      }
    })
  }
})
