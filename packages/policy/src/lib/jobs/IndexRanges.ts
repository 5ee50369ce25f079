/**
 * A set of whole numbers as sorted, disjoint ranges. It takes little memory if most of its numbers follow each other.
 */

/** A range of whole numbers: the first one, and the one after the last. @public */
export type IndexRange = readonly [from: number, to: number]

/** A set of whole numbers that need not be listed one by one. */
export class IndexRanges {
  private readonly ranges: Array<[from: number, to: number]> = []
  private count = 0

  private constructor () {}

  static create (ranges: Iterable<IndexRange> = []): IndexRanges {
    const set = new IndexRanges()
    for (const [from, to] of ranges) set.addRange(from, to)
    return set
  }

  /** Number of numbers in the set. */
  get size (): number {
    return this.count
  }

  has (index: number): boolean {
    const range = this.ranges[this.findFirstEndingAfter(index)]
    return range !== undefined && range[0] <= index
  }

  add (index: number): void {
    this.addRange(index, index + 1)
  }

  addRange (from: number, to: number): void {
    if (to <= from) return
    // Ranges that touch the new one are joined with it.
    const first = this.findFirstEndingAfter(from - 1)
    let last = first
    let joined: [from: number, to: number] = [from, to]
    for (let range = this.ranges[last]; range !== undefined && range[0] <= to; range = this.ranges[last]) {
      joined = [Math.min(joined[0], range[0]), Math.max(joined[1], range[1])]
      this.count -= range[1] - range[0]
      last += 1
    }
    this.ranges.splice(first, last - first, joined)
    this.count += joined[1] - joined[0]
  }

  /** Returns the first number from `index` on that is not in the set. */
  nextAbsent (index: number): number {
    const range = this.ranges[this.findFirstEndingAfter(index)]
    return range !== undefined && range[0] <= index ? range[1] : index
  }

  /** Returns how many numbers below `limit` are in the set. */
  countBelow (limit: number): number {
    let count = 0
    for (const [from, to] of this.ranges) {
      if (from >= limit) break
      count += Math.min(to, limit) - from
    }
    return count
  }

  toRanges (): IndexRange[] {
    return this.ranges.map(([from, to]) => [from, to])
  }

  /** Returns the place of the first range that ends after a number. */
  private findFirstEndingAfter (index: number): number {
    let low = 0
    let high = this.ranges.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.ranges[middle]?.[1] ?? Infinity) > index) high = middle
      else low = middle + 1
    }
    return low
  }
}
