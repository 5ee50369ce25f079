/**
 * Row store client that sends a call again if its answer is overdue: a transaction on any path to the store, a read on another path only.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowCommit, type RowPage, type RowRange, type RowStore, type RowTransaction, type StoreClockReading, type StoredRow, type StoreFailure } from '@vanillathread/ports'
import { storeOptions } from './jobOptions.js'

/** Options of {@link HedgedRowStore.create}. */
export interface HedgedRowStoreOptions {
  readonly rows: RowStore
  readonly timers: TimerService
  /** Chooses the paths of attempts. Without it, all attempts go through `rows`. */
  readonly paths?: StorePathChooser
}

/** A path to the store: `name` is the daemon that makes the calls, or undefined if this one does. */
export interface StorePath {
  readonly name: string | undefined
  readonly rows: Pick<RowStore, 'transact' | 'readRange' | 'readFeed'>
}

/** Chooses paths to the store. */
export interface StorePathChooser {
  /**
   * Returns the path of the next attempt.
   *
   * @param earlier - names of the paths of the same call's earlier attempts.
   * @param overdueAfterMs - time after which an answer is overdue, in milliseconds.
   */
  choosePath (earlier: ReadonlyArray<string | undefined>, overdueAfterMs: number): StorePath
}

/** Weights of a new sample in the smoothed latency and its deviation, as TCP uses for its retransmission timeout. */
const LATENCY_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const DEVIATION_FACTOR = 4

/** Weight of the latest attempt in the share of answered attempts, which reflects about the last ten. */
const ANSWER_WEIGHT = 0.1

/** Share of answered attempts below which none is sent again: the store is away or overloaded, and more calls make it worse. */
const MIN_ANSWERED_SHARE = 0.35

type CommitResult = Result<RowCommit, StoreFailure>

/**
 * A lost answer costs the timeout of a call, while the store answers within milliseconds. The transactions of this product may
 * be sent again: their conditions on the rows that they write let at most one copy succeed, or a second copy does no harm. A
 * late copy of a store heartbeat may set an older time until the next heartbeat, as a late first attempt may.
 */
export class HedgedRowStore implements RowStore {
  private latencyMs = 0
  private deviationMs = storeOptions.minHedgeMs / DEVIATION_FACTOR
  private answeredShare = 1

  private constructor (private readonly options: HedgedRowStoreOptions) {}

  static create (options: HedgedRowStoreOptions): HedgedRowStore {
    return new HedgedRowStore(options)
  }

  /** Returns the first definite outcome of up to `maxAttempts` attempts, each sent when the answer to the one before is overdue. */
  async transact (transaction: RowTransaction): Promise<CommitResult> {
    const { res, attempts } = await this.send((path) => this.attempt(transaction, path), 0, true)
    return attempts === 1 ? res : resolveConflict(transaction, res)
  }

  async readRange (range: RowRange): Promise<Result<RowPage, StoreFailure>> {
    return (await this.send(({ rows }) => rows.readRange(range), range.bulk === true ? storeOptions.bulkReadMs : 0, false)).res
  }

  async readFeed (table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreFailure>> {
    return (await this.send(({ rows }) => rows.readFeed(table, afterVersion, waitMs), waitMs, false)).res
  }

  getStoreClockMs (): number {
    return this.options.rows.getStoreClockMs()
  }

  getStoreClockReading (): StoreClockReading | undefined {
    return this.options.rows.getStoreClockReading()
  }

  getTimeSinceAnswerMs (): number {
    return this.options.rows.getTimeSinceAnswerMs()
  }

  private get hedgeAfterMs (): number {
    return Math.min(storeOptions.maxHedgeMs, Math.max(storeOptions.minHedgeMs, this.latencyMs + DEVIATION_FACTOR * this.deviationMs))
  }

  /**
   * Sends up to `maxAttempts` attempts of a call, each when the answer to the one before is overdue or failed to come, and returns the
   * first definite outcome.
   *
   * @param waitMs - time that an answer may take beside the usual latency, in milliseconds.
   * @param mayRepeat - True if an overdue attempt on the direct path may be repeated on it, while the store answers enough attempts.
   */
  private async send<T> (call: (path: StorePath) => Promise<Result<T, StoreFailure>>, waitMs: number, mayRepeat: boolean): Promise<{ res: Result<T, StoreFailure>, attempts: number }> {
    const attempts: Array<Promise<Result<T, StoreFailure>>> = []
    const earlier: Array<string | undefined> = []
    for (let path = this.choosePath(earlier); ;) {
      attempts.push(call(path))
      earlier.push(path.name)
      const repeatsOnPath = mayRepeat && this.answeredShare >= MIN_ANSWERED_SHARE
      const isLast = attempts.length >= storeOptions.maxAttempts || (this.options.paths === undefined && !repeatsOnPath)
      const outcome = getFirstDefinite(attempts)
      const first = await Promise.race([outcome, ...(isLast ? [] : [delay(this.options.timers, waitMs + this.hedgeAfterMs)])])
      if (first !== undefined && (isLast || first.ok || !isUnanswered(first.error))) return { res: first, attempts: attempts.length }
      path = this.choosePath(earlier)
      // A failed attempt is repeated on another path only.
      if (path.name === undefined && (first !== undefined || !repeatsOnPath)) return { res: first ?? await outcome, attempts: attempts.length }
    }
  }

  private choosePath (earlier: ReadonlyArray<string | undefined>): StorePath {
    const { paths, rows } = this.options
    return paths?.choosePath(earlier, this.hedgeAfterMs) ?? { name: undefined, rows }
  }

  /** Sends a transaction, and observes the latency and the loss of answers on the direct path. */
  private async attempt (transaction: RowTransaction, { name, rows }: StorePath): Promise<CommitResult> {
    const { timers } = this.options
    const sentAtMs = timers.now()
    const res = await rows.transact(transaction)
    if (name !== undefined) return res
    if (isDefinite(res)) this.observeLatency(timers.now() - sentAtMs)
    const isAnswered = res.ok || res.error.kind !== StoreFailureKind.Unknown
    this.answeredShare += ANSWER_WEIGHT * ((isAnswered ? 1 : 0) - this.answeredShare)
    return res
  }

  private observeLatency (latencyMs: number): void {
    this.deviationMs += DEVIATION_WEIGHT * (Math.abs(latencyMs - this.latencyMs) - this.deviationMs)
    this.latencyMs += LATENCY_WEIGHT * (latencyMs - this.latencyMs)
  }
}

/**
 * Returns the first outcome that is certain for all attempts: executed, or a conflict. If there is none, the transaction is not
 * done only if no attempt was, and its outcome is unknown otherwise.
 */
function getFirstDefinite<T> (attempts: ReadonlyArray<Promise<Result<T, StoreFailure>>>): Promise<Result<T, StoreFailure>> {
  return new Promise((resolve) => {
    for (const attempt of attempts) attempt.then((res) => { if (isDefinite(res)) resolve(res) })
    Promise.all(attempts).then((all) => {
      const unknown = all.find((res) => !res.ok && res.error.kind === StoreFailureKind.Unknown)
      const last = unknown ?? all.at(-1)
      if (last !== undefined) resolve(last)
    })
  })
}

function isDefinite (res: Result<unknown, StoreFailure>): boolean {
  return res.ok || res.error.kind === StoreFailureKind.Conflict
}

/** Returns true if the store gave no answer to a call, so that another path may reach it. */
export function isUnanswered (failure: StoreFailure): boolean {
  return failure.kind === StoreFailureKind.Unknown || (failure.kind === StoreFailureKind.NotDone && failure.unanswered === true)
}

/**
 * A conflict of a transaction that was sent more than once may be with itself. It was executed if all rows that it writes have
 * its values and one version, and its conditions on other rows hold.
 */
function resolveConflict (transaction: RowTransaction, res: CommitResult): CommitResult {
  if (res.ok || res.error.kind !== StoreFailureKind.Conflict) return res
  const { rows } = res.error
  const written = transaction.puts.map((put) => ({ put, row: findRow(rows, put) }))
  const version = written[0]?.row?.version
  if (version === undefined) return res
  const isWritten = written.every(({ put, row }) => row?.version === version && Buffer.compare(row.value, put.value) === 0)
  const others = transaction.conditions.filter((condition) => !transaction.puts.some((put) => isSameRow(put, condition)))
  const othersHold = others.every((condition) => (findRow(rows, condition)?.version ?? 0) === condition.version)
  return isWritten && othersHold ? Result.ok({ version }) : res
}

type NamedRow = Pick<StoredRow, 'table' | 'part' | 'key'>

function findRow (rows: readonly StoredRow[], name: NamedRow): StoredRow | undefined {
  return rows.find((row) => isSameRow(row, name))
}

function isSameRow (a: NamedRow, b: NamedRow): boolean {
  return a.table === b.table && a.part === b.part && a.key === b.key
}
