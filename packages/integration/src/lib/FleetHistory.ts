/**
 * Records every executed transaction and reboot, and checks the fleet's invariants after each of them.
 */
import type { Result } from '@vanillathread/model'
import { type MemoryTable, type PlatformError, type TableTransaction } from '@vanillathread/ports'
import {
  budgetRecordSchema, FLEET_PREFIX, fleetKeys, countAvailable, OutReason, vmRecordSchema, VmState,
  type BudgetRecord, type VmRecord,
} from '@vanillathread/policy'

/** An invariant that was violated. */
export interface FleetViolation {
  /**
   * Short name of the invariant:
   * - `no action by a fenced holder`: a controller reboots a VM whose row does not record that reboot, for example because another controller has taken over the VM's operation.
   * - `availability budget`: a planned removal from service leaves fewer available VMs in a pool than its minimum.
   * - `one pool per VM`: the number of members in a pool's budget row differs from the number of its VM rows.
   * - `budget entry`: a pool's budget row does not list exactly the VMs of the pool that are out of service.
   */
  readonly rule: string
  readonly detail: string
}

const VM_PREFIX = fleetKeys.vm('')
const BUDGET_PREFIX = fleetKeys.budget('')

/** Records the fleet rows and reboots of one simulation run. */
export class FleetHistory {
  readonly violations: FleetViolation[] = []
  /** Number of executed reboots by VM id. */
  readonly reboots = new Map<string, number>()
  private readonly vms = new Map<string, VmRecord>()
  private readonly budgets = new Map<string, BudgetRecord>()

  private constructor (private readonly table: MemoryTable, private readonly getMinimums: () => ReadonlyMap<string, number>) {}

  /** Creates a history. `getMinimums` returns the number of VMs that must stay available, by pool id. */
  static create (table: MemoryTable, getMinimums: () => ReadonlyMap<string, number>): FleetHistory {
    return new FleetHistory(table, getMinimums)
  }

  /** Executes a transaction. If it succeeds and writes fleet rows, the state after it is checked. */
  async transact (daemonId: string, transaction: TableTransaction): Promise<Result<number, PlatformError>> {
    const res = await this.table.transact(transaction)
    if (res.ok && transaction.writes.some(({ key }) => key.startsWith(FLEET_PREFIX))) this.recordTransaction(daemonId, transaction)
    return res
  }

  /** Records a reboot and checks that the VM's row has the state `Rebooting` and the same operation id. */
  recordReboot (daemonId: string, vmId: string, operationId: string): void {
    const vm = this.vms.get(vmId)
    if (vm?.operationId !== operationId || vm.state !== VmState.Rebooting) {
      this.addViolation('no action by a fenced holder', `${daemonId} rebooted ${vmId} for ${operationId}`)
    }
    this.reboots.set(vmId, (this.reboots.get(vmId) ?? 0) + 1)
  }

  /** Returns the VM rows as of the last transaction, by VM id. */
  listVms (): ReadonlyMap<string, VmRecord> {
    return this.vms
  }

  private recordTransaction (daemonId: string, transaction: TableTransaction): void {
    const outBefore = new Map([...this.budgets].map(([poolId, { out }]) => [poolId, new Set(Object.keys(out))]))
    for (const { key, value } of transaction.writes) this.applyWrite(key, value)
    for (const [poolId, budget] of this.budgets) {
      this.checkBudget(daemonId, poolId, budget, outBefore.get(poolId) ?? new Set())
      this.checkConsistency(daemonId, poolId, budget)
    }
  }

  private applyWrite (key: string, value: unknown): void {
    if (key.startsWith(VM_PREFIX)) {
      const vmId = key.slice(VM_PREFIX.length)
      if (value === undefined) this.vms.delete(vmId)
      else this.vms.set(vmId, vmRecordSchema.parse(value))
    } else if (key.startsWith(BUDGET_PREFIX)) {
      this.budgets.set(key.slice(BUDGET_PREFIX.length), budgetRecordSchema.parse(value))
    }
  }

  /** Checks that VMs were taken out of service by plan only if the pool still has its minimum of available VMs afterwards. */
  private checkBudget (daemonId: string, poolId: string, budget: BudgetRecord, outBefore: ReadonlySet<string>): void {
    const planned = Object.entries(budget.out).filter(([vmId, reason]) => !outBefore.has(vmId) && reason !== OutReason.Loss)
    const minimum = this.getMinimums().get(poolId) ?? 0
    if (planned.length > 0 && countAvailable(budget) < minimum) {
      this.addViolation('availability budget', `${daemonId} left ${countAvailable(budget)} VMs available, but the minimum is ${minimum} in ${poolId}`)
    }
  }

  /** Checks that the budget row counts exactly the pool's VM rows and lists exactly those of them that are out of service. */
  private checkConsistency (daemonId: string, poolId: string, budget: BudgetRecord): void {
    const members = [...this.vms].filter(([, vm]) => vm.pool === poolId)
    const out = members.filter(([, vm]) => vm.state !== VmState.Active).map(([vmId]) => vmId).sort()
    if (members.length !== budget.members) this.addViolation('one pool per VM', `${daemonId}: the budget row of ${poolId} counts ${budget.members} VMs, but the pool has ${members.length}`)
    if (out.join() !== Object.keys(budget.out).sort().join()) this.addViolation('budget entry', `${daemonId}: the budget row of ${poolId} does not list exactly the VMs out of service: ${out.join()}`)
  }

  private addViolation (rule: string, detail: string): void {
    this.violations.push({ rule, detail })
  }
}
