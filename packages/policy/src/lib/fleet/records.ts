/**
 * Rows of the table that hold the fleet's state. Each row contains its format number, so that a later format can migrate it.
 */
import { z } from 'zod'

/** Key prefix of all fleet rows, so that one change feed covers them. @public */
export const FLEET_PREFIX = 'fleet/'

const FORMAT = 1
const format = z.literal(FORMAT)
const wallClockMs = z.number()

/** State of a VM in the fleet. @public */
export enum VmState {
  /** Receives work. */
  Active = 'active',
  /** Receives no new work and finishes its work in progress. */
  Draining = 'draining',
  /** Is being rebooted by an operation that is recorded in the row. */
  Rebooting = 'rebooting',
  /** Failed, or did not return from a reboot. */
  Lost = 'lost',
}

/** Why a VM is out, that is, does not count as available in its pool. @public */
export enum OutReason {
  Maintenance = 'maintenance',
  Move = 'move',
  Retirement = 'retirement',
  Loss = 'loss',
}

/** Schema of `fleet/vm/ID`. @public */
export const vmRecordSchema = z.strictObject({
  format,
  pool: z.string(),
  state: z.enum(VmState),
  /** Increases with each change of the row. */
  epoch: z.int(),
  /** Why the VM is out; absent while it is active. */
  reason: z.enum(OutReason).optional(),
  /** Pool that a draining VM moves to. */
  target: z.string().optional(),
  /** Operation id of the reboot, recorded before the platform is called. */
  operationId: z.string().optional(),
  /** Wall-clock time at which the state was entered, for display and long timeouts. */
  sinceMs: wallClockMs,
  /** Wall-clock time of the last finished maintenance; 0 if there was none. */
  maintainedAtMs: wallClockMs,
  /** Wall-clock time at which the VM last failed to return from maintenance. */
  failedReturnAtMs: wallClockMs.optional(),
})

/** Schema of `fleet/budget/POOL`. @public */
export const budgetRecordSchema = z.strictObject({
  format,
  /** Number of VMs that belong to the pool. */
  members: z.int().min(0),
  /** Ids of the VMs that are out, with the reason. A VM may be taken out only by adding it here. */
  out: z.record(z.string(), z.enum(OutReason)),
})

/** Schema of `fleet/lease/POOL`. @public */
export const leaseRecordSchema = z.strictObject({
  format,
  /** Daemon that controls the pool; empty if the lease was released. */
  holder: z.string(),
  /** Incarnation of the holder. */
  incarnation: z.int(),
  /** Increases with each change of the holder. */
  epoch: z.int(),
})

/** Schema of `fleet/loan/VM`. A VM without this row serves its own pool. */
export const loanRecordSchema = z.strictObject({
  format,
  /** Pool that the VM is lent to. */
  pool: z.string(),
})

/** A loan as stored. @public */
export type LoanRecord = z.infer<typeof loanRecordSchema>
/** State of a VM as stored. @public */
export type VmRecord = z.infer<typeof vmRecordSchema>
/** State of a pool's budget as stored. @public */
export type BudgetRecord = z.infer<typeof budgetRecordSchema>
/** Lease on the control of a pool, as stored. @public */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

/** Keys of fleet rows. @public */
export const fleetKeys = {
  vm: (vmId: string): string => `${FLEET_PREFIX}vm/${vmId}`,
  budget: (poolId: string): string => `${FLEET_PREFIX}budget/${poolId}`,
  lease: (poolId: string): string => `${FLEET_PREFIX}lease/${poolId}`,
  loan: (vmId: string): string => `${FLEET_PREFIX}loan/${vmId}`,
}

/** A stored value with the revision that a conditional write needs. @public */
export interface Stored<T> {
  readonly value: T
  /** Revision of the row; 0 if there is no row. */
  readonly revision: number
}

/** A change of a row, on condition that the row has the given revision. Without a value the row is deleted. @public */
export interface RowChange {
  readonly key: string
  readonly revision: number
  readonly value?: unknown
}

/** Builds the row of a declared VM that had none. */
export function createVmRecord (pool: string, nowMs: number): VmRecord {
  return { format: FORMAT, pool, state: VmState.Active, epoch: 1, sinceMs: nowMs, maintainedAtMs: 0 }
}

/** Builds the budget row of a pool without VMs. */
export function createBudgetRecord (): BudgetRecord {
  return { format: FORMAT, members: 0, out: {} }
}

/** Builds a lease row. */
export function createLeaseRecord (holder: string, incarnation: number, epoch: number): LeaseRecord {
  return { format: FORMAT, holder, incarnation, epoch }
}
