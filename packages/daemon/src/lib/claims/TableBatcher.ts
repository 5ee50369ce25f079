/**
 * Combines conditional writes of many rows into few transactions (group commit).
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError, type TableService } from '@vanillathread/ports'

/** One conditional write. */
export interface RowWrite {
  readonly key: string
  /** Revision that the row must have; 0 if the row must not exist. */
  readonly revision: number
  /** New content, or undefined to delete the row. */
  readonly value?: unknown
}

interface PendingWrite {
  readonly write: RowWrite
  settle (result: Result<number, PlatformError>): void
}

/** Most writes in one transaction. */
const MAX_BATCH_WRITES = 64

/** Collects writes while a transaction is in progress, then sends them in the next one. */
export class TableBatcher {
  private pendingWrites: PendingWrite[] = []
  /** True while transactions are being sent. */
  private busy = false

  private constructor (private readonly table: TableService) {}

  static create (table: TableService): TableBatcher {
    return new TableBatcher(table)
  }

  /** Writes one row. A conflict on another row of the same transaction does not make this write fail. @returns the row's new revision. */
  write (write: RowWrite): Promise<Result<number, PlatformError>> {
    return new Promise((resolve) => {
      this.pendingWrites.push({ write, settle: resolve })
      this.flush()
    })
  }

  private async flush (): Promise<void> {
    if (this.busy) return
    this.busy = true
    while (this.pendingWrites.length > 0) await this.commit(this.takeBatch())
    this.busy = false
  }

  /** Takes writes of distinct rows; a second write of the same row goes into a later transaction. */
  private takeBatch (): PendingWrite[] {
    const keys = new Set<string>()
    const batch: PendingWrite[] = []
    const rest: PendingWrite[] = []
    for (const pending of this.pendingWrites) {
      if (batch.length < MAX_BATCH_WRITES && !keys.has(pending.write.key)) {
        keys.add(pending.write.key)
        batch.push(pending)
      } else {
        rest.push(pending)
      }
    }
    this.pendingWrites = rest
    return batch
  }

  private async commit (batch: readonly PendingWrite[]): Promise<void> {
    const res = await this.table.transact({
      conditions: batch.map(({ write }) => ({ key: write.key, revision: write.revision })),
      writes: batch.map(({ write }) => ({ key: write.key, value: write.value })),
    })
    if (!res.ok && res.error.kind === PlatformErrorKind.Conflict) this.settleConflicts(batch, new Set(res.error.keys))
    else settleAll(batch, res)
  }

  /**
   * Fails the writes whose condition does not hold, and puts the others at the head of the queue again. Each round thus has
   * fewer writes than the one before; if the conflict names none of them, all fail, as nothing was written.
   */
  private settleConflicts (batch: readonly PendingWrite[], keys: ReadonlySet<string>): void {
    const others = batch.filter(({ write }) => !keys.has(write.key))
    if (others.length === batch.length) {
      settleAll(batch, Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'conflict names no row of the transaction' }))
      return
    }
    this.pendingWrites.unshift(...others)
    for (const { write, settle } of batch) {
      if (keys.has(write.key)) settle(Result.err({ kind: PlatformErrorKind.Conflict, keys: [write.key] }))
    }
  }
}

function settleAll (batch: readonly PendingWrite[], res: Result<number, PlatformError>): void {
  for (const pending of batch) pending.settle(res)
}
