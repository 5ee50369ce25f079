/**
 * What a daemon provides to the owners that it runs.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import type { AdmissionService, FleetFeeds, MachineService, RowStore, VmClients } from '@vanillathread/ports'
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

/** Options of `ShardOwnership.create`. */
export interface ShardOwnershipOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: MemberDirectory
}
