/**
 * Decides whether a client's call may be served.
 *
 * This answers calls whose keys were never issued, and keys that are removed while their clients are connected: a gateway that is
 * cut off from the store, was suspended or is slow does not learn of the removal, so it must refuse a key that it still knows once
 * its configuration has not been proved current for too long.
 */
import type { KeyIndex } from './KeyIndex.js'

/** Longest key that is looked up, in bytes. Longer ones are refused without the cost of their digest. */
const MAX_KEY_BYTES = 256

/**
 * Share of the revocation time from which calls are refused. The rest covers clocks that run at different speeds and the time
 * between the check and the answer.
 */
const REFUSE_SHARE = 0.8

/** Share of the revocation time from which a daemon reports itself as not ready, so that clients leave before they are refused. */
const NOT_READY_SHARE = 0.5

/** Why a call is refused. @public */
export enum CallRefusal {
  /** No team holds the key. */
  UnknownKey = 'unknown-key',
  /** The call has no key, several keys, an empty key or one that is too long. */
  MissingKey = 'missing-key',
  /** The configuration has not been proved current for too long, so the key may have been added or removed meanwhile. */
  StaleConfiguration = 'stale-configuration',
}

/** Bounds on the age of a configuration, in milliseconds. @public */
export interface ConfigurationBounds {
  /** Time within which an accepted version must be in force at a daemon that reaches the store. */
  readonly configurationApplyMs: number
  /** Time after which a removed key must be refused everywhere; undefined sets no bound. */
  readonly keyRevocationMs?: number
}

/** Inputs of {@link authorizeCall}. @public */
export interface CallState {
  /** Key of the call, or undefined if it has none or several. */
  readonly key: string | undefined
  /** True if calls on the queue need no key. */
  readonly isPublic: boolean
  /** Keys of the configuration in force. */
  readonly keys: KeyIndex
  /** Time since the read that last proved the configuration current was sent, in milliseconds. */
  readonly ageMs: number
  readonly bounds: ConfigurationBounds
}

/** Decision on a call. The team is absent if the queue is public or no team holds the key. @public */
export type CallDecision =
  | { readonly allowed: true, readonly team?: string }
  | { readonly allowed: false, readonly refusal: CallRefusal, readonly team?: string }

/** Decides whether a call may be served. @public */
export function authorizeCall ({ key, isPublic, keys, ageMs, bounds }: CallState): CallDecision {
  if (isPublic) return { allowed: true }
  if (key === undefined || key === '' || Buffer.byteLength(key) > MAX_KEY_BYTES) return { allowed: false, refusal: CallRefusal.MissingKey }
  const team = keys.findTeam(key)
  if (team === undefined) return { allowed: false, refusal: canDeny(ageMs, bounds) ? CallRefusal.UnknownKey : CallRefusal.StaleConfiguration }
  return canServe(ageMs, bounds) ? { allowed: true, team } : { allowed: false, refusal: CallRefusal.StaleConfiguration, team }
}

/** Returns true if calls may be served by a configuration of this age. @public */
export function canServe (ageMs: number, { keyRevocationMs = Infinity }: ConfigurationBounds): boolean {
  return ageMs < keyRevocationMs * REFUSE_SHARE
}

/** Returns true if a key or queue that a configuration of this age lacks may be called unknown. @public */
export function canDeny (ageMs: number, { configurationApplyMs }: ConfigurationBounds): boolean {
  return ageMs < configurationApplyMs
}

/** Returns true if a daemon with a configuration of this age should get new connections. @public */
export function isFreshEnough (ageMs: number, { keyRevocationMs = Infinity }: ConfigurationBounds): boolean {
  return ageMs < keyRevocationMs * NOT_READY_SHARE
}
