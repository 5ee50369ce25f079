/**
 * Start settings of a daemon that serves jobs.
 */
import type { Address } from '@vanillathread/model'
import { DEFAULT_NEAR_PLACE_MAX_WAIT_MS, DEFAULT_VM_RESOURCES, type NearPlaceRules, type VmResources } from '@vanillathread/policy'

/** Settings of a jobs daemon. Times are bounds that the platform specifies. @public */
export interface JobsSettings {
  readonly name: string
  readonly zone: string
  /** Speed of the daemon: its share of a core multiplied by the core's speed. */
  readonly speed: number
  /** Memory of the process, from which the limits on connections and requests follow; undefined for the default. */
  readonly memoryBytes?: number
  /** File descriptors of the process; undefined for the default. */
  readonly maxDescriptors?: number
  /** Address at which other daemons reach this one. */
  readonly peer: Address
  /** Address at which metrics are served. */
  readonly metrics: Address
  /** Longest lease that a VM accepts. */
  readonly maxLeaseMs: number
  /** Longest time from a VM's answer to a stop until the run has ended. */
  readonly stopMs: number
  /** Time for which all orders for one machine must come from the same holder. */
  readonly orderLeaseMs: number
  /** True if the platform refuses machine orders with a fencing token lower than one that it has seen. */
  readonly fencingEnforced: boolean
  /** Time between the stop signal and the kill. */
  readonly graceMs: number
  /** Duration of a VM's maintenance. */
  readonly maintenanceMs: number
  /** Duration of a VM's move to another pool. */
  readonly moveMs: number
  /** Time for which clients can query the state of an ended job. */
  readonly stateKeptMs: number
  /** Bytes that a row of the store may have at the most. */
  readonly rowBytes: number
  /** Time within which an accepted configuration version must be in force at a daemon that reaches the store. */
  readonly configurationApplyMs: number
  /** Time after which a removed API key must be refused everywhere, or undefined on a deployment without teams. */
  readonly keyRevocationMs?: number
  /** Factor by which a task takes longer outside the rack of its data, or undefined if it is not known. */
  readonly remoteFactor?: number
  /** Longest wait of a task for room near its data; 0 if none is to wait, undefined for the default. Without `remoteFactor`, none waits. */
  readonly nearPlaceMaxWaitMs?: number
}

/** Returns the resources of the daemon's VM. */
export function getResources ({ memoryBytes = DEFAULT_VM_RESOURCES.memoryBytes, maxDescriptors = DEFAULT_VM_RESOURCES.descriptors }: JobsSettings): VmResources {
  return { memoryBytes, descriptors: maxDescriptors }
}

/** Returns the rules for waits for places near the data, or undefined if the settings do not say what another place costs. */
export function getNearPlaceRules ({ remoteFactor, nearPlaceMaxWaitMs = DEFAULT_NEAR_PLACE_MAX_WAIT_MS }: JobsSettings): NearPlaceRules | undefined {
  return remoteFactor === undefined ? undefined : { remoteFactor, maxWaitMs: nearPlaceMaxWaitMs }
}
