/**
 * Caches the table rows below a key prefix, and refreshes them from the table's change feed.
 */
import type { TableChange, TableService } from '@vanillathread/ports'
import type { RowChange, Stored } from '@vanillathread/policy'

/** Called with the keys of the rows that have changed. */
export type CacheListener = (keys: readonly string[]) => void

/** Rows below a key prefix, as last read from the table or written by this daemon. */
export class TableCache {
  private readonly rows = new Map<string, Stored<unknown>>()
  private readonly listeners: CacheListener[] = []
  /** Revision of the table up to which changes have been read. */
  private revision = 0
  private refreshed = false

  private constructor (private readonly table: TableService, private readonly prefix: string) {}

  static create (options: { table: TableService, prefix: string }): TableCache {
    return new TableCache(options.table, options.prefix)
  }

  /** True once the rows have been read at least once. */
  get isFilled (): boolean {
    return this.refreshed
  }

  /** Reads the rows that have changed since the last refresh. @returns false if the read failed. */
  async refresh (): Promise<boolean> {
    const res = await this.table.readChanges(this.prefix, this.revision)
    if (!res.ok) return false
    this.refreshed = true
    const keys = res.value.changes.filter((change) => this.applyChange(change)).map(({ key }) => key)
    this.revision = Math.max(this.revision, res.value.revision)
    if (keys.length > 0) this.notify(keys)
    return true
  }

  get (key: string): Stored<unknown> | undefined {
    return this.rows.get(key)
  }

  /** Returns the rows whose keys start with `prefix`, each with the rest of its key. */
  list (prefix: string): Array<[string, Stored<unknown>]> {
    const found: Array<[string, Stored<unknown>]> = []
    for (const [key, row] of this.rows) {
      if (key.startsWith(prefix)) found.push([key.slice(prefix.length), row])
    }
    return found
  }

  /** Applies rows that this daemon has written, without waiting for the next refresh. */
  applyOwnWrites (changes: readonly RowChange[], revision: number): void {
    for (const { key, value } of changes) this.applyChange({ key, value, revision })
    this.notify(changes.map(({ key }) => key))
  }

  subscribe (listener: CacheListener): void {
    this.listeners.push(listener)
  }

  /** Applies a change. @returns false if the cached row is at least as new. */
  private applyChange ({ key, value, revision }: TableChange): boolean {
    if ((this.rows.get(key)?.revision ?? 0) >= revision) return false
    if (value === undefined) this.rows.delete(key)
    else this.rows.set(key, { value, revision })
    return true
  }

  private notify (keys: readonly string[]): void {
    for (const listener of this.listeners) listener(keys)
  }
}
