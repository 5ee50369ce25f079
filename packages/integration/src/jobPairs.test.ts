/**
 * Tests every pair of faults, including each fault with itself, at times that depend on the seed.
 */
import { assert, describe } from '@vanillathread/testing'
import { simulateDay, FAULT_NAMES } from './lib/jobs/simulateRandomDay.js'

describe('pairs of faults', ({ it }) => {
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
