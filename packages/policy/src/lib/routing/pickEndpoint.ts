/**
 * Chooses the endpoint of an attempt.
 */
import type { RandomSource } from '../random/RandomSource.js'

/** An endpoint that could take the attempt. @public */
export interface EndpointCandidate {
  readonly endpointId: string
  readonly zone: string
  /** Attempts that may still start there. */
  readonly free: number
}

/** Options of {@link pickEndpoint}. @public */
export interface PickEndpointOptions {
  /** Availability zone of the daemon. */
  readonly zone: string
  /** Endpoints that an earlier attempt of the request has tried. */
  readonly tried: ReadonlySet<string>
  readonly random: RandomSource
}

/**
 * Picks among endpoints with a free slot: untried before tried, the own zone before others,
 * then the one with more free slots of two random choices.
 *
 * Source of the two choices: Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 *
 * @returns undefined where no candidate has a free slot.
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
