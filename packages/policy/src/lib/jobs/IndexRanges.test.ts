/**
 * The set of ranges beside a plain set.
 */
import fc from 'fast-check'
import { assert, describe } from '@vanillathread/testing'
import { IndexRanges } from './IndexRanges.js'

const LIMIT = 60

describe('IndexRanges', ({ it }) => {
  it('holds the same numbers as a set, whatever is added in which order', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(LIMIT), fc.nat(6)), { maxLength: 30 }), (added) => {
      const ranges = IndexRanges.create()
      const set = new Set<number>()
      for (const [from, length] of added) {
        ranges.addRange(from, from + length)
        for (let index = from; index < from + length; index++) set.add(index)
      }
      const copy = IndexRanges.create(ranges.toRanges())
      for (let index = 0; index <= LIMIT + 7; index++) {
        assert.is(copy.has(index), set.has(index))
        let absent = index
        while (set.has(absent)) absent += 1
        assert.is(copy.nextAbsent(index), absent)
        assert.is(copy.countBelow(index), [...set].filter((each) => each < index).length)
      }
      assert.is(copy.size, set.size)
      assert.ok(ranges.toRanges().every(([from, to], index, all) => from < to && to < (all[index + 1]?.[0] ?? Infinity)), 'ranges are disjoint and do not touch')
    }))
  })
})
