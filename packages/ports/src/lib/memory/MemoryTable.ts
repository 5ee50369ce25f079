/**
 * Table service in memory, with serializable transactions.
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError } from '../PlatformError.js'
import type { TableChange, TableChanges, TableCondition, TableRow, TableService, TableTransaction, TableWrite } from '../TableService.js'

/** Numbers of operations that a table has executed. @public */
export interface TableCounters {
  reads: number
  writes: number
}

/** Table service in memory. @public */
export class MemoryTable implements TableService {
  readonly counters: TableCounters = { reads: 0, writes: 0 }
  private revision = 0
  private readonly rows = new Map<string, TableChange>()

  private constructor () {}

  static create (): MemoryTable {
    return new MemoryTable()
  }

  async read (key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    this.counters.reads += 1
    const row = this.rows.get(key)
    if (row?.value === undefined) return Result.ok(undefined)
    return Result.ok({ key, value: structuredClone(row.value), revision: row.revision })
  }

  async readChanges (prefix: string, sinceRevision: number): Promise<Result<TableChanges, PlatformError>> {
    this.counters.reads += 1
    const changes: TableChange[] = []
    for (const row of this.rows.values()) {
      if (row.revision > sinceRevision && row.key.startsWith(prefix)) changes.push(structuredClone(row))
    }
    changes.sort((a, b) => a.revision - b.revision)
    return Result.ok({ changes, revision: this.revision })
  }

  async transact (transaction: TableTransaction): Promise<Result<number, PlatformError>> {
    const unsatisfied = transaction.conditions.filter((condition) => !this.isSatisfied(condition))
    if (unsatisfied.length > 0) {
      return Result.err({ kind: PlatformErrorKind.Conflict, keys: unsatisfied.map((condition) => condition.key) })
    }
    this.counters.writes += transaction.writes.length
    this.revision += 1
    for (const write of transaction.writes) this.write(write)
    return Result.ok(this.revision)
  }

  private isSatisfied (condition: TableCondition): boolean {
    const row = this.rows.get(condition.key)
    const present = row?.value !== undefined
    return present ? row.revision === condition.revision : condition.revision === 0
  }

  private write ({ key, value }: TableWrite): void {
    // The row is deleted first, so that the map holds rows in order of revision, newest last.
    this.rows.delete(key)
    this.rows.set(key, { key, value: structuredClone(value), revision: this.revision })
  }
}
