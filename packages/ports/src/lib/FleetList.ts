/**
 * The platform's list of live and leaving VMs, which lags behind reality.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** State of a VM in the fleet list. @public */
export enum FleetVmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One entry of the fleet list. @public */
export interface FleetVm {
  readonly vmId: string
  readonly state: FleetVmState
}

/** The list with the time that it describes. @public */
export interface FleetSnapshot {
  readonly vms: readonly FleetVm[]
  /** Wall-clock time of the list in milliseconds since 1970. */
  readonly asOfMs: number
}

/** Port to the fleet list. @public */
export interface FleetList {
  list (): Promise<Result<FleetSnapshot, PlatformError>>
}
