/**
 * Plans moves of machines with a forecast of the next turn.
 */
import { CapacityPlanner, type CapacityPlannerOptions, type PlannedMachine, type PlannedMove, type PlannedPool } from '../machines/CapacityPlanner.js'
import { TurnForecast, type TurnHistory } from './TurnForecast.js'

/** Options of {@link ForecastPlanner.create}. @public */
export interface ForecastPlannerOptions extends CapacityPlannerOptions {
  /** What a previous owner has learned, with times on this owner's clock. */
  readonly history?: TurnHistory
}

/**
 * Time by which machines are ordered ahead of the move's duration: a turn is recognized some 0.5 s after its first jobs, and a VM
 * takes some 0.2 s to register.
 */
const LEAD_MS = 700

/** Least confidence for which machines are ordered. */
const MIN_CONFIDENCE = 0.3

/**
 * Time from the first plan for which no machine is returned to standby. Nothing is known by then of the demand of
 * pools that have not had a turn, and a successor does not know what its pools needed just before; machines that return are missing then.
 */
const KEEP_UNTIL_KNOWN_MS = 8_000

/**
 * Number of machines from which on they are kept so. The platform accepts 64 orders for machines in a second, so returning the idle
 * machines of a large fleet also delays the moves that its first turns need.
 */
const KEEP_MIN_MACHINES = 100

/** Adds what the forecast expects to the demand that capacity planning sees. @public */
export class ForecastPlanner {
  readonly forecast: TurnForecast
  private readonly planner: CapacityPlanner
  private startedAtMs: number | undefined
  private readonly poolsWithArrivals = new Set<string>()

  private constructor (private readonly options: ForecastPlannerOptions) {
    this.forecast = TurnForecast.create(options.history)
    this.planner = CapacityPlanner.create(options)
  }

  static create (options: ForecastPlannerOptions): ForecastPlanner {
    return new ForecastPlanner(options)
  }

  /** Returns the moves to order now. */
  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[] {
    for (const { demand } of pools) {
      if (demand.arrivingCpuMillis > 0) this.poolsWithArrivals.add(demand.pool)
    }
    // A pool without queues never has a turn and must not count as the only one that has had none yet.
    const rates = pools.filter(({ standby, demand }) => !standby && this.poolsWithArrivals.has(demand.pool)).map(({ demand }) => ({ pool: demand.pool, cpuMillis: demand.arrivingCpuMillis }))
    this.forecast.observe(nowMs, rates, machines.reduce((sum, machine) => sum + machine.capacity.cpuMillis, 0))
    this.startedAtMs ??= nowMs
    const keepsIdle = machines.length >= KEEP_MIN_MACHINES && nowMs - this.startedAtMs < KEEP_UNTIL_KNOWN_MS
    return this.planner.plan(nowMs, pools.map((pool) => this.addForecast(nowMs, pool)), machines, keepsIdle)
  }

  private addForecast (nowMs: number, pool: PlannedPool): PlannedPool {
    const { expected } = this.forecast
    if (expected === undefined || expected.confidence < MIN_CONFIDENCE) return pool
    const leadMs = this.options.moveMs + LEAD_MS
    const untilMs = expected.startMs - nowMs
    if (expected.pool !== pool.demand.pool) return { ...pool, isEnding: untilMs > 0 && untilMs <= leadMs }
    return untilMs > leadMs ? pool : { ...pool, expectedCpuMillis: expected.confidence * expected.heightCpuMillis }
  }
}
