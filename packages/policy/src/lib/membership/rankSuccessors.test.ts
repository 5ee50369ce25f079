/**
 * Tests which daemon should own a shard if daemons differ in speed.
 */
import { assert, describe } from '@vanillathread/testing'
import { rankSuccessors, shouldHandOver } from './rankSuccessors.js'

const small = Array.from({ length: 6 }, (_unused, index) => ({ name: `small-${index}`, speed: 0.324 }))
const large = Array.from({ length: 3 }, (_unused, index) => ({ name: `large-${index}`, speed: 1.35 }))

describe('rankSuccessors', ({ it }) => {
  it('ranks all fast daemons before all slow ones, in an order that depends on the key', () => {
    const orders = new Set<string>()
    for (let token = 0; token < 20; token++) {
      const ranked = rankSuccessors(`main/${token}`, [...small, ...large])
      assert.is(ranked.length, 9)
      assert.ok(ranked.slice(0, 3).every((name) => name.startsWith('large')))
      orders.add(ranked.join())
    }
    assert.ok(orders.size > 10)
  })

  it('treats daemons of similar speed alike', () => {
    const first = new Set<string | undefined>()
    for (let token = 0; token < 40; token++) first.add(rankSuccessors(`main/${token}`, [{ name: 'a', speed: 1 }, { name: 'b', speed: 0.8 }])[0])
    assert.is(first.size, 2)
  })
})

describe('shouldHandOver', ({ it }) => {
  it('is true only if another daemon is much faster, so that no two daemons pass a shard to and fro', () => {
    const all = [...small, ...large, { name: 'middle', speed: 0.8 }]
    for (const a of all) {
      for (const b of all) assert.not.ok(shouldHandOver(a, [b]) && shouldHandOver(b, [a]))
    }
    assert.is(shouldHandOver(small[0] ?? { name: '', speed: 0 }, large), true)
    assert.is(shouldHandOver(large[0] ?? { name: '', speed: 0 }, all), false)
  })
})
