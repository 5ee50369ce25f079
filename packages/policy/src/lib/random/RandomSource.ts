/**
 * Seeded random numbers, so that every decision can be reproduced.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/** Number of distinct values that `nextFloat` can return. */
const FLOAT_STEPS = 2 ** 30

/** A stream of random numbers. @public */
export class RandomSource {
  private constructor (private readonly generator: RandomGenerator) {}

  static create (seed: number): RandomSource {
    return new RandomSource(xoroshiro128plus(seed))
  }

  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  nextBelow (limit: number): number {
    return uniformInt(this.generator, 0, limit - 1)
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFloat (): number {
    return this.nextBelow(FLOAT_STEPS) / FLOAT_STEPS
  }

  /** Returns up to `count` items in random order, each at most once. */
  sample<T> (items: readonly T[], count: number): T[] {
    const rest = [...items]
    const chosen: T[] = []
    while (chosen.length < count && rest.length > 0) {
      const [item] = rest.splice(this.nextBelow(rest.length), 1)
      if (item !== undefined) chosen.push(item)
    }
    return chosen
  }
}
