/**
 * Rows of the table that hold the fleet's state. Each carries its format, so that a later one can migrate it.
 */
import { z } from 'zod'

/** Prefix of every fleet row; one change feed follows them all. @public */
export const FLEET_PREFIX = 'fleet/'

const FORMAT = 1
const format = z.literal(FORMAT)
const wallClockMs = z.number()

/** What a VM is doing. @public */
export enum VmState {
  /** Takes work. */
  Active = 'active',
  /** Gets no new work and finishes what it has. */
  Draining = 'draining',
  /** Is being rebooted by a recorded operation. */
  Rebooting = 'rebooting',
  /** Failed, or did not come back. */
  Lost = 'lost',
}

/** Why a VM is out of its pool's available ones. @public */
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
  /** Grows with each change of the row. */
  epoch: z.int(),
  /** Why the VM is out; absent while it is active. */
  reason: z.enum(OutReason).optional(),
  /** Pool that a draining VM moves to. */
  target: z.string().optional(),
  /** Reboot that was recorded before it was asked for. */
  operationId: z.string().optional(),
  /** Wall-clock time at which the state was entered, for display and long timeouts. */
  sinceMs: wallClockMs,
  /** Wall-clock time of the last finished maintenance; 0 where there was none. */
  maintainedAtMs: wallClockMs,
  /** Wall-clock time at which the VM last failed to return from maintenance. */
  failedReturnAtMs: wallClockMs.optional(),
})

/** Schema of `fleet/budget/POOL`. @public */
export const budgetRecordSchema = z.strictObject({
  format,
  /** VMs that belong to the pool. */
  members: z.int().min(0),
  /** VMs that are out, with the reason. A VM may be taken out only by an entry here. */
  out: z.record(z.string(), z.enum(OutReason)),
})

/** Schema of `fleet/lease/POOL`. @public */
export const leaseRecordSchema = z.strictObject({
  format,
  /** Daemon that controls the pool; empty where the lease was handed back. */
  holder: z.string(),
  /** Incarnation of the holder. */
  incarnation: z.int(),
  /** Grows with each change of the holder. */
  epoch: z.int(),
})

/** Schema of `fleet/loan/VM`. A VM without this row serves its own pool. */
export const loanRecordSchema = z.strictObject({
  format,
  /** Pool that the VM serves for now. */
  pool: z.string(),
})

/** A loan as stored. @public */
export type LoanRecord = z.infer<typeof loanRecordSchema>
/** State of a VM as stored. @public */
export type VmRecord = z.infer<typeof vmRecordSchema>
/** State of a pool's budget as stored. @public */
export type BudgetRecord = z.infer<typeof budgetRecordSchema>
/** Control of a pool as stored. @public */
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
  /** Revision of the row; 0 where there is none. */
  readonly revision: number
}

/** One conditional change of a row; without a value the row is deleted. @public */
export interface RowChange {
  readonly key: string
  readonly revision: number
  readonly value?: unknown
}

/** Builds the row of a VM that has just been found in the inventory. */
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
