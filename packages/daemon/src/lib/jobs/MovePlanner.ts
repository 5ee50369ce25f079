/**
 * Plans moves with the forecast of turns, logs what is expected, and stores what was learned.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { ForecastPlanner, type CapacityPlannerOptions, type ExpectedTurn, type PlannedMachine, type PlannedMove, type PlannedPool } from '@vanillathread/policy'
import type { RowCondition, RowStore } from '@vanillathread/ports'
import { shiftHistory, TurnHistoryStore, type StoredTurnHistory } from './TurnHistoryStore.js'

/** Options of {@link MovePlanner.create}. */
export interface MovePlannerOptions {
  readonly shard: string
  readonly rows: RowStore
  readonly log: EventLog
  readonly ownerRow: RowCondition
  readonly capacity: CapacityPlannerOptions
  readonly turnHistory: StoredTurnHistory
  /** This daemon's clock. */
  readonly nowMs: number
  onSuperseded (reason: string): void
}

/** Plans moves of a shard's machines. */
export class MovePlanner {
  private readonly planner: ForecastPlanner
  private readonly store: TurnHistoryStore
  private loggedTurn: ExpectedTurn | undefined
  /** Time of the change of the history that was stored last. */
  private storedChangeMs: number | undefined

  private constructor (private readonly options: MovePlannerOptions) {
    const { turnHistory: { history, version }, rows, nowMs, capacity } = options
    this.planner = ForecastPlanner.create({ ...capacity, history: history === undefined ? undefined : shiftHistory(history, nowMs - rows.getStoreClockMs()) })
    this.store = TurnHistoryStore.create({ ...options, version })
  }

  static create (options: MovePlannerOptions): MovePlanner {
    return new MovePlanner(options)
  }

  /** Returns the moves to order now. */
  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[] {
    const moves = this.planner.plan(nowMs, pools, machines)
    this.logForecast(nowMs)
    this.storeHistory(nowMs)
    return moves
  }

  private logForecast (nowMs: number): void {
    const { log, shard } = this.options
    const { expected, score, lastOutcome } = this.planner.forecast
    if (expected === this.loggedTurn) return
    if (this.loggedTurn !== undefined) log.write(EventCode.TurnForecastChecked, { shard, pool: this.loggedTurn.pool, outcome: lastOutcome, hits: score.hits, misses: score.misses })
    this.loggedTurn = expected
    if (expected === undefined) return
    const { pool, startMs, lengthMs, heightCpuMillis, confidence } = expected
    log.write(EventCode.TurnExpected, { shard, pool, inMs: Math.round(startMs - nowMs), lengthMs: Math.round(lengthMs), cpuMillis: Math.round(heightCpuMillis), confidence })
  }

  /** Stores the history after a turn has ended, so once for each turn at the most. */
  private async storeHistory (nowMs: number): Promise<void> {
    const { forecast } = this.planner
    const changeMs = forecast.lastChangeMs
    if (changeMs === undefined || changeMs === this.storedChangeMs) return
    this.storedChangeMs = changeMs
    await this.store.write(shiftHistory(forecast.history, this.options.rows.getStoreClockMs() - nowMs))
  }
}
