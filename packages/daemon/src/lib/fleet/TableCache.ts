/**
 * Follows the rows below a prefix through the table's change feed.
 */
import type { TableChange, TableService } from '@vanillathread/ports'
import type { RowChange, Stored } from '@vanillathread/policy'

/** Called with the keys that have changed. */
export type CacheListener = (keys: readonly string[]) => void

/** Rows as last read or written. */
export class TableCache {
  private readonly rows = new Map<string, Stored<unknown>>()
  private readonly listeners: CacheListener[] = []
  private revision = 0
  private refreshed = false

  private constructor (private readonly table: TableService, private readonly prefix: string) {}

  static create (options: { table: TableService, prefix: string }): TableCache {
    return new TableCache(options.table, options.prefix)
  }

  /** True once the rows were read at least once. */
  get isFilled (): boolean {
    return this.refreshed
  }

  /** Reads what has changed. @returns false where the table did not answer. */
  async refresh (): Promise<boolean> {
    const res = await this.table.readChanges(this.prefix, this.revision)
    if (!res.ok) return false
    this.refreshed = true
    const keys = res.value.changes.filter((change) => this.takeIn(change)).map(({ key }) => key)
    this.revision = Math.max(this.revision, res.value.revision)
    if (keys.length > 0) this.notify(keys)
    return true
  }

  get (key: string): Stored<unknown> | undefined {
    return this.rows.get(key)
  }

  /** Returns the rows below a longer prefix, with the rest of their keys. */
  list (prefix: string): Array<[string, Stored<unknown>]> {
    const found: Array<[string, Stored<unknown>]> = []
    for (const [key, row] of this.rows) {
      if (key.startsWith(prefix)) found.push([key.slice(prefix.length), row])
    }
    return found
  }

  /** Takes in rows that this daemon has written itself. */
  noteWritten (changes: readonly RowChange[], revision: number): void {
    for (const { key, value } of changes) this.takeIn({ key, value, revision })
    this.notify(changes.map(({ key }) => key))
  }

  subscribe (listener: CacheListener): void {
    this.listeners.push(listener)
  }

  private takeIn ({ key, value, revision }: TableChange): boolean {
    if ((this.rows.get(key)?.revision ?? 0) >= revision) return false
    if (value === undefined) this.rows.delete(key)
    else this.rows.set(key, { value, revision })
    return true
  }

  private notify (keys: readonly string[]): void {
    for (const listener of this.listeners) listener(keys)
  }
}
