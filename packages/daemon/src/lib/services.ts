/**
 * Keys of the objects that plug-ins provide to each other.
 */
import { ServiceKey, type Kernel } from '@vanillathread/kernel'
import type { Settings } from '@vanillathread/model'
import type { Platform } from '@vanillathread/ports'
import type { SlotSource } from '@vanillathread/policy'
import type { RequestClaims } from './claims/RequestClaims.js'
import type { ConfigurationStore } from './configuration/ConfigurationStore.js'
import type { CreditExchange } from './credits/CreditExchange.js'
import type { FleetWatch } from './fleet/FleetWatch.js'
import type { MembershipKeeper } from './membership/MembershipKeeper.js'
import type { PeerNetwork } from './peer/PeerNetwork.js'
import type { RequestDispatcher } from './request/RequestDispatcher.js'
import type { ServerContext } from './server/ConnectionGuard.js'
import type { DaemonState } from './DaemonState.js'

/**
 * Returns the source of a service's slots, or undefined to use slot credits.
 * For benchmarks that compare ways of sharing slots.
 *
 * @public
 */
export type SlotSourceFactory = (serviceId: string) => SlotSource | undefined

export const SETTINGS = ServiceKey.create<Settings>('settings')
export const PLATFORM = ServiceKey.create<Platform>('platform')
export const STATE = ServiceKey.create<DaemonState>('state')
export const PEERS = ServiceKey.create<PeerNetwork>('peers')
export const MEMBERSHIP = ServiceKey.create<MembershipKeeper>('membership')
export const CONFIGURATION = ServiceKey.create<ConfigurationStore>('configuration')
export const CREDITS = ServiceKey.create<CreditExchange>('credits')
export const FLEET_WATCH = ServiceKey.create<FleetWatch>('fleet-watch')
export const CLAIMS = ServiceKey.create<RequestClaims>('claims')
export const DISPATCHER = ServiceKey.create<RequestDispatcher>('dispatcher')
export const SLOT_SOURCES = ServiceKey.create<SlotSourceFactory>('slot-sources')

const BYTES_PER_MB = 1024 * 1024

/** Returns what all servers of a daemon share. */
export function createServerContext (kernel: Kernel): ServerContext {
  const { timers, log, metrics } = kernel
  const { memoryMb, maxDescriptors } = kernel.get(SETTINGS).resources
  return { resources: { memoryBytes: memoryMb * BYTES_PER_MB, descriptors: maxDescriptors }, timers, log, metrics }
}
