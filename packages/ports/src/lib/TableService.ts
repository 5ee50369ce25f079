/**
 * Port to the platform's transactional table service.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** A row as stored. @public */
export interface TableRow {
  readonly key: string
  /** JSON-compatible content. */
  readonly value: unknown
  /** Revision of the table that the last write of the row created. */
  readonly revision: number
}

/** A row that changed or was deleted. @public */
export interface TableChange {
  readonly key: string
  /** Content, or undefined if the row was deleted. */
  readonly value?: unknown
  /** Revision of the table that the change created. */
  readonly revision: number
}

/** A condition without which a transaction is not executed. @public */
export interface TableCondition {
  readonly key: string
  /** Revision that the row must have; 0 means that the row must not exist. */
  readonly revision: number
}

/** One write of a transaction. @public */
export interface TableWrite {
  readonly key: string
  /** New content, or undefined if the row is to be deleted. */
  readonly value?: unknown
}

/** Conditions and writes that are executed together or not at all. @public */
export interface TableTransaction {
  readonly conditions: readonly TableCondition[]
  readonly writes: readonly TableWrite[]
}

/** Changes of rows after a revision. @public */
export interface TableChanges {
  readonly changes: readonly TableChange[]
  /** Revision up to which the changes are complete. */
  readonly revision: number
}

/** Port to the table service. @public */
export interface TableService {
  /** Reads a row, or returns undefined if there is none. */
  read (key: string): Promise<Result<TableRow | undefined, PlatformError>>
  /** Reads the changes of rows whose key begins with a prefix, after a revision and in order of revision. */
  readChanges (prefix: string, sinceRevision: number): Promise<Result<TableChanges, PlatformError>>
  /** Executes a transaction and returns the revision of its writes. */
  transact (transaction: TableTransaction): Promise<Result<number, PlatformError>>
}
