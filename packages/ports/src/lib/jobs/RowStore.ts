/**
 * Port to the platform's linearizable rows.
 */
import type { Result } from '@vanillathread/model'

/** Names a row. @public */
export interface RowKey {
  readonly table: string
  /** Rows of one part can share a transaction. */
  readonly part: string
  readonly key: string
}

/** A row as stored. @public */
export interface StoredRow extends RowKey {
  readonly value: Uint8Array
  /** Version of the store at which the row was last written. */
  readonly version: number
  /** True in a feed where the row was removed. */
  readonly removed: boolean
}

/** What must hold for a transaction. @public */
export interface RowCondition extends RowKey {
  /** Version that the row must have; 0 demands that it does not exist. */
  readonly version: number
}

/** A row to write. @public */
export interface RowPut extends RowKey {
  readonly value: Uint8Array
}

/** Conditions and changes that are applied together or not at all. @public */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[]
  readonly puts: readonly RowPut[]
  readonly removes: readonly RowKey[]
}

/** Why a call to the store gave no result. @public */
export enum StoreFailureKind {
  /** A condition did not hold; nothing was done. */
  Conflict = 'conflict',
  /** The store refused or was not reached; nothing was done. */
  NotDone = 'not-done',
  /** No answer; the call may have been carried out, or may yet be. */
  Unknown = 'unknown',
  /** The requested history is no longer kept. */
  HistoryGone = 'history-gone',
}

/** A failed call. @public */
export type StoreFailure =
  | { readonly kind: StoreFailureKind.Conflict, readonly rows: readonly StoredRow[] }
  | { readonly kind: StoreFailureKind.NotDone | StoreFailureKind.Unknown | StoreFailureKind.HistoryGone, readonly reason: string }

/** Result of a transaction. @public */
export interface RowCommit {
  /** Version of the rows written. */
  readonly version: number
}

/** Rows as of one moment. @public */
export interface RowPage {
  readonly rows: readonly StoredRow[]
  readonly version: number
  readonly hasMore: boolean
}

/** Range of a read. @public */
export interface RowRange {
  readonly table: string
  readonly part: string
  readonly from?: string
  /** First key after the range. */
  readonly to?: string
  readonly limit?: number
  /** True for pages of a whole table, which may take seconds on a slow link. */
  readonly bulk?: boolean
}

/** Port to the rows. @public */
export interface RowStore {
  transact (transaction: RowTransaction): Promise<Result<RowCommit, StoreFailure>>
  readRange (range: RowRange): Promise<Result<RowPage, StoreFailure>>
  /** Returns the rows of a table that changed after a version, waiting at most `waitMs` for the first. */
  readFeed (table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreFailure>>
  /** Estimate of the store's steady clock in milliseconds, from the latest answer. */
  nowMs (): number
  /** Time since the store last answered a call, in milliseconds. */
  silentForMs (): number
}
