/**
 * What a daemon that serves jobs is told at its start.
 */
import type { Address } from '@vanillathread/model'

/** Settings of a jobs daemon. Times are bounds that the platform states. @public */
export interface JobsSettings {
  readonly name: string
  readonly zone: string
  /** Share of a core that the daemon has, times the core's speed. */
  readonly speed: number
  /** Where other daemons reach this one. */
  readonly peer: Address
  readonly metrics: Address
  /** Longest lease that a VM takes. */
  readonly maxLeaseMs: number
  /** Time for which orders for one machine must come from one holder. */
  readonly orderLeaseMs: number
  /** True where the platform refuses orders for machines under a lower token than it has seen. */
  readonly fencingEnforced: boolean
  /** Time between the signal to stop and the kill. */
  readonly graceMs: number
  /** Time that a VM's maintenance takes. */
  readonly maintenanceMs: number
  /** Time that a VM's move to another pool takes. */
  readonly moveMs: number
  /** Time for which an ended job's state can be asked for. */
  readonly stateKeptMs: number
}
