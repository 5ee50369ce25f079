/**
 * Proofs of an owner's ownership, from the store and from the other daemons.
 */
import { assert, describe } from '@vanillathread/testing'
import { OwnershipProof, type Moment } from './OwnershipProof.js'

const WALL_CLOCK_START_MS = 1_700_000_000_000
const VALID_MS = 2_000

function at (nowMs: number, suspendedMs = 0): Moment {
  return { nowMs, wallClockMs: WALL_CLOCK_START_MS + nowMs + suspendedMs }
}

function createProof (): OwnershipProof {
  return OwnershipProof.create({ provenAt: at(0), validMs: VALID_MS, refreshMs: 1_000, peersForMs: 30_000 })
}

describe('proof of an ownership', ({ it }) => {
  it('ends after its time, as a successor relies on that', () => {
    const proof = createProof()
    assert.is(proof.mayAct(at(2_000)), true)
    assert.is(proof.mayAct(at(2_001)), false)
    proof.record(at(1_500))
    assert.is(proof.mayAct(at(3_500)), true)
  })

  it('ends while the VM of the daemon is suspended, which its steady clock does not count', () => {
    const proof = createProof()
    assert.is(proof.mayAct(at(100, 1_900)), true)
    assert.is(proof.mayAct(at(100, 1_901)), false)
  })

  it('does not go back to an earlier moment if answers overtake each other', () => {
    const proof = createProof()
    proof.record(at(900))
    proof.record(at(200))
    assert.is(proof.provenAtMs, 900)
  })

  it('needs the statements of all other daemons, of which any may have taken over', () => {
    const proof = createProof()
    proof.recordPeer('a', at(1_000), ['a', 'b'])
    assert.is(proof.provenAtMs, 0)
    proof.recordPeer('b', at(1_400), ['a', 'b'])
    assert.is(proof.provenAtMs, 1_000)
    proof.recordPeer('a', at(1_800), ['a', 'b', 'c'])
    assert.is(proof.provenAtMs, 1_000)
  })

  it('comes from the other daemons for a limited time, after which one that the owner does not know takes over', () => {
    const proof = createProof()
    proof.recordPeer('a', at(30_000), ['a'])
    assert.is(proof.provenAtMs, 30_000)
    proof.recordPeer('a', at(30_001), ['a'])
    assert.is(proof.provenAtMs, 30_000)
    proof.record(at(31_000))
    proof.recordPeer('a', at(61_000), ['a'])
    assert.is(proof.provenAtMs, 61_000)
  })
})
