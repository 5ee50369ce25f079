/**
 * What a shard's roster in the store says of a VM: that it may have runs, and, of an unresponsive one, when these have ended.
 * A successor then need not wait for the longest lease that its predecessors may have given.
 */
import type { VmEntry } from '@vanillathread/model'
import type { TrackedVm } from './TrackedVm.js'

/** Lease end of a VM without runs, which lies before any time on the store's clock. */
const NO_RUNS = 0

/** Time for which a registered VM with runs is unresponsive before the end of its lease is recorded: most losses of answers are shorter. */
const RECORD_AFTER_MS = 1_000

/** A VM as the roster lists it. @public */
export interface RosterRecord {
  readonly entry: VmEntry
  /** Time on the store's clock from which the VM has no runs, unless it got leases after the record was replaced. */
  readonly leaseEndMs?: number
  /** Task name and number of each run that the VM may have until then; absent if the owner did not know them. */
  readonly runs?: ReadonlyArray<readonly [task: string, run: number]>
}

/** A record to write. @public */
export interface RosterWrite {
  readonly vm: TrackedVm
  readonly record: RosterRecord
}

/** Clocks at one moment. @public */
export interface RosterClocks {
  /** The owner's steady clock, in milliseconds. */
  readonly nowMs: number
  /** The store's clock in its latest answer, and the time since the request was sent; undefined before the first answer. */
  readonly storeReading: { readonly clockMs: number, readonly sentAgoMs: number } | undefined
}

/**
 * Returns the record to write for a VM, or undefined if the stored one holds.
 *
 * @param leaseExpiryMs - time on the owner's clock from which the VM, if it is unresponsive, certainly has no runs.
 */
export function planRosterWrite (vm: TrackedVm, leaseExpiryMs: number, clocks: RosterClocks): RosterWrite | undefined {
  if (vm.recordRejected) return undefined
  const leaseEndMs = vm.unresponsiveSinceMs === undefined ? undefined : vm.recordedLeaseEndMs ?? toStoreLeaseEnd(vm, vm.unresponsiveSinceMs, leaseExpiryMs, clocks)
  if (vm.recorded && !vm.recordUnconfirmed && leaseEndMs === vm.recordedLeaseEndMs) return undefined
  // A recorded end is withdrawn only once the VM has answered this owner.
  if (vm.recorded && leaseEndMs === undefined && !vm.isReconciled) return undefined
  if (leaseEndMs === undefined) return { vm, record: { entry: vm.entry } }
  // A VM that has not answered this owner keeps the runs that a previous owner recorded, if any.
  const runs = vm.isReconciled ? [...vm.runs.values()].map((run) => [run.name, run.number] as const) : undefined
  return { vm, record: { entry: vm.entry, leaseEndMs, runs } }
}

/**
 * Converts the end of an unresponsive VM's lease to the store's clock, rounded up. Only a reading whose request was sent after
 * the last lease will do, as the owner's clock does not count the time for which its VM is suspended.
 */
function toStoreLeaseEnd (vm: TrackedVm, unresponsiveSinceMs: number, leaseExpiryMs: number, { nowMs, storeReading }: RosterClocks): number | undefined {
  if (vm.isReconciled && vm.runs.size === 0) return NO_RUNS
  if (vm.registered && nowMs - unresponsiveSinceMs < RECORD_AFTER_MS) return undefined
  if (storeReading === undefined || nowMs - storeReading.sentAgoMs < unresponsiveSinceMs) return undefined
  return Math.ceil(storeReading.clockMs + storeReading.sentAgoMs + leaseExpiryMs - nowMs)
}
