/**
 * Paths of calls to the store under resets, silence, lost and slow answers, and an outage for all daemons.
 */
import { assert, describe } from '@vanillathread/testing'
import { chooseStorePath, type StorePathState } from './chooseStorePath.js'

const peer = (name: string, answerAgoMs = 50, failedAgoMs = Infinity) => ({ name, answerAgoMs, failedAgoMs })

function choose (state: Partial<StorePathState>): string | undefined {
  return chooseStorePath({ directUnansweredMs: undefined, noticedAgoMs: 100, directFailed: false, overdueAfterMs: 100, peers: [peer('a', 80), peer('b', 20)], earlier: [], ...state })
}

describe('chooseStorePath', ({ it }) => {
  it('stays direct while the direct path answers, also for a repeated attempt: a lost answer must not load other daemons', () => {
    assert.is(choose({}), undefined)
    assert.is(choose({ earlier: [undefined] }), undefined)
  })

  it('sends the second attempt through the peer that the store answered last, and first attempts too once the path is lost', () => {
    assert.is(choose({ directUnansweredMs: 100 }), undefined)
    assert.is(choose({ directUnansweredMs: 100, earlier: [undefined] }), 'b')
    assert.is(choose({ directUnansweredMs: 260 }), 'b')
    assert.is(choose({ directUnansweredMs: 5, directFailed: true }), 'b')
  })

  it('does not take a busy process, which has not read the answers yet, for a lost path', () => {
    assert.is(choose({ directUnansweredMs: 700, noticedAgoMs: 0 }), undefined)
    assert.is(choose({ directUnansweredMs: 760, noticedAgoMs: 60 }), 'b')
  })

  it('does not take a slow store for a lost path', () => {
    assert.is(choose({ directUnansweredMs: 900, overdueAfterMs: 600 }), undefined)
    assert.is(choose({ directUnansweredMs: 1_250, overdueAfterMs: 600 }), 'b')
  })

  it('takes another peer if one does not answer, and its own path if none is left', () => {
    assert.is(choose({ directUnansweredMs: 400, earlier: ['b'] }), 'a')
    assert.is(choose({ directUnansweredMs: 400, earlier: ['b', 'a'] }), undefined)
    assert.is(choose({ directUnansweredMs: 400, peers: [peer('a', 80), peer('b', 20, 700)] }), 'a')
  })

  it('sends nothing through peers that are cut off too, as in an outage for all daemons', () => {
    assert.is(choose({ directUnansweredMs: 1_600, peers: [peer('a', 1_600), peer('b', 1_700)] }), undefined)
    assert.is(choose({ directUnansweredMs: 400, peers: [] }), undefined)
  })
})
