/**
 * Fleet list and VM actions in memory.
 */
import { Result } from '@vanillathread/model'
import { FleetVmState, type FleetList, type FleetSnapshot, type FleetVm } from '../FleetList.js'
import { PlatformErrorKind, type PlatformError } from '../PlatformError.js'
import { VmPowerState, type VmActions, type PlatformVmState } from '../VmActions.js'

/** Fleet list and VM actions that a test or the demo controls. @public */
export class MemoryFleet implements FleetList, VmActions {
  private readonly states = new Map<string, FleetVmState>()
  private readonly observations = new Map<string, PlatformVmState>()

  private constructor (private readonly wallClock: () => number) {}

  /** @param options - `wallClock` returns milliseconds since 1970. */
  static create (options: { wallClock: () => number }): MemoryFleet {
    return new MemoryFleet(options.wallClock)
  }

  /** Adds a VM to the list, or changes its state there. */
  setVm (vmId: string, state: FleetVmState): void {
    this.states.set(vmId, state)
    if (!this.observations.has(vmId)) this.setPower(vmId, VmPowerState.Running)
  }

  /** Removes a VM from the list. */
  removeVm (vmId: string): void {
    this.states.delete(vmId)
  }

  /** Changes the power state that is reported for a VM. */
  setPower (vmId: string, power: VmPowerState): void {
    const lastOperationId = this.observations.get(vmId)?.lastOperationId
    this.observations.set(vmId, { vmId, power, ...lastOperationId === undefined ? {} : { lastOperationId } })
  }

  async list (): Promise<Result<FleetSnapshot, PlatformError>> {
    const vms: FleetVm[] = [...this.states].map(([vmId, state]) => ({ vmId, state }))
    return Result.ok({ vms, asOfMs: this.wallClock() })
  }

  async readState (vmId: string): Promise<Result<PlatformVmState | undefined, PlatformError>> {
    return Result.ok(this.observations.get(vmId))
  }

  async reboot (vmId: string, operationId: string): Promise<Result<void, PlatformError>> {
    const observation = this.observations.get(vmId)
    if (observation === undefined) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: `no VM ${vmId}` })
    if (observation.lastOperationId === operationId) return Result.ok(undefined)
    this.observations.set(vmId, { vmId, power: VmPowerState.Rebooting, lastOperationId: operationId })
    return Result.ok(undefined)
  }
}
