/**
 * Which writes wait for the next transaction.
 */
import { assert, describe } from '@vanillathread/testing'
import { decideWriteStart } from './decideWriteStart.js'

describe('decideWriteStart', ({ it }) => {
  it('sends at once while the store answers soon', () => {
    assert.ok(decideWriteStart([], 1_000))
    assert.ok(decideWriteStart([995, 998, 999], 1_000))
  })

  it('bounds the transactions in flight', () => {
    assert.not.ok(decideWriteStart([995, 997, 998, 999], 1_000))
  })

  it('waits for the answer to a transaction that takes long', () => {
    assert.not.ok(decideWriteStart([900], 1_000))
  })
})
