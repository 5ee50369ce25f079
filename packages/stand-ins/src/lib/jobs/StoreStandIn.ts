/**
 * The platform's row store in memory, on a fake clock, with its faults.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import type { RandomSource } from '@vanillathread/policy'
import { StoreFailureKind, type RowCommit, type RowCondition, type RowKey, type RowPage, type RowRange, type RowStore, type RowTransaction, type StoredRow, type StoreFailure } from '@vanillathread/ports'

/** Latency of an undisturbed call. */
const CALL_MS = 4

/** Time after which a caller gives a call up. */
const TIMEOUT_MS = 1_200

/** How the store treats one daemon, or all. @public */
export enum StoreFault {
  None = 'none',
  /** Answers that nothing was done. */
  Refusing = 'refusing',
  /** Neither carries out nor answers. */
  Silent = 'silent',
  /** Carries out, and answers only some. */
  LosingAnswers = 'losing-answers',
  /** Answers late, as does a store under load. */
  Slow = 'slow',
}

/** Share of answers lost, and the time by which a lost write may be late. */
const LOST_SHARE = 0.35
const LATEST_MS = 5_000
const SLOW_MS = 240

/** Entries that one transaction may have; stated by the platform. */
const MAX_ENTRIES = 100

/** Rows, versions and history. @public */
export class StoreStandIn {
  /** Fault for every daemon. */
  fault = StoreFault.None
  readonly rows = new Map<string, StoredRow>()
  private version = 1
  private history: StoredRow[] = []
  private historyFrom = 0
  private readonly waiting = new Set<() => void>()

  private constructor (readonly timers: TimerService, readonly random: RandomSource) {}

  static create (options: { timers: TimerService, random: RandomSource }): StoreStandIn {
    return new StoreStandIn(options.timers, options.random)
  }

  /** Opens the store for one daemon. */
  connect (): StoreClientStandIn {
    return StoreClientStandIn.create(this)
  }

  /** Writes as the operator or a VM does, which nothing disturbs. */
  put (key: RowKey, value: Uint8Array): number {
    return this.apply({ conditions: [], puts: [{ ...key, value }], removes: [] })
  }

  remove (key: RowKey): void {
    this.apply({ conditions: [], puts: [], removes: [key] })
  }

  /** Drops the history, as the platform may at any time. */
  forgetHistory (): void {
    this.history = []
    this.historyFrom = this.version
    this.wake()
  }

  transact (transaction: RowTransaction): Result<RowCommit, StoreFailure> {
    const entries = transaction.conditions.length + transaction.puts.length + transaction.removes.length
    if (entries > MAX_ENTRIES) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 400' })
    const broken = transaction.conditions.filter((condition) => !this.holds(condition))
    if (broken.length === 0) return Result.ok({ version: this.apply(transaction) })
    const rows = transaction.conditions.map((condition) => this.rows.get(nameOf(condition))).filter((row) => row !== undefined)
    return Result.err({ kind: StoreFailureKind.Conflict, rows })
  }

  readRange (range: RowRange): RowPage {
    const rows = [...this.rows.values()].filter((row) => row.table === range.table && row.part === range.part &&
      row.key >= (range.from ?? '') && (range.to === undefined || row.key < range.to))
    return { rows: rows.sort((a, b) => (a.key < b.key ? -1 : 1)), version: this.version, hasMore: false }
  }

  /** Returns changes of a table, or undefined where the history is gone. */
  readChanges (table: string, afterVersion: number): RowPage | undefined {
    if (afterVersion < this.historyFrom) return undefined
    const rows = this.history.filter((row) => row.table === table && row.version > afterVersion)
    return { rows, version: this.version, hasMore: false }
  }

  /** Resolves at the next change, or after a time. */
  waitForChange (limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        limit.dispose()
        this.waiting.delete(finish)
        resolve()
      }
      const limit = this.timers.after(limitMs, finish)
      this.waiting.add(finish)
    })
  }

  private holds (condition: RowCondition): boolean {
    return (this.rows.get(nameOf(condition))?.version ?? 0) === condition.version
  }

  private apply (transaction: RowTransaction): number {
    this.version += 1
    for (const put of transaction.puts) this.record({ ...put, version: this.version, removed: false })
    for (const key of transaction.removes) this.record({ ...key, value: new Uint8Array(), version: this.version, removed: true })
    this.wake()
    return this.version
  }

  private record (row: StoredRow): void {
    if (row.removed) this.rows.delete(nameOf(row))
    else this.rows.set(nameOf(row), row)
    this.history.push(row)
  }

  private wake (): void {
    for (const finish of [...this.waiting]) finish()
  }
}

/** One daemon's way to the store. @public */
export class StoreClientStandIn implements RowStore {
  /** Fault for this daemon alone. */
  fault = StoreFault.None
  /** Answers to writes that nothing was done, while reads go on. */
  refusesWrites = false
  private answeredAtMs = 0

  private constructor (private readonly store: StoreStandIn) {}

  static create (store: StoreStandIn): StoreClientStandIn {
    return new StoreClientStandIn(store)
  }

  nowMs (): number {
    return this.store.timers.now()
  }

  silentForMs (): number {
    return this.store.timers.now() - this.answeredAtMs
  }

  async transact (transaction: RowTransaction): Promise<Result<RowCommit, StoreFailure>> {
    const { timers, random } = this.store
    const failed = await this.disturb(true)
    if (failed !== undefined) return failed
    if (this.refusesWrites) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 429' })
    if (this.effectiveFault === StoreFault.LosingAnswers && random.nextFloat() < LOST_SHARE) {
      timers.after(random.nextBelow(LATEST_MS), () => { this.store.transact(transaction) })
      await delay(timers, TIMEOUT_MS)
      return Result.err({ kind: StoreFailureKind.Unknown, reason: 'no answer' })
    }
    return this.answered(this.store.transact(transaction))
  }

  async readRange (range: RowRange): Promise<Result<RowPage, StoreFailure>> {
    return await this.disturb(false) ?? this.answered(Result.ok(this.store.readRange(range)))
  }

  async readFeed (table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreFailure>> {
    const failed = await this.disturb(false)
    if (failed !== undefined) return failed
    const untilMs = this.store.timers.now() + waitMs
    for (;;) {
      const page = this.store.readChanges(table, afterVersion)
      if (page === undefined) return Result.err({ kind: StoreFailureKind.HistoryGone, reason: 'history is gone' })
      const leftMs = untilMs - this.store.timers.now()
      if (page.rows.length > 0 || leftMs <= 0) return this.answered(Result.ok(page))
      await this.store.waitForChange(leftMs)
    }
  }

  private get effectiveFault (): StoreFault {
    return this.fault === StoreFault.None ? this.store.fault : this.fault
  }

  /** Takes a call's time and returns its failure, if it fails before anything is done. */
  private async disturb (writes: boolean): Promise<Result<never, StoreFailure> | undefined> {
    const { timers } = this.store
    switch (this.effectiveFault) {
      case StoreFault.Refusing:
        await delay(timers, CALL_MS)
        return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 503' })
      case StoreFault.Silent:
        await delay(timers, TIMEOUT_MS)
        return Result.err({ kind: writes ? StoreFailureKind.Unknown : StoreFailureKind.NotDone, reason: 'no answer' })
      case StoreFault.Slow:
        await delay(timers, SLOW_MS)
        return undefined
      case StoreFault.None:
      case StoreFault.LosingAnswers:
        await delay(timers, CALL_MS)
        return undefined
    }
  }

  private answered<T> (res: Result<T, StoreFailure>): Result<T, StoreFailure> {
    this.answeredAtMs = this.store.timers.now()
    return res
  }
}

function nameOf (row: RowKey): string {
  return `${row.table}\0${row.part}\0${row.key}`
}
