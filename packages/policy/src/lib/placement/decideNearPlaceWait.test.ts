/**
 * Waits for near places on the loads that they answer, by what callers get, against never waiting, always waiting and a fixed wait.
 */
import { assert, describe } from '@vanillathread/testing'
import { decideNearPlaceWait, type NearPlaceDecision, type NearPlaceView } from './decideNearPlaceWait.js'
import type { NearPlaceRules } from './NearPlaces.js'
import { playRackLoads, type RackLoad } from './testSupport.js'

const SEEDS = [1, 2, 3]
const FIXED_WAIT_MS = 300

/** Lets all tasks of a step wait until `limitMs` after the step became ready, whatever that costs. */
function waitFor (limitMs: number): (view: NearPlaceView) => NearPlaceDecision {
  return ({ waitsMs, leftMs, taskMs, remoteFactor }) => {
    const untilMs = leftMs - 1_000 + limitMs
    return { waitCount: untilMs > 0 ? waitsMs.length : 0, farCostMs: (remoteFactor - 1) * taskMs, waitCostMs: 0, untilMs }
  }
}

const RULES: Record<'never' | 'fixed' | 'always', Partial<NearPlaceRules>> = {
  never: { maxWaitMs: 0 }, fixed: { decide: waitFor(FIXED_WAIT_MS) }, always: { decide: waitFor(1_000) },
}

/** Loads, each with the least gain of jobs in time over never waiting that callers must see. */
const LOADS: Array<[name: string, load: RackLoad, minGain: number]> = [
  ['hot rack in a full pool', { utilization: 0.75, hotShare: 0.35 }, 0.1],
  ['hot rack in an empty pool', { utilization: 0.4, hotShare: 0.6 }, 0],
  ['even load', { utilization: 0.7, hotShare: 0 }, 0.05],
  ['3% of the tasks take seven times as long', { utilization: 0.6, hotShare: 0.3, longShare: 0.03 }, 0],
  ['estimates off by 0.9', { utilization: 0.6, hotShare: 0.3, estimateError: 0.9 }, 0],
  ['gangs beside many small tasks', { utilization: 0.8, hotShare: 0, plainShare: 1, gangsPerSecond: 2, lengthMs: 30_000 }, 0],
]

describe('decideNearPlaceWait', ({ it }) => {
  for (const [name, load, minGain] of LOADS) {
    it(`gives callers more than never waiting, and no less in time than a fixed wait: ${name}`, () => {
      const decided = playRackLoads(load, SEEDS, {})
      const never = playRackLoads(load, SEEDS, RULES.never)
      const fixed = playRackLoads(load, SEEDS, RULES.fixed)
      const seen = JSON.stringify({ decided, never, fixed })
      assert.ok(decided.inTime >= never.inTime + minGain && decided.inTime >= fixed.inTime - 0.005, seen)
      assert.ok(decided.meanMs + decided.gangMeanMs < never.meanMs + never.gangMeanMs, seen)
    })
  }

  it('does not wait as always waiting does where a rack is full and others are empty', () => {
    const load = { utilization: 0.4, hotShare: 0.6 }
    assert.ok(playRackLoads(load, SEEDS, {}).inTime > playRackLoads(load, SEEDS, RULES.always).inTime + 0.02)
  })

  it('lets no task of a step wait if another has to start in a far place, unless the pool is full', () => {
    const view = { waitsMs: [50, Infinity], taskMs: 1_000, remoteFactor: 2, slackMs: 900, leftMs: 800, isPoolFull: false }
    assert.is(decideNearPlaceWait(view).waitCount, 0)
    assert.is(decideNearPlaceWait({ ...view, isPoolFull: true }).waitCount, 1)
    assert.is(decideNearPlaceWait({ ...view, waitsMs: [50, 60], slackMs: 55 }).waitCount, 0)
  })
})
