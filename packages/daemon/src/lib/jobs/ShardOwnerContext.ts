/**
 * What a daemon provides to the owners that it runs.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import type { OwnershipProof } from '@vanillathread/policy'
import type { AdmissionService, FleetFeeds, MachineService, RowCondition, RowStore, VmClients } from '@vanillathread/ports'
import type { PeerTransport } from '../peer/PeerTransport.js'
import type { ConfigurationWatcher } from './ConfigurationWatcher.js'
import type { JobsSettings } from './JobsSettings.js'
import type { MemberDirectory } from './MemberDirectory.js'

/** Services and settings that an owner uses. */
export interface ShardOwnerContext {
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly vms: VmClients
  /** Admission service, if the platform has one. */
  readonly admissionService?: AdmissionService
  readonly machines?: MachineService
  readonly configuration: ConfigurationWatcher
}

/** Options of `ShardOwner.create`. */
export interface ShardOwnerOptions extends ShardOwnerContext {
  readonly shard: string
  /** Number of takeovers of the shard before this one. */
  readonly generation: number
  /** The shard's owner row; its version is the fencing token. */
  readonly ownerRow: RowCondition
  /** Time after the takeover for which a previous owner may still extend leases of VMs that this owner cannot reach. */
  readonly previousOwnerRenewalMs: number
  /** Store version since which the previous owners kept the ends of leases in the roster up to date, if the last one did. */
  readonly leaseEndsKeptSince: number | undefined
  /** Time on this daemon's clock from which every lease of previous owners has expired, if the last one recorded or announced it at its release. */
  readonly previousLeasesEndAtMs: number | undefined
  /** Proofs of this ownership. */
  readonly proof: OwnershipProof
  /** Called if a decision waits for a proof of the ownership that is not older than now. */
  requestProof (): void
  /** Called if a VM, a machine or the store shows that another daemon owns the shard. */
  onSuperseded (reason: string): void
}

/** Options of `ShardOwnership.create`. */
export interface ShardOwnershipOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: MemberDirectory
}
