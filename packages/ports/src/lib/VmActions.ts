/**
 * Port to the platform's actions on VMs.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** Power state of a VM as the platform reports it. @public */
export enum VmPowerState {
  Running = 'running',
  Rebooting = 'rebooting',
  Failed = 'failed',
}

/** State of a VM as the platform reports it. @public */
export interface PlatformVmState {
  readonly vmId: string
  readonly power: VmPowerState
  /** Id of the last reboot that the platform accepted. After a lost answer it shows whether the call took effect. */
  readonly lastOperationId?: string
}

/** Port to the VM actions. @public */
export interface VmActions {
  /** Reads the state of a VM, or returns undefined if the platform does not know the VM. */
  readState (vmId: string): Promise<Result<PlatformVmState | undefined, PlatformError>>
  /** Reboots a VM. A repeated call with the same operation id has no further effect. */
  reboot (vmId: string, operationId: string): Promise<Result<void, PlatformError>>
}
