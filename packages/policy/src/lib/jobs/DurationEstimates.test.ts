/**
 * Predictions of durations from clients' estimates of different quality.
 */
import { assert, describe } from '@vanillathread/testing'
import { RandomSource } from '../random/RandomSource.js'
import { DurationEstimates } from './DurationEstimates.js'

/** Adds runs whose durations vary from 500 to 1,500 ms, with estimates that follow from the durations. */
function learn (toEstimate: (durationMs: number, random: RandomSource) => number): DurationEstimates {
  const random = RandomSource.create(1)
  const estimates = DurationEstimates.create()
  for (let index = 0; index < 200; index++) {
    const durationMs = 500 + random.nextBelow(1_000)
    estimates.addSample('queue', toEstimate(durationMs, random), durationMs)
  }
  return estimates
}

function assertNear (actual: number, expected: number, share: number): void {
  assert.ok(Math.abs(actual / expected - 1) <= share, `${actual} is not near ${expected}`)
}

describe('DurationEstimates', ({ it }) => {
  it('returns the client\'s estimate while no run of the queue has ended', () => {
    assert.is(DurationEstimates.create().getTaskMs('queue', 700), 700)
    assert.is(DurationEstimates.create().findTaskMs('queue', 700, 20), undefined)
  })

  it('follows estimates that predict well, and corrects their bias', () => {
    const halved = learn((durationMs) => durationMs / 2)
    assertNear(halved.getTaskMs('queue', 250), 500, 0.05)
    assertNear(halved.getTaskMs('queue', 750), 1_500, 0.05)
  })

  it('follows the queue\'s mean if the estimates have nothing to do with the durations', () => {
    const useless = learn((_durationMs, random) => 100 + random.nextBelow(5_000))
    assertNear(useless.getTaskMs('queue', 100), 1_000, 0.2)
    assertNear(useless.getTaskMs('queue', 5_000), 1_000, 0.2)
  })

  it('returns the queue\'s mean for a task without an estimate', () => {
    assertNear(learn((durationMs) => durationMs).getTaskMs('queue', 0), 1_000, 0.2)
  })

  it('learns how much longer the longest task of a step takes', () => {
    const estimates = learn((durationMs) => durationMs)
    const before = estimates.getStepMs('queue', 1_000, 6)
    for (let index = 0; index < 100; index++) estimates.addStepSample('queue', 1_000, 1_150, 6)
    assert.ok(before > 1_400)
    assertNear(estimates.getStepMs('queue', 1_000, 6), 1_150, 0.05)
    assertNear(estimates.getStepMs('queue', 1_000, 1), estimates.getTaskMs('queue', 1_000), 0.01)
  })
})
