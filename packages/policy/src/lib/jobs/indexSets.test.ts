/**
 * Compact sets of indexes, and values of tasks.
 */
import { assert, describe } from '@vanillathread/testing'
import { RandomSource } from '../random/RandomSource.js'
import { decodeIndexes, decodeValues, encodeIndexes, encodeValues } from './indexSets.js'

const LIMIT = 100_000

function range (from: number, to: number): number[] {
  return Array.from({ length: to - from }, (_, offset) => from + offset)
}

describe('indexSets', ({ it }) => {
  // Guards against lost progress: what is read is not what was stored.
  it('decodes what it has encoded, for sets of any density', () => {
    const random = RandomSource.create(1)
    const sets = [[], [0], [LIMIT - 1], range(0, LIMIT), range(70_000, 90_000), [0, 127, 128, 129, 16_383, 16_384, 99_999]]
    for (const share of [0.001, 0.01, 0.1, 0.5, 0.9, 0.999]) sets.push(range(0, 5_000).filter(() => random.nextFloat() < share))
    for (const indexes of sets) assert.equal(decodeIndexes(encodeIndexes(indexes), LIMIT), indexes, `${indexes.length} indexes`)
  })

  it('takes little more than a bit for each index at worst, and a few bytes for indexes that follow each other', () => {
    assert.ok(encodeIndexes(range(0, LIMIT).filter((index) => index % 2 === 0)).length <= LIMIT / 8 + 1)
    assert.ok(encodeIndexes(range(0, LIMIT)).length <= 5)
    assert.ok(encodeIndexes([LIMIT - 1]).length <= 5)
  })

  it('leaves out indexes that a step does not have', () => {
    assert.equal(decodeIndexes(encodeIndexes([1, 3, 5, 7]), 5), [1, 3])
    assert.equal(decodeIndexes(encodeIndexes(range(0, 100)), 5), range(0, 5))
    assert.equal(decodeIndexes(Uint8Array.of(1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff), 5), [])
  })

  it('decodes the values of tasks, however many differ', () => {
    const random = RandomSource.create(2)
    for (const kinds of [1, 2, 3, 7, 8, 200]) {
      const entries = range(0, 2_000).filter(() => random.nextFloat() < 0.7).map((index): [number, number[]] => [index, [random.nextBelow(kinds), 5]])
      assert.equal(decodeValues(encodeValues(entries, String), LIMIT), entries, `${kinds} values`)
    }
    assert.equal(decodeValues(encodeValues([], String), LIMIT), [])
  })
})
