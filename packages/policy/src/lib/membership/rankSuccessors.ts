/**
 * Chooses the daemon that is to own a shard.
 */
import { rankByRendezvous } from '../routing/rendezvous.js'

/** A daemon that may own a shard. @public */
export interface OwnerCandidate {
  readonly name: string
  /** Share of a core that the daemon has, times the core's speed. */
  readonly speed: number
}

/** A daemon with this share of the fastest one's speed is as good as it: beyond that, an owner of a large fleet is saturated. */
const FAST_SHARE = 0.5

/**
 * Orders the candidates: fast daemons before slow ones, and within each in an order that differs from key to key.
 * @public
 */
export function rankSuccessors (key: string, candidates: readonly OwnerCandidate[]): string[] {
  const fastest = Math.max(0, ...candidates.map(({ speed }) => speed))
  const isFast = ({ speed }: OwnerCandidate): boolean => speed >= fastest * FAST_SHARE
  const rank = (group: readonly OwnerCandidate[]): string[] => rankByRendezvous(key, group.map(({ name }) => name))
  return [...rank(candidates.filter(isFast)), ...rank(candidates.filter((candidate) => !isFast(candidate)))]
}

/** Says whether an owner should hand its shard to another daemon: only to one that is much faster, so that no two pass it to and fro. @public */
export function shouldHandOver (owner: OwnerCandidate, others: readonly OwnerCandidate[]): boolean {
  return others.some(({ speed }) => owner.speed < speed * FAST_SHARE)
}
