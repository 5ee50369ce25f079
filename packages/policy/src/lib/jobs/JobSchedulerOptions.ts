/**
 * What a scheduler is created with, and the clocks that it plans by.
 */
import type { OwnershipProof } from '../ownership/OwnershipProof.js'
import type { NearPlaceRules } from '../placement/NearPlaces.js'
import type { DecisionLogger } from './SchedulerState.js'

/** Options of `JobScheduler.create`. @public */
export interface JobSchedulerOptions {
  /** Number of previous owners of the shard. */
  readonly generation: number
  /** Store version of the transaction by which this owner took the shard over. */
  readonly fencingToken: number
  /** Longest lease that this owner or a previous one gives to a VM. */
  readonly leaseMs: number
  /** Longest time from a VM's answer to a stop until the run has ended. */
  readonly stopMs: number
  /** Time from `startedAtMs` for which a previous owner may still extend leases of VMs that this owner cannot reach. */
  readonly previousOwnerRenewalMs: number
  /** Time at which this owner began. */
  readonly startedAtMs: number
  /** Time from which every lease of previous owners has expired, if the last one recorded it. */
  readonly previousLeasesEndAtMs?: number
  /** Proofs of the ownership; without them, the owner counts as the only one that there can be. */
  readonly proof?: OwnershipProof
  readonly logDecision: DecisionLogger
  /** Rules for waits for places near the data; without them, no task waits for one. */
  readonly nearPlaces?: NearPlaceRules
}

/** Readings of the clocks at one moment, in milliseconds. @public */
export interface ClockReadings {
  /** The owner's steady clock. */
  readonly nowMs: number
  /** The store's clock. */
  readonly storeNowMs: number
  /** Milliseconds since 1970. */
  readonly wallClockMs: number
}
