/**
 * Predicts which pool has the next turn, and when.
 *
 * This handles queues whose bursts take turns: without a forecast, the machines for a turn are ordered once its jobs have
 * arrived, and reach its pool when half of the turn is over.
 */
import { TurnRecorder, type PoolRate, type Turn } from './TurnRecorder.js'

/** A turn that is expected. @public */
export interface ExpectedTurn {
  readonly pool: string
  readonly startMs: number
  readonly lengthMs: number
  /** In thousandths of a core. */
  readonly heightCpuMillis: number
  /** Between 0 and 1. */
  readonly confidence: number
}

/** A forecast whose outcome is not known yet. */
interface PendingTurn extends ExpectedTurn {
  /** Time by which the turn may begin earlier or later than expected. */
  readonly toleranceMs: number
}

/** What a forecast has learned. Contains all that a successor needs to go on with it. @public */
export interface TurnHistory {
  /** The latest turns in the order of their start. */
  readonly turns: readonly Turn[]
  /** Pool whose turn followed the last time, by pool. */
  readonly followers: Readonly<Record<string, string>>
  /** Forecasts that came true and that did not; older ones count less. */
  readonly hits: number
  readonly misses: number
}

/** Turns that are kept. */
const KEPT_TURNS = 12

/** Spacings between turns from which the typical one is taken. */
const SPACING_COUNT = 4

/** Share of the spacing by which a turn may begin early or late and still count as expected. */
const TOLERANCE = 0.25

/** Confidence by the reason why a pool is expected next, before hits and misses are counted. */
const CONFIDENCE = { followedBefore: 1, onlyOneLeft: 0.9, longestAgo: 0.8 } as const

/** Time without an observation after which a forecast is given up, in milliseconds. */
const MAX_GAP_MS = 1_000

/** Turns by which the history of a previous owner is continued. After more, the sum of small deviations is too large. */
const MAX_TURNS_AHEAD = 4

/** Weight of earlier hits and misses at each new one. */
const MEMORY = 0.7

/** Learns the order and spacing of turns. @public */
export class TurnForecast {
  private readonly recorder = TurnRecorder.create()
  private turns: Turn[]
  private readonly followers: Map<string, string>
  private hits: number
  private misses: number
  /** The latest forecast, until its pool's turn begins or is overdue. */
  private pending: PendingTurn | undefined
  /** Start of the turn after which the latest forecast was made. */
  private predictedAfterMs = -Infinity
  private observedAtMs = -Infinity
  private outcome: 'begun' | 'missed' | undefined
  private changedAtMs: number | undefined
  /** Start of the last turn that a previous owner has seen. */
  private readonly restoredUntilMs: number

  private constructor (history: TurnHistory | undefined) {
    this.turns = [...history?.turns ?? []]
    this.followers = new Map(Object.entries(history?.followers ?? {}))
    this.hits = history?.hits ?? 0
    this.misses = history?.misses ?? 0
    this.restoredUntilMs = this.turns.at(-1)?.startMs ?? -Infinity
  }

  static create (history?: TurnHistory): TurnForecast {
    return new TurnForecast(history)
  }

  /** What has been learned so far. */
  get history (): TurnHistory {
    return { turns: this.turns.filter(({ lengthMs }) => lengthMs !== undefined), followers: Object.fromEntries(this.followers), hits: this.hits, misses: this.misses }
  }

  /** Time of the last change of {@link TurnForecast.history}, which is at the end of a turn. */
  get lastChangeMs (): number | undefined {
    return this.changedAtMs
  }

  /** The turn that is expected next, also while it is confirmed; undefined if there is no pattern. */
  get expected (): ExpectedTurn | undefined {
    return this.pending
  }

  /** Forecasts that came true and that did not, as far as they still count. */
  get score (): { readonly hits: number, readonly misses: number } {
    return { hits: this.hits, misses: this.misses }
  }

  /** What became of the latest forecast whose turn was due. */
  get lastOutcome (): 'begun' | 'missed' | undefined {
    return this.outcome
  }

  /** Adds the present rates of all pools with queues. @param fleetCpuMillis - processor of all machines, in thousandths of a core. */
  observe (nowMs: number, rates: readonly PoolRate[], fleetCpuMillis: number): void {
    // Nothing is observed while the store is silent, so a turn may have begun and ended unseen.
    if (nowMs - this.observedAtMs > MAX_GAP_MS) this.pending = undefined
    this.observedAtMs = nowMs
    for (const rate of rates) {
      const ended = this.recorder.observe(nowMs, rate, fleetCpuMillis)
      if (ended !== undefined) {
        this.replace(ended)
        this.changedAtMs = nowMs
      }
      const open = this.recorder.findOpen(rate.pool, nowMs)
      if (open !== undefined) this.replace(open)
    }
    this.checkPending(nowMs)
    this.predict(nowMs, rates.map(({ pool }) => pool))
  }

  /** Typical length of a turn, of the pool itself if it has had one. */
  getLengthMs (pool: string): number | undefined {
    const ended = this.turns.filter(({ lengthMs }) => lengthMs !== undefined)
    const own = ended.filter((turn) => turn.pool === pool)
    return findMedian((own.length > 0 ? own : ended).map(({ lengthMs }) => lengthMs ?? 0))
  }

  /** Adds a turn, or updates the one that began at the same time. */
  private replace (turn: Turn): void {
    const index = this.turns.findIndex((each) => each.pool === turn.pool && each.startMs === turn.startMs)
    if (index >= 0) {
      this.turns[index] = turn
      return
    }
    const previous = this.turns.at(-1)
    this.turns = [...this.turns, turn].sort((a, b) => a.startMs - b.startMs).slice(-KEPT_TURNS)
    const spacingMs = this.getSpacingMs()
    const gapMs = previous === undefined ? 0 : turn.startMs - previous.startMs
    if (previous === undefined || previous.pool === turn.pool || spacingMs === undefined || !isNear(gapMs, spacingMs)) return
    this.followers.set(previous.pool, turn.pool)
  }

  /** Counts the forecast as a hit or a miss once that is known. */
  private checkPending (nowMs: number): void {
    const { pending } = this
    if (pending === undefined) return
    const { toleranceMs } = pending
    const begun = this.turns.some((turn) => turn.pool === pending.pool && Math.abs(turn.startMs - pending.startMs) <= toleranceMs)
    const risen = this.recorder.findRise(pending.pool) !== undefined
    if (!begun && (risen || nowMs <= pending.startMs + toleranceMs)) return
    this.hits = this.hits * MEMORY + (begun ? 1 : 0)
    this.misses = this.misses * MEMORY + (begun ? 0 : 1)
    this.outcome = begun ? 'begun' : 'missed'
    this.pending = undefined
  }

  /** Makes the forecast that follows from the latest turn, once for each turn. */
  private predict (nowMs: number, pools: readonly string[]): void {
    const spacingMs = this.getSpacingMs()
    const last = spacingMs === undefined ? undefined : this.findLast(nowMs, spacingMs)
    if (last === undefined || spacingMs === undefined || last.startMs <= this.predictedAfterMs || this.pending !== undefined) return
    const next = this.chooseNext(last.pool, pools)
    if (next === undefined) return
    this.predictedAfterMs = last.startMs
    if (last.startMs + spacingMs * (1 + TOLERANCE) < nowMs) return
    const own = this.turns.filter((turn) => turn.pool === next.pool)
    const heights = (own.length > 0 ? own : this.turns).map(({ heightCpuMillis }) => heightCpuMillis)
    this.pending = {
      toleranceMs: spacingMs * TOLERANCE,
      pool: next.pool,
      startMs: last.startMs + spacingMs,
      lengthMs: this.getLengthMs(next.pool) ?? spacingMs,
      heightCpuMillis: heights.reduce((sum, height) => sum + height, 0) / heights.length,
      // One miss outweighs two hits, as machines that were ordered in vain are missing elsewhere.
      confidence: next.confidence * (this.hits + 1) / (this.hits + 2 * this.misses + 1),
    }
  }

  /**
   * Returns the latest turn. If turns have passed since the history of a previous owner, or one was in progress, the turn that must be
   * the latest by the order of the earlier ones.
   */
  private findLast (nowMs: number, spacingMs: number): Pick<Turn, 'pool' | 'startMs'> | undefined {
    let last: Pick<Turn, 'pool' | 'startMs'> | undefined = this.turns.at(-1)
    if (last === undefined || last.startMs > this.restoredUntilMs) return last
    for (let count = 0; last.startMs + spacingMs <= nowMs && count < MAX_TURNS_AHEAD; count++) {
      const follower = this.followers.get(last.pool)
      if (follower === undefined) break
      last = { pool: follower, startMs: last.startMs + spacingMs }
    }
    return last
  }

  /** Chooses the pool that is expected after another one's turn. */
  private chooseNext (last: string, pools: readonly string[]): { readonly pool: string, readonly confidence: number } | undefined {
    const follower = this.followers.get(last)
    if (follower !== undefined && pools.includes(follower)) return { pool: follower, confidence: CONFIDENCE.followedBefore }
    const left = pools.filter((pool) => !this.turns.some((turn) => turn.pool === pool))
    if (left.length === 1 && left[0] !== undefined) return { pool: left[0], confidence: CONFIDENCE.onlyOneLeft }
    if (left.length > 0) return undefined
    const first = this.turns.filter((turn, index) => this.turns.findLastIndex((each) => each.pool === turn.pool) === index).find(({ pool }) => pool !== last && pools.includes(pool))
    return first === undefined ? undefined : { pool: first.pool, confidence: CONFIDENCE.longestAgo }
  }

  /** Typical time from the start of a turn to the start of the next one; undefined if the turns have no pattern. */
  private getSpacingMs (): number | undefined {
    const recent = this.turns.slice(-SPACING_COUNT - 1)
    const spacings = recent.slice(1).map((turn, index) => turn.startMs - (recent[index]?.startMs ?? turn.startMs))
    const median = findMedian(spacings)
    if (median === undefined || spacings.length < 2) return undefined
    // Two of three spacings suffice, as one turn may be missing or late.
    const near = spacings.filter((spacing) => isNear(spacing, median)).length
    return near >= 2 && near * 3 >= spacings.length * 2 ? median : undefined
  }
}

function isNear (value: number, typical: number): boolean {
  return Math.abs(value - typical) <= TOLERANCE * typical
}

function findMedian (values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor((sorted.length - 1) / 2)]
}
