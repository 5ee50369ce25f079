/**
 * Port to the platform's list of live and leaving VMs. The list may be out of date.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** State of a VM in the fleet list. @public */
export enum FleetVmState {
  Live = 'live',
  /** The VM is about to be taken away. */
  Leaving = 'leaving',
}

/** One entry of the fleet list. @public */
export interface FleetVm {
  readonly vmId: string
  readonly state: FleetVmState
}

/** The fleet list as of one time. @public */
export interface FleetSnapshot {
  /** VMs that exist. A declared VM that is not listed counts as gone. */
  readonly vms: readonly FleetVm[]
  /** Wall-clock time for which the list is right, in milliseconds since 1970. */
  readonly asOfMs: number
}

/** Port to the fleet list. @public */
export interface FleetList {
  /** Reads the whole list. */
  list (): Promise<Result<FleetSnapshot, PlatformError>>
}
