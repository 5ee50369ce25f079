/**
 * Chooses the endpoint of an attempt.
 */
import type { RandomSource } from '../random/RandomSource.js'

/** An endpoint to which the attempt could be sent. @public */
export interface EndpointCandidate {
  readonly endpointId: string
  readonly zone: string
  /** Number of further attempts that may start on the endpoint. */
  readonly free: number
}

/** Options of {@link pickEndpoint}. @public */
export interface PickEndpointOptions {
  /** Availability zone of the daemon. */
  readonly zone: string
  /** Endpoints that earlier attempts of the request have used. */
  readonly tried: ReadonlySet<string>
  readonly random: RandomSource
}

/**
 * Picks an endpoint with a free slot. Untried endpoints are preferred to tried ones, then those in the daemon's own
 * zone to others. Of two random endpoints among these, the one with more free slots is picked.
 *
 * Source of the two choices: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 *
 * @returns undefined if no candidate has a free slot.
 * @public
 */
export function pickEndpoint (candidates: readonly EndpointCandidate[], options: PickEndpointOptions): EndpointCandidate | undefined {
  const usable = candidates.filter((candidate) => candidate.free > 0)
  const untried = usable.filter((candidate) => !options.tried.has(candidate.endpointId))
  const preferred = untried.length > 0 ? untried : usable
  const local = preferred.filter((candidate) => candidate.zone === options.zone)
  const [first, second] = options.random.sample(local.length > 0 ? local : preferred, 2)
  if (first === undefined || second === undefined) return first
  return second.free > first.free ? second : first
}
