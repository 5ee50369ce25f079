/**
 * Ports to what the platform tells of its fleet, and to what it does with machines.
 */
import type { Capacity, OperatorConfiguration, Result, VmEntry } from '@vanillathread/model'
import type { StoreFailure } from './RowStore.js'

/** State of a machine in the platform's list. @public */
export enum MachineState {
  Up = 'up',
  Moving = 'moving',
  InMaintenance = 'in-maintenance',
  Down = 'down',
}

/** A machine, which outlives the VMs that run on it. @public */
export interface Machine {
  readonly id: string
  readonly pool: string
  readonly state: MachineState
  readonly zone: string
  readonly labels: readonly string[]
  readonly capacity: Capacity
  /** Id of the VM on it, or undefined while there is none. */
  readonly vmId?: string
}

/** Machines that are due for maintenance. @public */
export interface Wave {
  readonly number: number
  readonly machines: readonly string[]
  /** Time in which all are to be done. */
  readonly durationMs: number
  /** Most machines down for this wave at the same time. */
  readonly cap: number
}

/** Why an order for a machine was not carried out. @public */
export enum MachineRefusal {
  Fenced = 'fenced',
  /** Not up, or leaving. */
  Busy = 'busy',
  NotInWave = 'not-in-wave',
  Unknown = 'unknown-machine',
  /** Refused for its rate, or the service was unavailable. */
  Unavailable = 'unavailable',
}

/** What became of an order for a machine. @public */
export type MachineAnswer =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused', readonly refusal: MachineRefusal }
  | { readonly kind: 'unknown', readonly reason: string }

/** Who orders. @public */
export interface MachineOrderer {
  readonly holder: string
  readonly fencingToken: number
}

/** Port to the machines. @public */
export interface MachineService {
  list (): Promise<Result<Machine[], string>>
  move (machine: string, pool: string, orderer: MachineOrderer): Promise<MachineAnswer>
  maintain (machine: string, wave: number, orderer: MachineOrderer): Promise<MachineAnswer>
}

/** Changes since a version. @public */
export interface Changes<T> {
  readonly values: readonly T[]
  readonly version: number
}

/** A registered VM, or the id of one that is registered no more. @public */
export type VmChange = { readonly id: string, readonly entry?: VmEntry, readonly fault?: string }

/** What the operator has written. @public */
export type OperatorChange =
  | { readonly kind: 'configuration', readonly configuration: OperatorConfiguration }
  | { readonly kind: 'wave', readonly wave: Wave }
  | { readonly kind: 'invalid', readonly key: string, readonly reason: string }

/** Port to the operator's rows and the VMs' registrations. @public */
export interface FleetFeeds {
  readOperator (): Promise<Result<Changes<OperatorChange>, StoreFailure>>
  watchOperator (afterVersion: number, waitMs: number): Promise<Result<Changes<OperatorChange>, StoreFailure>>
  readVms (): Promise<Result<Changes<VmChange>, StoreFailure>>
  watchVms (afterVersion: number, waitMs: number): Promise<Result<Changes<VmChange>, StoreFailure>>
  /** Tells the operator of a wave's state. */
  writeWaveState (wave: number, complete: boolean): Promise<Result<void, StoreFailure>>
}

/** Port to the service that chooses VMs for the steps of some queues. @public */
export interface Advisor {
  /** Returns tickets by VM id, and how long they are valid. */
  advise (stepName: string, vmIds: readonly string[]): Promise<Result<{ tickets: ReadonlyMap<string, string>, validMs?: number }, string>>
}
