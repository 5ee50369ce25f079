/**
 * Port to the platform's linearizable row store.
 */
import type { Result } from '@vanillathread/model'

/** Full key of a row. @public */
export interface RowKey {
  readonly table: string
  /** Part of the table, such as the name of a shard. Rows of one part can share a transaction. */
  readonly part: string
  /** Key in the part. */
  readonly key: string
}

/** A row as stored. @public */
export interface StoredRow extends RowKey {
  /** Content as it was written. */
  readonly value: Uint8Array
  /** Version of the store that the last write of the row created. */
  readonly version: number
  /** True in a feed if the row was removed; otherwise false. */
  readonly removed: boolean
}

/** A condition without which a transaction is not executed. @public */
export interface RowCondition extends RowKey {
  /** Version that the row must have; 0 means that the row must not exist. */
  readonly version: number
}

/** A row to write. @public */
export interface RowPut extends RowKey {
  readonly value: Uint8Array
}

/** Conditions and changes that are executed together or not at all. @public */
export interface RowTransaction {
  /** All must hold. */
  readonly conditions: readonly RowCondition[]
  readonly puts: readonly RowPut[]
  readonly removes: readonly RowKey[]
}

/** Kinds of {@link StoreFailure}. @public */
export enum StoreFailureKind {
  /** A condition did not hold, so nothing was done. */
  Conflict = 'conflict',
  /** The store refused the call or was not reached, so nothing was done. Also any failed read. */
  NotDone = 'not-done',
  /** Unknown outcome: no answer came. The transaction may have been executed, or may yet be. */
  Unknown = 'unknown',
  /** The store no longer keeps the changes after the requested version. */
  HistoryGone = 'history-gone',
}

/**
 * A failed call to the store; `rows` are the present rows that its conditions refer to. `busy` is true if the store refused the call
 * as it has too many, `unanswered` if it was not reached, or did not answer a read, and `rejected` if it would refuse the same call
 * again, for example because a row is too large. @public
 */
export type StoreFailure =
  | { readonly kind: StoreFailureKind.Conflict, readonly rows: readonly StoredRow[] }
  | { readonly kind: StoreFailureKind.NotDone | StoreFailureKind.Unknown | StoreFailureKind.HistoryGone, readonly reason: string, readonly busy?: boolean, readonly unanswered?: boolean, readonly rejected?: boolean }

/** Result of an executed transaction. @public */
export interface RowCommit {
  /** Version that all rows written now have. */
  readonly version: number
}

/** Rows as of one version of the store. @public */
export interface RowPage {
  /** For a range, rows in order of their key; for a feed, rows that changed. */
  readonly rows: readonly StoredRow[]
  /** Version of the store that the rows show; a feed continues after it. */
  readonly version: number
  /** True if the range has rows after the last one of this page. */
  readonly hasMore: boolean
}

/** A range of keys in one part of a table. @public */
export interface RowRange {
  readonly table: string
  readonly part: string
  /** First key of the range; the first of the part if absent. */
  readonly from?: string
  /** First key after the range; unbounded if absent. */
  readonly to?: string
  /** Largest number of rows to return. */
  readonly limit?: number
  /** True for a page of a whole table. It gets a longer timeout, as it may take seconds on a slow link. */
  readonly bulk?: boolean
}

/**
 * A reading of the store's steady clock. The store took it at some time between sending the request and receiving the answer.
 * @public
 */
export interface StoreClockReading {
  readonly clockMs: number
  /** Time since the request was sent, in milliseconds. */
  readonly sentAgoMs: number
}

/** Port to the row store. @public */
export interface RowStore {
  /** Executes a transaction if all its conditions hold. */
  transact (transaction: RowTransaction): Promise<Result<RowCommit, StoreFailure>>
  /** Reads the rows of a range, or the first ones of them. */
  readRange (range: RowRange): Promise<Result<RowPage, StoreFailure>>
  /** Long poll: returns the rows of a table that changed after a version, or none if none changes within `waitMs`. */
  readFeed (table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreFailure>>
  /**
   * Returns the store's steady clock in milliseconds, estimated from its latest answer. The clock may be ahead of the estimate
   * by the time that the answer took, never behind.
   */
  getStoreClockMs (): number
  /** Returns the clock in the latest answer to a call that does not wait for changes, or undefined before the first one. */
  getStoreClockReading (): StoreClockReading | undefined
  /** Returns the time since the store last answered a call, in milliseconds. */
  getTimeSinceAnswerMs (): number
}
