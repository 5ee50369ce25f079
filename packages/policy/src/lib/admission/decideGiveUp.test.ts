/**
 * How long requests wait for a silent store, and that refused ones do not return together.
 */
import { assert, describe } from '@vanillathread/testing'
import { decideGiveUp, GiveUpAction } from './decideGiveUp.js'
import { spreadRetryAfter } from './spreadRetryAfter.js'

describe('decideGiveUp', ({ it }) => {
  it('waits for a store that answers any request, however long this one has waited', () => {
    assert.is(decideGiveUp({ silentMs: 1_100, waitedMs: 2_900, recentMs: 10, isProbe: false }), GiveUpAction.Wait)
  })

  it('gives up a request that has just been sent if the store has been silent for others', () => {
    assert.is(decideGiveUp({ silentMs: 1_200, waitedMs: 10, recentMs: 10, isProbe: false }), GiveUpAction.StopSending)
    assert.is(decideGiveUp({ silentMs: 1_300, waitedMs: 10, recentMs: 10, isProbe: false }), GiveUpAction.GiveUp)
  })

  it('waits longer for a store whose answers took long', () => {
    assert.is(decideGiveUp({ silentMs: 2_000, waitedMs: 2_000, recentMs: 700, isProbe: false }), GiveUpAction.Wait)
    assert.is(decideGiveUp({ silentMs: 2_500, waitedMs: 2_500, recentMs: 2_500, isProbe: false }), GiveUpAction.GiveUp)
  })

  it('gives a probe the time in which a slow store answers', () => {
    assert.is(decideGiveUp({ silentMs: 5_000, waitedMs: 590, recentMs: 10, isProbe: true }), GiveUpAction.Wait)
    assert.is(decideGiveUp({ silentMs: 5_000, waitedMs: 700, recentMs: 10, isProbe: true }), GiveUpAction.GiveUp)
  })
})

describe('spreadRetryAfter', ({ it }) => {
  it('spreads jobs that are refused together over a second, about evenly', () => {
    const counts = Array.from({ length: 10 }, () => 0)
    for (let job = 0; job < 1_000; job++) counts[Math.floor((spreadRetryAfter(job.toString(16).padStart(16, '0'), 1_000) - 500) / 100.1)]! += 1
    assert.ok(Math.min(...counts) >= 60 && Math.max(...counts) <= 140, counts.join(', '))
  })
})
