/**
 * Functions for maps that count slots by endpoint.
 */

/** Returns the sum of all counts. */
export function sumCounts (counts: ReadonlyMap<string, number>): number {
  let sum = 0
  for (const count of counts.values()) sum += count
  return sum
}

/** Sets a count. An entry with a count of 0 or less is removed. */
export function setCount (counts: Map<string, number>, key: string, count: number): void {
  if (count > 0) counts.set(key, count)
  else counts.delete(key)
}

/** Adds an amount, which may be negative, to a count. */
export function addToCount (counts: Map<string, number>, key: string, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

/** Returns true if both maps hold the same counts. */
export function areCountsEqual (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean {
  if (a.size !== b.size) return false
  for (const [key, count] of a) {
    if (b.get(key) !== count) return false
  }
  return true
}
