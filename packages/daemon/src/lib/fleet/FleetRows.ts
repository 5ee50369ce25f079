/**
 * The fleet's rows, checked and typed.
 */
import type { TableService } from '@vanillathread/platform'
import {
  budgetRecordSchema, EMPTY_BUDGET, FLEET_PREFIX, fleetKeys, leaseRecordSchema, loanRecordSchema, vmRecordSchema,
  type BudgetRecord, type LeaseRecord, type LoanRecord, type RowChange, type Stored, type VmRecord,
} from '@vanillathread/policy'
import { TableCache } from './TableCache.js'

const VM_PREFIX = fleetKeys.vm('')

/** Typed view of the fleet's rows. */
export class FleetRows {
  private readonly cache: TableCache
  private readonly vms = new Map<string, Stored<VmRecord>>()

  private constructor (table: TableService) {
    this.cache = TableCache.create({ table, prefix: FLEET_PREFIX })
    this.cache.subscribe((keys) => this.takeIn(keys))
  }

  static create (table: TableService): FleetRows {
    return new FleetRows(table)
  }

  /** True once the rows were read at least once. */
  get isFilled (): boolean {
    return this.cache.isFilled
  }

  refresh (): Promise<boolean> {
    return this.cache.refresh()
  }

  /** Rows of all VMs by id. */
  listVms (): ReadonlyMap<string, Stored<VmRecord>> {
    return this.vms
  }

  getBudget (poolId: string): Stored<BudgetRecord> {
    const row = this.cache.get(fleetKeys.budget(poolId))
    return row === undefined ? EMPTY_BUDGET : { value: budgetRecordSchema.parse(row.value), revision: row.revision }
  }

  getLease (poolId: string): Stored<LeaseRecord> | undefined {
    const row = this.cache.get(fleetKeys.lease(poolId))
    return row === undefined ? undefined : { value: leaseRecordSchema.parse(row.value), revision: row.revision }
  }

  getLoan (vmId: string): Stored<LoanRecord> | undefined {
    const row = this.cache.get(fleetKeys.loan(vmId))
    return row === undefined ? undefined : { value: loanRecordSchema.parse(row.value), revision: row.revision }
  }

  noteWritten (changes: readonly RowChange[], revision: number): void {
    this.cache.noteWritten(changes, revision)
  }

  /** Calls back with the ids of VMs whose row has changed. */
  subscribeVms (listener: (vmIds: readonly string[]) => void): void {
    this.cache.subscribe((keys) => {
      const vmIds = keys.filter((key) => key.startsWith(VM_PREFIX)).map((key) => key.slice(VM_PREFIX.length))
      if (vmIds.length > 0) listener(vmIds)
    })
  }

  private takeIn (keys: readonly string[]): void {
    for (const key of keys) {
      if (!key.startsWith(VM_PREFIX)) continue
      const row = this.cache.get(key)
      const vmId = key.slice(VM_PREFIX.length)
      if (row === undefined) this.vms.delete(vmId)
      else this.vms.set(vmId, { value: vmRecordSchema.parse(row.value), revision: row.revision })
    }
  }
}
