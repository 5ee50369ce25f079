/**
 * Ports to the operator's configuration, VM registrations, machines and the admission service.
 */
import type { Capacity, OperatorConfiguration, Result, VmEntry } from '@vanillathread/model'
import type { StoreFailure } from './RowStore.js'

/** State of a machine in the platform's list. @public */
export enum MachineState {
  Up = 'up',
  /** The machine is on its way to another pool. */
  Moving = 'moving',
  InMaintenance = 'in-maintenance',
  /** The machine is off, or in a state that is not known here. */
  Down = 'down',
}

/** A machine, which outlives the VMs that run on it. @public */
export interface Machine {
  readonly id: string
  readonly pool: string
  readonly state: MachineState
  /** Availability zone. */
  readonly zone: string
  readonly labels: readonly string[]
  /** Capacity of the whole machine, free or in use. */
  readonly capacity: Capacity
  /** Id of the VM that runs on the machine, or undefined if there is none. */
  readonly vmId?: string
}

/** A maintenance wave: machines that the operator wants maintained, a limited number at a time. @public */
export interface MaintenanceWave {
  /** Number of the wave, which identifies it. */
  readonly number: number
  /** Ids of the machines. */
  readonly machines: readonly string[]
  /** Time within which all machines should be maintained, in milliseconds. */
  readonly durationMs: number
  /** Concurrency cap: the largest number of machines that are down for this wave at the same time, at least 1. */
  readonly cap: number
}

/** Reason why an order for a machine was not carried out. @public */
export enum MachineRefusal {
  /** The machine service has seen a higher fencing token. */
  Fenced = 'fenced',
  /** The machine is not up, or is leaving. */
  Busy = 'busy',
  /** The wave does not list the machine. */
  NotInWave = 'not-in-wave',
  /** The machine service does not know the machine. */
  UnknownMachine = 'unknown-machine',
  /** Too many orders were sent, or the machine service was unavailable. */
  Unavailable = 'unavailable',
}

/** Result of an order for a machine; `unknown` means that it may have been carried out. @public */
export type MachineAnswer =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused', readonly refusal: MachineRefusal }
  | { readonly kind: 'unknown', readonly reason: string }

/** The owner that sends an order. @public */
export interface MachineOrderer {
  /** Name of its daemon. */
  readonly holder: string
  /** Version at which the owner took over the shard; the machine service refuses a lower one than it has seen. */
  readonly fencingToken: number
}

/** Port to the service that lists, moves and maintains machines. @public */
export interface MachineService {
  /** Reads all machines. The list may be out of date. */
  list (): Promise<Result<Machine[], string>>
  /** Moves a machine to another pool, which ends its VM and all runs on it. */
  move (machine: string, pool: string, orderer: MachineOrderer): Promise<MachineAnswer>
  /** Begins the maintenance of a machine of a wave, which ends its VM and all runs on it. */
  maintain (machine: string, wave: number, orderer: MachineOrderer): Promise<MachineAnswer>
}

/** Changes of a table up to a version. @public */
export interface Changes<T> {
  readonly values: readonly T[]
  /** True if the table has further changes that are not among the values. */
  readonly hasMore?: boolean
  /** Version of the store up to which the changes are complete; the next call continues after it. */
  readonly version: number
}

/**
 * A change of a VM's registration: `entry` is the registration, and `fault` says why it cannot be decoded.
 * If both are absent, the registration was removed.
 * @public
 */
export type VmChange = { readonly id: string, readonly entry?: VmEntry, readonly fault?: string }

/** A row that the operator wrote; `invalid` means that it cannot be decoded. @public */
export type OperatorChange =
  | { readonly kind: 'configuration', readonly configuration: OperatorConfiguration }
  | { readonly kind: 'wave', readonly wave: MaintenanceWave }
  | { readonly kind: 'invalid', readonly key: string, readonly reason: string }

/** Port to the operator's rows and the VMs' registrations. @public */
export interface FleetFeeds {
  /** Reads all rows of the operator. */
  readOperatorRows (): Promise<Result<Changes<OperatorChange>, StoreFailure>>
  /** Long poll: returns the operator's rows that changed after a version, or none if none changes within `waitMs`. */
  watchOperatorRows (afterVersion: number, waitMs: number): Promise<Result<Changes<OperatorChange>, StoreFailure>>
  /** Reads all registrations of VMs. */
  readRegistrations (): Promise<Result<Changes<VmChange>, StoreFailure>>
  /** Long poll: returns the registrations that changed after a version, or none if none changes within `waitMs`. */
  watchRegistrations (afterVersion: number, waitMs: number): Promise<Result<Changes<VmChange>, StoreFailure>>
  /** Writes the state of a wave where the operator reads it: complete or still running. */
  writeWaveState (wave: number, complete: boolean): Promise<Result<void, StoreFailure>>
}

/** Port to the admission service, which grants tickets per step and VM. Queues with `advice` need them. @public */
export interface AdmissionService {
  /** Requests tickets for a step. Returns the granted ones by VM id, and for how long they are valid, in milliseconds. */
  advise (stepName: string, vmIds: readonly string[], timeoutMs: number): Promise<Result<{ tickets: ReadonlyMap<string, string>, validMs?: number }, string>>
}
