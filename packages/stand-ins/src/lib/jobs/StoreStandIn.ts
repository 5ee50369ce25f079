/**
 * In-memory stand-in for the platform's row store, on a fake clock, with injected faults.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import type { RandomSource } from '@vanillathread/policy'
import { StoreFailureKind, type RowCommit, type RowCondition, type RowKey, type RowPage, type RowRange, type RowStore, type RowTransaction, type StoreClockReading, type StoredRow, type StoreFailure } from '@vanillathread/ports'

/** Latency of a call without a fault. */
const CALL_LATENCY_MS = 4

/** Time after which a call without an answer times out. */
const CALL_TIMEOUT_MS = 1_200

/** Faults of the store, for one daemon or for all of them. @public */
export enum StoreFault {
  None = 'none',
  /** Refuses every call as not done. */
  Refusing = 'refusing',
  /** Neither carries out nor answers any call. */
  Unresponsive = 'silent',
  /** Answers no call, but carries out some writes late. */
  Stalled = 'stalled',
  /** Carries out no call, and resets its connection. */
  Resetting = 'resetting',
  /** Carries out some writes late and does not answer them. */
  LosingAnswers = 'losing-answers',
  /** Answers late, like a store under load. */
  Slow = 'slow',
}

/** Share of the writes of a stalled store that it carries out. */
const STALLED_WRITE_SHARE = 0.5

/** Share of writes whose answer is lost, and the longest delay of such a write. */
const LOST_ANSWER_SHARE = 0.35
const MAX_WRITE_DELAY_MS = 5_000

/** Latency of a call while the store is slow. */
const SLOW_CALL_LATENCY_MS = 240

/** Difference between the store's clock and those of the daemons. */
const CLOCK_OFFSET_MS = 7_000_000

/** Maximum number of entries (conditions, puts and removes) of a transaction, as specified by the platform. */
const MAX_ENTRIES = 100

/** Rows of all tables, with their versions and the history of changes. @public */
export class StoreStandIn {
  /** Fault for every daemon that has none of its own. */
  fault = StoreFault.None
  readonly rows = new Map<string, StoredRow>()
  /** Version of the latest change. */
  private version = 1
  private history: StoredRow[] = []
  /** Version up to which changes are no longer in the history. */
  private historyStartVersion = 0
  /** Callbacks that each end one call of {@link waitForChange}. */
  private readonly waiters = new Set<() => void>()

  private constructor (readonly timers: TimerService, readonly random: RandomSource) {}

  static create (options: { timers: TimerService, random: RandomSource }): StoreStandIn {
    return new StoreStandIn(options.timers, options.random)
  }

  /** Opens a client for one daemon. */
  connect (): StoreClientStandIn {
    return StoreClientStandIn.create(this)
  }

  /** The store's steady clock, which differs from that of the daemons. */
  get clockMs (): number {
    return this.timers.now() + CLOCK_OFFSET_MS
  }

  /** Writes a row as the operator or a VM does; faults do not affect it. */
  put (key: RowKey, value: Uint8Array): number {
    return this.apply({ conditions: [], puts: [{ ...key, value }], removes: [] })
  }

  remove (key: RowKey): void {
    this.apply({ conditions: [], puts: [], removes: [key] })
  }

  /** Version of the latest change. */
  get latestVersion (): number {
    return this.version
  }

  /** Drops the history of changes up to a version, as the platform may do at any time. */
  dropHistory (upToVersion = this.version): void {
    this.history = this.history.filter((row) => row.version > upToVersion)
    this.historyStartVersion = Math.max(this.historyStartVersion, upToVersion)
    this.notifyWaiters()
  }

  transact (transaction: RowTransaction): Result<RowCommit, StoreFailure> {
    const entries = transaction.conditions.length + transaction.puts.length + transaction.removes.length
    if (entries > MAX_ENTRIES) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 400' })
    const unmet = transaction.conditions.filter((condition) => !this.isMet(condition))
    if (unmet.length === 0) return Result.ok({ version: this.apply(transaction) })
    const rows = transaction.conditions.map((condition) => this.rows.get(getRowId(condition))).filter((row) => row !== undefined)
    return Result.err({ kind: StoreFailureKind.Conflict, rows })
  }

  readRange (range: RowRange): RowPage {
    const rows = [...this.rows.values()].filter((row) => row.table === range.table && row.part === range.part &&
      row.key >= (range.from ?? '') && (range.to === undefined || row.key < range.to))
    return { rows: rows.sort((a, b) => (a.key < b.key ? -1 : 1)), version: this.version, hasMore: false }
  }

  /** Returns the changes of a table after a version, or undefined if the history no longer has them. */
  readChanges (table: string, afterVersion: number): RowPage | undefined {
    if (afterVersion < this.historyStartVersion) return undefined
    const rows = this.history.filter((row) => row.table === table && row.version > afterVersion)
    return { rows, version: this.version, hasMore: false }
  }

  /** Resolves at the next change, or after `limitMs`. */
  waitForChange (limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        timeout.dispose()
        this.waiters.delete(finish)
        resolve()
      }
      const timeout = this.timers.after(limitMs, finish)
      this.waiters.add(finish)
    })
  }

  private isMet (condition: RowCondition): boolean {
    return (this.rows.get(getRowId(condition))?.version ?? 0) === condition.version
  }

  private apply (transaction: RowTransaction): number {
    this.version += 1
    for (const put of transaction.puts) this.recordChange({ ...put, version: this.version, removed: false })
    for (const key of transaction.removes) this.recordChange({ ...key, value: new Uint8Array(), version: this.version, removed: true })
    this.notifyWaiters()
    return this.version
  }

  private recordChange (row: StoredRow): void {
    if (row.removed) this.rows.delete(getRowId(row))
    else this.rows.set(getRowId(row), row)
    this.history.push(row)
  }

  private notifyWaiters (): void {
    for (const finish of [...this.waiters]) finish()
  }
}

/** One daemon's client of the store. @public */
export class StoreClientStandIn implements RowStore {
  /** Fault for this daemon alone. */
  fault = StoreFault.None
  /** True if writes are refused as not done while reads work. */
  refusesWrites = false
  /** Time by which the answers to reads of ranges are late. */
  lateReadMs = 0
  private lastAnswerAtMs = 0
  /** Clock in the latest answer to a call that does not wait, and the time at which that call was sent. */
  private clockReading: { readonly clockMs: number, readonly sentAtMs: number } | undefined

  private constructor (private readonly store: StoreStandIn) {}

  static create (store: StoreStandIn): StoreClientStandIn {
    return new StoreClientStandIn(store)
  }

  getStoreClockMs (): number {
    return this.store.clockMs
  }

  getStoreClockReading (): StoreClockReading | undefined {
    const { clockReading } = this
    return clockReading === undefined ? undefined : { clockMs: clockReading.clockMs, sentAgoMs: this.store.timers.now() - clockReading.sentAtMs }
  }

  getTimeSinceAnswerMs (): number {
    return this.store.timers.now() - this.lastAnswerAtMs
  }

  async transact (transaction: RowTransaction): Promise<Result<RowCommit, StoreFailure>> {
    const { timers, random } = this.store
    const sentAtMs = timers.now()
    if (this.effectiveFault === StoreFault.Stalled && random.nextFloat() < STALLED_WRITE_SHARE) timers.after(random.nextBelow(MAX_WRITE_DELAY_MS), () => { this.store.transact(transaction) })
    const failure = await this.applyFault(true)
    if (failure !== undefined) return failure
    if (this.refusesWrites) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 429' })
    if (this.effectiveFault === StoreFault.LosingAnswers && random.nextFloat() < LOST_ANSWER_SHARE) {
      timers.after(random.nextBelow(MAX_WRITE_DELAY_MS), () => { this.store.transact(transaction) })
      await delay(timers, CALL_TIMEOUT_MS)
      return Result.err({ kind: StoreFailureKind.Unknown, reason: 'no answer' })
    }
    return this.answered(this.store.transact(transaction), sentAtMs)
  }

  async readRange (range: RowRange): Promise<Result<RowPage, StoreFailure>> {
    const sentAtMs = this.store.timers.now()
    const failure = await this.applyFault(false)
    if (failure !== undefined) return failure
    const page = this.store.readRange(range)
    if (this.lateReadMs > 0) await delay(this.store.timers, this.lateReadMs)
    return this.answered(Result.ok(page), sentAtMs)
  }

  async readFeed (table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreFailure>> {
    const failure = await this.applyFault(false)
    if (failure !== undefined) return failure
    const untilMs = this.store.timers.now() + waitMs
    for (;;) {
      const page = this.store.readChanges(table, afterVersion)
      if (page === undefined) return Result.err({ kind: StoreFailureKind.HistoryGone, reason: 'history is gone' })
      const remainingMs = untilMs - this.store.timers.now()
      if (page.rows.length > 0 || remainingMs <= 0) return this.answered(Result.ok(page))
      await this.store.waitForChange(remainingMs)
    }
  }

  private get effectiveFault (): StoreFault {
    return this.fault === StoreFault.None ? this.store.fault : this.fault
  }

  /** Waits for a call's latency or timeout, then returns a failure if the fault prevents the call from being carried out. */
  private async applyFault (isWrite: boolean): Promise<Result<never, StoreFailure> | undefined> {
    const { timers } = this.store
    switch (this.effectiveFault) {
      case StoreFault.Refusing:
        await delay(timers, CALL_LATENCY_MS)
        return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 503' })
      case StoreFault.Unresponsive:
      case StoreFault.Stalled:
        await delay(timers, CALL_TIMEOUT_MS)
        return Result.err({ kind: isWrite ? StoreFailureKind.Unknown : StoreFailureKind.NotDone, reason: 'no answer', unanswered: true })
      case StoreFault.Resetting:
        await delay(timers, CALL_LATENCY_MS)
        return Result.err({ kind: isWrite ? StoreFailureKind.Unknown : StoreFailureKind.NotDone, reason: 'connection reset', unanswered: true })
      case StoreFault.Slow:
        await delay(timers, SLOW_CALL_LATENCY_MS)
        return undefined
      case StoreFault.None:
      case StoreFault.LosingAnswers:
        await delay(timers, CALL_LATENCY_MS)
        return undefined
    }
  }

  /** Records the time of an answer, and the clock in it if the call did not wait, and returns the answer. */
  private answered<T> (res: Result<T, StoreFailure>, sentAtMs?: number): Result<T, StoreFailure> {
    this.lastAnswerAtMs = this.store.timers.now()
    if (sentAtMs !== undefined) this.clockReading = { clockMs: this.store.clockMs, sentAtMs }
    return res
  }
}

function getRowId (row: RowKey): string {
  return `${row.table}\0${row.part}\0${row.key}`
}
