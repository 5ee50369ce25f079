/**
 * The platform's transactional table service.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** A row as stored. @public */
export interface TableRow {
  readonly key: string
  /** JSON-compatible content. */
  readonly value: unknown
  /** Revision of the table at which the row was last written. */
  readonly revision: number
}

/** A row that changed or was deleted. @public */
export interface TableChange {
  readonly key: string
  /** Content, or undefined where the row was deleted. */
  readonly value?: unknown
  readonly revision: number
}

/** What must hold for a transaction to be executed. @public */
export interface TableCondition {
  readonly key: string
  /** Revision that the row must still have; 0 demands that the row is absent. */
  readonly revision: number
}

/** One write of a transaction. @public */
export interface TableWrite {
  readonly key: string
  /** New content, or undefined to delete the row. */
  readonly value?: unknown
}

/** Conditions and writes that are executed together or not at all. @public */
export interface TableTransaction {
  readonly conditions: readonly TableCondition[]
  readonly writes: readonly TableWrite[]
}

/** Rows changed since a revision. @public */
export interface TableChanges {
  readonly changes: readonly TableChange[]
  /** Revision up to which the changes are complete. */
  readonly revision: number
}

/** Port to the table service. @public */
export interface TableService {
  read (key: string): Promise<Result<TableRow | undefined, PlatformError>>
  /** Reads the rows below a prefix that changed after a revision, in order of revision. */
  readChanges (prefix: string, sinceRevision: number): Promise<Result<TableChanges, PlatformError>>
  /** Executes a transaction and returns the revision of its writes. */
  transact (transaction: TableTransaction): Promise<Result<number, PlatformError>>
}
