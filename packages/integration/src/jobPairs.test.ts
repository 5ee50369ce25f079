/**
 * Tests that no pair of faults, including each fault with itself, violates an invariant or leaves a maintenance wave incomplete.
 * The times of the faults depend on the seed. Each test pairs the fault in its title with itself and every fault listed after it.
 */
import { assert, describe } from '@vanillathread/testing'
import { simulateDay, FAULT_NAMES } from './lib/jobs/simulateRandomDay.js'

describe('no invariant is violated under any pair of faults that begins with', ({ it }) => {
  FAULT_NAMES.forEach((first, index) => {
    it(first, async () => {
      for (const [offset, second] of FAULT_NAMES.slice(index).entries()) {
        const seed = 100 * index + offset
        const day = await simulateDay(seed, () => [first, second])
        assert.equal({ seed, second, broken: day.violations, waves: day.incompleteWaves }, { seed, second, broken: [], waves: [] })
      }
    })
  })
})
