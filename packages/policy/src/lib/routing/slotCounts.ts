/**
 * Counting maps of slots by endpoint.
 */

/** Returns the sum of all counts. */
export function getTotal (counts: ReadonlyMap<string, number>): number {
  let sum = 0
  for (const count of counts.values()) sum += count
  return sum
}

/** Sets a count; a count of nothing is dropped. */
export function setCount (counts: Map<string, number>, key: string, count: number): void {
  if (count > 0) counts.set(key, count)
  else counts.delete(key)
}

/** Adds to a count. */
export function raiseBy (counts: Map<string, number>, key: string, amount: number): void {
  counts.set(key, (counts.get(key) ?? 0) + amount)
}

/** Returns true where both maps hold the same counts. */
export function isSameCounts (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean {
  if (a.size !== b.size) return false
  for (const [key, count] of a) {
    if (b.get(key) !== count) return false
  }
  return true
}
