/**
 * Chooses the daemon that should own a shard.
 */
import { rankByRendezvous } from '../routing/rendezvous.js'

/** A daemon that may own a shard. @public */
export interface OwnerCandidate {
  readonly name: string
  /** Share of a core that the daemon may use, multiplied by the speed of the core. */
  readonly speed: number
}

/**
 * Daemons with at least this share of the fastest daemon's speed count as equally fast. A slower one would be
 * saturated as the owner of a large fleet.
 */
const FAST_SHARE = 0.5

/**
 * Orders the candidates: fast daemons before slow ones. The order within each of the two groups depends on the key.
 * @public
 */
export function rankSuccessors (key: string, candidates: readonly OwnerCandidate[]): string[] {
  const fastest = Math.max(0, ...candidates.map(({ speed }) => speed))
  const isFast = ({ speed }: OwnerCandidate): boolean => speed >= fastest * FAST_SHARE
  const rank = (group: readonly OwnerCandidate[]): string[] => rankByRendezvous(key, group.map(({ name }) => name))
  return [...rank(candidates.filter(isFast)), ...rank(candidates.filter((candidate) => !isFast(candidate)))]
}

/**
 * Returns true if an owner should hand its shard over to a daemon that is much faster. A small difference does
 * not suffice, so that no two daemons pass a shard to and fro.
 * @public
 */
export function shouldHandOver (owner: OwnerCandidate, others: readonly OwnerCandidate[]): boolean {
  return others.some(({ speed }) => owner.speed < speed * FAST_SHARE)
}
