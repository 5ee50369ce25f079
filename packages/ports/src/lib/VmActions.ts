/**
 * The platform's actions on VMs.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** Power state of a VM as the platform reports it. @public */
export enum VmPowerState {
  Running = 'running',
  Rebooting = 'rebooting',
  Failed = 'failed',
}

/** What the platform reports of a VM. @public */
export interface VmObservation {
  readonly vmId: string
  readonly power: VmPowerState
  /** Id of the last reboot that the platform accepted, by which a lost answer is resolved. */
  readonly lastOperationId?: string
}

/** Port to the VM actions. @public */
export interface VmActions {
  observe (vmId: string): Promise<Result<VmObservation | undefined, PlatformError>>
  /** Reboots a VM; repeating a call with the same operation id has no further effect. */
  reboot (vmId: string, operationId: string): Promise<Result<void, PlatformError>>
}
