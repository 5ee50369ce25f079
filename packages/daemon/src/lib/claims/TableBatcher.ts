/**
 * Joins conditional writes of many rows into few transactions (group commit).
 */
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError, type TableService } from '@vanillathread/ports'

/** One conditional write. */
export interface RowWrite {
  readonly key: string
  /** Revision that the row must have; 0 demands that it is absent. */
  readonly revision: number
  /** New content, or undefined to delete the row. */
  readonly value?: unknown
}

interface Waiting {
  readonly write: RowWrite
  settle (result: Result<number, PlatformError>): void
}

/** Most writes in one transaction. */
const MAX_BATCH = 64

/** Collects writes while a transaction is under way, then sends them in the next one. */
export class TableBatcher {
  private waiting: Waiting[] = []
  private busy = false

  private constructor (private readonly table: TableService) {}

  static create (table: TableService): TableBatcher {
    return new TableBatcher(table)
  }

  /** Writes one row. A conflict of another row in the same transaction does not fail it. */
  write (write: RowWrite): Promise<Result<number, PlatformError>> {
    return new Promise((resolve) => {
      this.waiting.push({ write, settle: resolve })
      this.flush()
    })
  }

  private async flush (): Promise<void> {
    if (this.busy) return
    this.busy = true
    while (this.waiting.length > 0) await this.commit(this.takeBatch())
    this.busy = false
  }

  /** Takes writes of distinct rows; a second write of a row goes into a later transaction. */
  private takeBatch (): Waiting[] {
    const keys = new Set<string>()
    const batch: Waiting[] = []
    const rest: Waiting[] = []
    for (const waiting of this.waiting) {
      if (batch.length < MAX_BATCH && !keys.has(waiting.write.key)) {
        keys.add(waiting.write.key)
        batch.push(waiting)
      } else {
        rest.push(waiting)
      }
    }
    this.waiting = rest
    return batch
  }

  private async commit (batch: readonly Waiting[]): Promise<void> {
    const res = await this.table.transact({
      conditions: batch.map(({ write }) => ({ key: write.key, revision: write.revision })),
      writes: batch.map(({ write }) => ({ key: write.key, value: write.value })),
    })
    if (!res.ok && res.error.kind === PlatformErrorKind.Conflict) this.splitConflict(batch, new Set(res.error.keys))
    else for (const waiting of batch) waiting.settle(res)
  }

  /** Fails the writes whose condition does not hold, and sends the others again. */
  private splitConflict (batch: readonly Waiting[], keys: ReadonlySet<string>): void {
    const others = batch.filter(({ write }) => !keys.has(write.key))
    this.waiting.unshift(...others)
    for (const { write, settle } of batch) {
      if (keys.has(write.key)) settle(Result.err({ kind: PlatformErrorKind.Conflict, keys: [write.key] }))
    }
  }
}
