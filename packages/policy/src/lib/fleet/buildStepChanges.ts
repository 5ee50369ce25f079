/**
 * Builds the conditional row changes of a step, which are written in one transaction.
 *
 * A VM's row and the budget rows that a step affects change together. So at every revision, a VM is out
 * only if its pool's budget lists it as out, and each VM belongs to exactly one pool.
 */
import { exhaustiveSwitchError } from '@vanillathread/model'
import { EMPTY_BUDGET, FleetStepKind, countAvailable, type FleetStep, type PoolView } from './planPool.js'
import { createVmRecord, fleetKeys, OutReason, VmState, type BudgetRecord, type RowChange, type Stored, type VmRecord } from './records.js'

/** Inputs of a step's transaction. @public */
export interface StepContext {
  readonly view: PoolView
  /** Budget of the pool that the VM moves to; needed only to finish a move. */
  readonly targetBudget?: Stored<BudgetRecord>
  /** Operation id to record if the step begins a reboot. */
  readonly operationId: string
}

/**
 * Builds the changes of a step.
 *
 * @returns undefined if the step needs no transaction, if the budget does not allow it, or if the VM that is
 * to be rebooted has no row.
 * @public
 */
export function buildStepChanges (step: FleetStep, context: StepContext): RowChange[] | undefined {
  const { view } = context
  switch (step.kind) {
    case FleetStepKind.Adopt: return adopt(step.vmId, view)
    case FleetStepKind.MarkLost: return markLost(step.vmId, step.failedReturn, view)
    case FleetStepKind.Drain: return drain(step, view)
    case FleetStepKind.BeginReboot: return buildVmChange(step.vmId, view, { state: VmState.Rebooting, operationId: context.operationId })
    case FleetStepKind.CallReboot: return undefined
    case FleetStepKind.FinishMove: return finishMove(step.vmId, step.target, view, context.targetBudget ?? EMPTY_BUDGET)
    case FleetStepKind.Return: return returnVm(step.vmId, view)
    case FleetStepKind.Forget: return forget(step.vmId, view)
    default: throw exhaustiveSwitchError(step)
  }
}

function adopt (vmId: string, view: PoolView): RowChange[] {
  const { budget } = view
  return [
    { key: fleetKeys.vm(vmId), revision: 0, value: createVmRecord(view.poolId, view.nowMs) },
    buildBudgetChange(view.poolId, budget, { members: budget.value.members + 1 }),
  ]
}

function drain (step: Extract<FleetStep, { kind: FleetStepKind.Drain }>, view: PoolView): RowChange[] | undefined {
  if (countAvailable(view.budget.value) - 1 < view.minAvailable) return undefined
  const target = step.target === undefined ? {} : { target: step.target }
  return [
    ...buildVmChange(step.vmId, view, { state: VmState.Draining, reason: step.reason, ...target }) ?? [],
    buildBudgetChange(view.poolId, view.budget, { out: { ...view.budget.value.out, [step.vmId]: step.reason } }),
  ]
}

/** A loss is recorded even if it violates the budget, so that later steps take it into account. */
function markLost (vmId: string, failedReturn: boolean, view: PoolView): RowChange[] {
  const failure = failedReturn ? { failedReturnAtMs: view.nowMs } : {}
  return [
    ...buildVmChange(vmId, view, { state: VmState.Lost, reason: OutReason.Loss, ...failure }) ?? [],
    buildBudgetChange(view.poolId, view.budget, { out: { ...view.budget.value.out, [vmId]: OutReason.Loss } }),
  ]
}

function returnVm (vmId: string, view: PoolView): RowChange[] {
  const vm = view.vms.get(vmId)?.value
  const maintained = vm?.state === VmState.Rebooting ? { maintainedAtMs: view.nowMs } : {}
  return [
    ...buildVmChange(vmId, view, { state: VmState.Active, ...maintained }) ?? [],
    buildBudgetChange(view.poolId, view.budget, { out: omitKey(view.budget.value.out, vmId) }),
  ]
}

function finishMove (vmId: string, target: string, view: PoolView, targetBudget: Stored<BudgetRecord>): RowChange[] {
  const { budget } = view
  return [
    ...buildVmChange(vmId, view, { state: VmState.Active, pool: target }) ?? [],
    buildBudgetChange(view.poolId, budget, { members: budget.value.members - 1, out: omitKey(budget.value.out, vmId) }),
    buildBudgetChange(target, targetBudget, { members: targetBudget.value.members + 1 }),
  ]
}

function forget (vmId: string, view: PoolView): RowChange[] {
  const { budget } = view
  return [
    { key: fleetKeys.vm(vmId), revision: view.vms.get(vmId)?.revision ?? 0 },
    buildBudgetChange(view.poolId, budget, { members: budget.value.members - 1, out: omitKey(budget.value.out, vmId) }),
  ]
}

/** Builds the change of a VM's row. Fields of the earlier state are dropped, except that a reboot keeps the reason. */
function buildVmChange (vmId: string, view: PoolView, change: Partial<VmRecord> & { state: VmState }): RowChange[] | undefined {
  const stored = view.vms.get(vmId)
  if (stored === undefined) return undefined
  const { reason, target, operationId, ...kept } = stored.value
  const keptReason = change.state === VmState.Rebooting && reason !== undefined ? { reason } : {}
  const value: VmRecord = { ...kept, ...keptReason, ...change, epoch: kept.epoch + 1, sinceMs: view.nowMs }
  return [{ key: fleetKeys.vm(vmId), revision: stored.revision, value }]
}

function buildBudgetChange (poolId: string, budget: Stored<BudgetRecord>, change: Partial<BudgetRecord>): RowChange {
  return { key: fleetKeys.budget(poolId), revision: budget.revision, value: { ...budget.value, ...change } }
}

function omitKey<T> (record: Readonly<Record<string, T>>, key: string): Record<string, T> {
  const { [key]: _removed, ...rest } = record
  return rest
}
