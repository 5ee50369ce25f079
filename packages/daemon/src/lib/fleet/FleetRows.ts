/**
 * The fleet's rows, checked and typed.
 */
import type { TableService } from '@vanillathread/ports'
import {
  budgetRecordSchema, EMPTY_BUDGET, FLEET_PREFIX, fleetKeys, leaseRecordSchema, loanRecordSchema, vmRecordSchema,
  type BudgetRecord, type LeaseRecord, type LoanRecord, type RowChange, type Stored, type VmRecord,
} from '@vanillathread/policy'
import { TableCache } from './TableCache.js'

const VM_PREFIX = fleetKeys.vm('')
const LOAN_PREFIX = fleetKeys.loan('')

/** Typed view of the fleet's rows. */
export class FleetRows {
  private readonly cache: TableCache
  private readonly vms = new Map<string, Stored<VmRecord>>()
  private loanChangeCount = 0
  private readonly vmsByPool = new Map<string, Map<string, Stored<VmRecord>>>()

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

  /** Rows of the VMs that are in a pool. */
  listVmsOf (poolId: string): ReadonlyMap<string, Stored<VmRecord>> {
    return this.vmsByPool.get(poolId) ?? NO_VMS
  }

  /** Pools that have VMs. */
  listPools (): string[] {
    return [...this.vmsByPool.keys()]
  }

  getBudget (poolId: string): Stored<BudgetRecord> {
    const row = this.cache.get(fleetKeys.budget(poolId))
    return row === undefined ? EMPTY_BUDGET : { value: budgetRecordSchema.parse(row.value), revision: row.revision }
  }

  getLease (poolId: string): Stored<LeaseRecord> | undefined {
    const row = this.cache.get(fleetKeys.lease(poolId))
    return row === undefined ? undefined : { value: leaseRecordSchema.parse(row.value), revision: row.revision }
  }

  /** Number of changes of loans that were seen. */
  get loanChanges (): number {
    return this.loanChangeCount
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
      if (key.startsWith(LOAN_PREFIX)) this.loanChangeCount += 1
      if (!key.startsWith(VM_PREFIX)) continue
      const row = this.cache.get(key)
      this.put(key.slice(VM_PREFIX.length), row === undefined ? undefined : { value: vmRecordSchema.parse(row.value), revision: row.revision })
    }
  }

  /** Keeps the index by pool in step with the rows. */
  private put (vmId: string, stored: Stored<VmRecord> | undefined): void {
    const before = this.vms.get(vmId)
    if (before !== undefined) this.removeFromPool(vmId, before.value.pool)
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
