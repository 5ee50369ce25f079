/**
 * Rendezvous hashing: adding or removing a candidate changes the owner only of the keys that this candidate owns.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
import { createHash } from 'node:crypto'

/** Returns the candidates in the order in which they should own the key, the owner first. @public */
export function rankByRendezvous (key: string, candidates: readonly string[]): string[] {
  const weights = new Map(candidates.map((candidate) => [candidate, getWeight(key, candidate)]))
  return [...candidates].sort((a, b) => (weights.get(b) ?? 0) - (weights.get(a) ?? 0) || a.localeCompare(b))
}

/** Returns the owner of a key, or undefined if there are no candidates. @public */
export function getRendezvousOwner (key: string, candidates: readonly string[]): string | undefined {
  let owner: string | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = getWeight(key, candidate)
    if (weight < highest || (weight === highest && owner !== undefined && candidate > owner)) continue
    owner = candidate
    highest = weight
  }
  return owner
}

function getWeight (key: string, candidate: string): number {
  return createHash('md5').update(key).update('\0').update(candidate).digest().readUIntBE(0, WEIGHT_BYTES)
}

/** Number of bytes of the hash that form a weight. */
const WEIGHT_BYTES = 6
