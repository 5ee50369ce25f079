/**
 * Records every executed transaction and reboot, and checks the fleet's promises at each of them.
 */
import type { Result } from '@vanillathread/model'
import { type MemoryTable, type PlatformError, type TableTransaction } from '@vanillathread/ports'
import {
  budgetRecordSchema, FLEET_PREFIX, fleetKeys, countAvailable, OutReason, vmRecordSchema, VmState,
  type BudgetRecord, type VmRecord,
} from '@vanillathread/policy'

/** A promise that was broken. */
export interface Violation {
  readonly rule: string
  readonly detail: string
}

const VM_PREFIX = fleetKeys.vm('')
const BUDGET_PREFIX = fleetKeys.budget('')

/** History of one run. */
export class FleetHistory {
  readonly violations: Violation[] = []
  /** Executed reboots by VM. */
  readonly reboots = new Map<string, number>()
  private readonly vms = new Map<string, VmRecord>()
  private readonly budgets = new Map<string, BudgetRecord>()

  private constructor (private readonly table: MemoryTable, private readonly getMinimums: () => ReadonlyMap<string, number>) {}

  static create (table: MemoryTable, getMinimums: () => ReadonlyMap<string, number>): FleetHistory {
    return new FleetHistory(table, getMinimums)
  }

  /** Executes a transaction and checks the state after it. */
  async transact (daemonId: string, transaction: TableTransaction): Promise<Result<number, PlatformError>> {
    const res = await this.table.transact(transaction)
    if (res.ok && transaction.writes.some(({ key }) => key.startsWith(FLEET_PREFIX))) this.noteTransaction(daemonId, transaction)
    return res
  }

  /** Checks that a reboot is one that the table holds as begun. */
  noteReboot (daemonId: string, vmId: string, operationId: string): void {
    const vm = this.vms.get(vmId)
    if (vm?.operationId !== operationId || vm.state !== VmState.Rebooting) {
      this.violate('no action by a fenced holder', `${daemonId} rebooted ${vmId} for ${operationId}`)
    }
    this.reboots.set(vmId, (this.reboots.get(vmId) ?? 0) + 1)
  }

  /** VM rows as of the last transaction. */
  listVms (): ReadonlyMap<string, VmRecord> {
    return this.vms
  }

  private noteTransaction (daemonId: string, transaction: TableTransaction): void {
    const outBefore = new Map([...this.budgets].map(([poolId, { out }]) => [poolId, new Set(Object.keys(out))]))
    for (const { key, value } of transaction.writes) this.takeIn(key, value)
    for (const [poolId, budget] of this.budgets) {
      this.checkBudget(daemonId, poolId, budget, outBefore.get(poolId) ?? new Set())
      this.checkConsistency(daemonId, poolId, budget)
    }
  }

  private takeIn (key: string, value: unknown): void {
    if (key.startsWith(VM_PREFIX)) {
      const vmId = key.slice(VM_PREFIX.length)
      if (value === undefined) this.vms.delete(vmId)
      else this.vms.set(vmId, vmRecordSchema.parse(value))
    } else if (key.startsWith(BUDGET_PREFIX)) {
      this.budgets.set(key.slice(BUDGET_PREFIX.length), budgetRecordSchema.parse(value))
    }
  }

  /** A VM is taken out by plan only where the pool's budget still holds afterwards. */
  private checkBudget (daemonId: string, poolId: string, budget: BudgetRecord, before: ReadonlySet<string>): void {
    const planned = Object.entries(budget.out).filter(([vmId, reason]) => !before.has(vmId) && reason !== OutReason.Loss)
    const minimum = this.getMinimums().get(poolId) ?? 0
    if (planned.length > 0 && countAvailable(budget) < minimum) {
      this.violate('availability budget', `${daemonId} left ${countAvailable(budget)} of ${minimum} in ${poolId}`)
    }
  }

  /** The budget row counts exactly the VMs whose rows name the pool, and those of them that are out. */
  private checkConsistency (daemonId: string, poolId: string, budget: BudgetRecord): void {
    const members = [...this.vms].filter(([, vm]) => vm.pool === poolId)
    const out = members.filter(([, vm]) => vm.state !== VmState.Active).map(([vmId]) => vmId).sort()
    if (members.length !== budget.members) this.violate('one pool per VM', `${daemonId}: ${poolId} counts ${budget.members} of ${members.length}`)
    if (out.join() !== Object.keys(budget.out).sort().join()) this.violate('budget entry', `${daemonId}: ${poolId} has ${out.join()} out`)
  }

  private violate (rule: string, detail: string): void {
    this.violations.push({ rule, detail })
  }
}
