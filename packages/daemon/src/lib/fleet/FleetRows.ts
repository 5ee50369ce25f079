/**
 * The fleet's rows in the table, parsed by their schemas.
 */
import type { TableService } from '@vanillathread/ports'
import {
  budgetRecordSchema, EMPTY_BUDGET, FLEET_PREFIX, fleetKeys, leaseRecordSchema, loanRecordSchema, vmRecordSchema,
  type BudgetRecord, type LeaseRecord, type LoanRecord, type RowChange, type Stored, type VmRecord,
} from '@vanillathread/policy'
import { TableCache } from './TableCache.js'

const VM_PREFIX = fleetKeys.vm('')
const LOAN_PREFIX = fleetKeys.loan('')

/** Typed cache of the fleet's rows, with an index of the VMs by pool. */
export class FleetRows {
  private readonly cache: TableCache
  private readonly vms = new Map<string, Stored<VmRecord>>()
  private loanChangeCount = 0
  private readonly vmsByPool = new Map<string, Map<string, Stored<VmRecord>>>()

  private constructor (table: TableService) {
    this.cache = TableCache.create({ table, prefix: FLEET_PREFIX })
    this.cache.subscribe((keys) => this.applyChanges(keys))
  }

  static create (table: TableService): FleetRows {
    return new FleetRows(table)
  }

  /** True once the rows have been read at least once. */
  get isFilled (): boolean {
    return this.cache.isFilled
  }

  /** Reads the rows that have changed since the last refresh. @returns false if the read failed. */
  refresh (): Promise<boolean> {
    return this.cache.refresh()
  }

  /** Returns the rows of all VMs by VM id. */
  listVms (): ReadonlyMap<string, Stored<VmRecord>> {
    return this.vms
  }

  /** Returns the rows of the VMs that are in a pool, by VM id. */
  listVmsOf (poolId: string): ReadonlyMap<string, Stored<VmRecord>> {
    return this.vmsByPool.get(poolId) ?? NO_VMS
  }

  /** Returns the pools that have VMs. */
  listPools (): string[] {
    return [...this.vmsByPool.keys()]
  }

  /** Returns the budget row of a pool, or an empty budget with revision 0 if there is none. */
  getBudget (poolId: string): Stored<BudgetRecord> {
    const row = this.cache.get(fleetKeys.budget(poolId))
    return row === undefined ? EMPTY_BUDGET : { value: budgetRecordSchema.parse(row.value), revision: row.revision }
  }

  getLease (poolId: string): Stored<LeaseRecord> | undefined {
    const row = this.cache.get(fleetKeys.lease(poolId))
    return row === undefined ? undefined : { value: leaseRecordSchema.parse(row.value), revision: row.revision }
  }

  /** Number of changes to loan rows seen so far. A caller compares it to detect changes. */
  get loanChanges (): number {
    return this.loanChangeCount
  }

  getLoan (vmId: string): Stored<LoanRecord> | undefined {
    const row = this.cache.get(fleetKeys.loan(vmId))
    return row === undefined ? undefined : { value: loanRecordSchema.parse(row.value), revision: row.revision }
  }

  /** Applies rows that this daemon has written, without waiting for the next refresh. */
  applyOwnWrites (changes: readonly RowChange[], revision: number): void {
    this.cache.applyOwnWrites(changes, revision)
  }

  /** Calls back with the ids of the VMs whose rows have changed. */
  subscribeVms (listener: (vmIds: readonly string[]) => void): void {
    this.cache.subscribe((keys) => {
      const vmIds = keys.filter((key) => key.startsWith(VM_PREFIX)).map((key) => key.slice(VM_PREFIX.length))
      if (vmIds.length > 0) listener(vmIds)
    })
  }

  private applyChanges (keys: readonly string[]): void {
    for (const key of keys) {
      if (key.startsWith(LOAN_PREFIX)) this.loanChangeCount += 1
      if (!key.startsWith(VM_PREFIX)) continue
      const row = this.cache.get(key)
      this.setVm(key.slice(VM_PREFIX.length), row === undefined ? undefined : { value: vmRecordSchema.parse(row.value), revision: row.revision })
    }
  }

  /** Sets or deletes a VM's row and updates the index by pool. */
  private setVm (vmId: string, stored: Stored<VmRecord> | undefined): void {
    const previous = this.vms.get(vmId)
    if (previous !== undefined) this.removeFromPool(vmId, previous.value.pool)
    if (stored === undefined) {
      this.vms.delete(vmId)
      return
    }
    this.vms.set(vmId, stored)
    const members = this.vmsByPool.get(stored.value.pool) ?? new Map<string, Stored<VmRecord>>()
    this.vmsByPool.set(stored.value.pool, members.set(vmId, stored))
  }

  private removeFromPool (vmId: string, poolId: string): void {
    const members = this.vmsByPool.get(poolId)
    members?.delete(vmId)
    if (members?.size === 0) this.vmsByPool.delete(poolId)
  }
}

const NO_VMS: ReadonlyMap<string, Stored<VmRecord>> = new Map()
