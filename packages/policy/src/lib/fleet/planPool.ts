/**
 * Decides the next step of each VM of a pool.
 *
 * A plan depends only on stored rows and observations, so that any daemon can continue where another stopped.
 */
import { exhaustiveSwitchError } from '@vanillathread/model'
import { createBudgetRecord, OutReason, VmState, type BudgetRecord, type Stored, type VmRecord } from './records.js'

/** Observations about a VM that its stored row does not contain. @public */
export interface VmObservation {
  /** True if the VM is known to work; false if the platform does not list it or reports that it has failed; undefined if neither is known. */
  readonly alive: boolean | undefined
  /** Operation id of the last reboot that the platform accepted; absent if the platform reported none or was not queried. */
  readonly lastOperationId?: string
  /** True if the VM was observed running after that reboot; absent if the platform was not queried. */
  readonly running?: boolean
  /** True if no request can be in flight on the VM any more. */
  readonly drained: boolean
}

/** A VM as declared. @public */
export interface DeclaredVm {
  readonly id: string
  /** Pool that the VM should be in now: its own, or the pool that it is lent to. */
  readonly wantedPool: string
  readonly zone: string
}

/** Inputs of a pool's plan. @public */
export interface PoolView {
  readonly poolId: string
  /** Wall-clock time in milliseconds since 1970. */
  readonly nowMs: number
  /** Minimum number of VMs that planned steps leave available. */
  readonly minAvailable: number
  /** All VMs of the inventory, by id. */
  readonly declared: ReadonlyMap<string, DeclaredVm>
  /** Rows of the VMs that are in the pool, by VM id. */
  readonly vms: ReadonlyMap<string, Stored<VmRecord>>
  /** Ids of declared VMs that have no row in any pool yet. */
  readonly unrecorded: readonly string[]
  readonly budget: Stored<BudgetRecord>
  readonly observations: ReadonlyMap<string, VmObservation>
  /** True if the wave has not halted, and a maintenance window is open or the rules allow maintenance outside of windows. */
  readonly maintenanceAllowed: boolean
  readonly maintenancePeriodMs: number
}

/** Kinds of {@link FleetStep}. @public */
export enum FleetStepKind {
  /** Adds a declared VM that has no row. */
  Adopt = 'adopt',
  /** Records that a VM has failed, or did not return from a reboot. */
  MarkLost = 'mark-lost',
  /** Takes a VM out, if the budget allows it. */
  Drain = 'drain',
  /** Records the reboot of a drained VM before the platform is called. */
  BeginReboot = 'begin-reboot',
  /** Calls the platform for a recorded reboot. */
  CallReboot = 'call-reboot',
  /** Moves a drained VM to its target pool. */
  FinishMove = 'finish-move',
  /** Makes a rebooted or lost VM available again. */
  Return = 'return',
  /** Deletes the row of a VM that is no longer declared. */
  Forget = 'forget',
}

/** One step of one VM. @public */
export type FleetStep =
  | { readonly kind: FleetStepKind.Adopt, readonly vmId: string }
  | { readonly kind: FleetStepKind.MarkLost, readonly vmId: string, readonly failedReturn: boolean }
  | { readonly kind: FleetStepKind.Drain, readonly vmId: string, readonly reason: OutReason, readonly target?: string }
  | { readonly kind: FleetStepKind.BeginReboot, readonly vmId: string }
  | { readonly kind: FleetStepKind.CallReboot, readonly vmId: string, readonly operationId: string }
  | { readonly kind: FleetStepKind.FinishMove, readonly vmId: string, readonly target: string }
  | { readonly kind: FleetStepKind.Return, readonly vmId: string }
  | { readonly kind: FleetStepKind.Forget, readonly vmId: string }

/** Time after which a VM that has not returned from its reboot is marked as lost. */
const REBOOT_TIMEOUT_MS = 15 * 60 * 1000
/** Number of VMs above the minimum that maintenance leaves available, so that a loss during a wave does not violate the budget. */
const MAINTENANCE_RESERVE = 1

/** Returns the number of VMs of a pool that are available. @public */
export function countAvailable (budget: BudgetRecord): number {
  return budget.members - Object.keys(budget.out).length
}

/**
 * Plans the next steps of a pool: those that continue operations in progress, and at most one that takes a further VM out.
 *
 * @public
 */
export function planPool (view: PoolView): FleetStep[] {
  const steps: FleetStep[] = view.unrecorded.map((vmId) => ({ kind: FleetStepKind.Adopt, vmId }))
  for (const [vmId, { value }] of view.vms) {
    const step = findNextStep(vmId, value, view)
    if (step !== undefined) steps.push(step)
  }
  const next = chooseNextDrain(view)
  if (next !== undefined) steps.push(next)
  return steps
}

/** Returns the step that continues the present operation on a VM, or records a change of its state; undefined if none is due. */
function findNextStep (vmId: string, vm: VmRecord, view: PoolView): FleetStep | undefined {
  const observation = view.observations.get(vmId)
  switch (vm.state) {
    case VmState.Active:
      return observation?.alive === false ? { kind: FleetStepKind.MarkLost, vmId, failedReturn: false } : undefined
    case VmState.Draining:
      if (observation?.alive === false) return { kind: FleetStepKind.MarkLost, vmId, failedReturn: false }
      return observation?.drained === true ? getStepAfterDrain(vmId, vm) : undefined
    case VmState.Rebooting:
      return findNextRebootStep(vmId, vm, observation, view.nowMs)
    case VmState.Lost:
      if (!view.declared.has(vmId)) return { kind: FleetStepKind.Forget, vmId }
      return observation?.alive === true ? { kind: FleetStepKind.Return, vmId } : undefined
    default:
      throw exhaustiveSwitchError(vm.state)
  }
}

function getStepAfterDrain (vmId: string, vm: VmRecord): FleetStep {
  if (vm.reason === OutReason.Retirement) return { kind: FleetStepKind.Forget, vmId }
  if (vm.target !== undefined) return { kind: FleetStepKind.FinishMove, vmId, target: vm.target }
  return { kind: FleetStepKind.BeginReboot, vmId }
}

function findNextRebootStep (vmId: string, vm: VmRecord, observation: VmObservation | undefined, nowMs: number): FleetStep | undefined {
  const { operationId } = vm
  if (operationId === undefined) return { kind: FleetStepKind.BeginReboot, vmId }
  const accepted = observation?.lastOperationId === operationId
  if (accepted && observation?.running === true) return { kind: FleetStepKind.Return, vmId }
  if (nowMs - vm.sinceMs >= REBOOT_TIMEOUT_MS) return { kind: FleetStepKind.MarkLost, vmId, failedReturn: true }
  // If the answer to the call was lost, repeating it with the same operation id is harmless.
  return accepted ? undefined : { kind: FleetStepKind.CallReboot, vmId, operationId }
}

/** Chooses the VM to take out next: one that must leave the pool, otherwise one whose maintenance is due. */
function chooseNextDrain (view: PoolView): FleetStep | undefined {
  const spare = countAvailable(view.budget.value) - view.minAvailable
  if (spare < 1) return undefined
  const active = [...view.vms].filter(([vmId, { value }]) => value.state === VmState.Active && view.observations.get(vmId)?.alive === true)
  const requiredDrain = active.map(([vmId]) => findRequiredDrain(vmId, view)).find((step) => step !== undefined)
  if (requiredDrain !== undefined) return requiredDrain
  if (!view.maintenanceAllowed || spare < 1 + getReserve(view)) return undefined
  return chooseMaintenanceDrain(active, view)
}

/** Returns the reserve, or 0 if the pool is so small that maintenance could never start with a reserve. */
function getReserve (view: PoolView): number {
  return view.budget.value.members - view.minAvailable > MAINTENANCE_RESERVE ? MAINTENANCE_RESERVE : 0
}

/** Returns the drain of a VM that is no longer declared or should be in another pool, or undefined if it may stay. */
function findRequiredDrain (vmId: string, view: PoolView): FleetStep | undefined {
  const declared = view.declared.get(vmId)
  if (declared === undefined) return { kind: FleetStepKind.Drain, vmId, reason: OutReason.Retirement }
  if (declared.wantedPool === view.poolId) return undefined
  return { kind: FleetStepKind.Drain, vmId, reason: OutReason.Move, target: declared.wantedPool }
}

/**
 * Chooses the VM whose last maintenance was longest ago. If VMs are out already, only their availability zone
 * is considered, and no VM is chosen if they are in several zones.
 */
function chooseMaintenanceDrain (active: ReadonlyArray<[string, Stored<VmRecord>]>, view: PoolView): FleetStep | undefined {
  const zonesOut = new Set(Object.keys(view.budget.value.out).map((vmId) => view.declared.get(vmId)?.zone))
  if (zonesOut.size > 1) return undefined
  const due = active
    .filter(([, { value }]) => view.nowMs - value.maintainedAtMs >= view.maintenancePeriodMs)
    .filter(([vmId]) => zonesOut.size === 0 || zonesOut.has(view.declared.get(vmId)?.zone))
    .sort(([idA, a], [idB, b]) => a.value.maintainedAtMs - b.value.maintainedAtMs || compareZones(idA, idB, view) || idA.localeCompare(idB))
  const [first] = due
  return first === undefined ? undefined : { kind: FleetStepKind.Drain, vmId: first[0], reason: OutReason.Maintenance }
}

function compareZones (idA: string, idB: string, view: PoolView): number {
  return (view.declared.get(idA)?.zone ?? '').localeCompare(view.declared.get(idB)?.zone ?? '')
}

/** Budget of a pool that has no stored row yet. */
export const EMPTY_BUDGET: Stored<BudgetRecord> = { value: createBudgetRecord(), revision: 0 }
