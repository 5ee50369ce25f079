/**
 * Recognizes turns, that is, periods of some seconds in which a pool's arrival rate is a multiple of its rate otherwise.
 */

/** A turn of a pool. @public */
export interface Turn {
  readonly pool: string
  /** Time at which the arrival rate had risen, which is some 0.5 s after the first jobs. */
  readonly startMs: number
  /** Undefined while the turn lasts. */
  readonly lengthMs: number | undefined
  /** Highest arrival rate, in thousandths of a core. */
  readonly heightCpuMillis: number
}

/** Arrival rate of a pool. @public */
export interface PoolRate {
  readonly pool: string
  /** In thousandths of a core. */
  readonly cpuMillis: number
}

/** A turn begins at this multiple of the rate between turns. */
const START_FACTOR = 4

/** A turn begins at this share of the processor of all machines, as smaller changes need no preparation. */
const MIN_FLEET_SHARE = 0.05

/** A turn ends once the rate is below this share of its height. */
const END_SHARE = 0.2

/** A burst that is shorter is no turn. One large job raises the rate for the meter's window of 1 s. */
const MIN_TURN_MS = 1_500

/** A rate that stays high for longer is the pool's normal rate. */
const MAX_TURN_MS = 20_000

/** Weight of a new sample in the rate between turns, for a sample every 200 ms. */
const REST_WEIGHT = 0.05

interface OpenTurn {
  readonly startMs: number
  heightCpuMillis: number
}

/** Recognizes turns in the arrival rates of pools. @public */
export class TurnRecorder {
  private readonly openTurns = new Map<string, OpenTurn>()
  private readonly restCpuMillis = new Map<string, number>()

  private constructor () {}

  static create (): TurnRecorder {
    return new TurnRecorder()
  }

  /** Returns the turn that a pool is in, once it has lasted long enough to be one. */
  findOpen (pool: string, nowMs: number): Turn | undefined {
    const open = this.openTurns.get(pool)
    return open === undefined || nowMs - open.startMs < MIN_TURN_MS ? undefined : { pool, ...open, lengthMs: undefined }
  }

  /** Returns the time at which a pool's rate rose, also if it is not certain yet that this is a turn. */
  findRise (pool: string): number | undefined {
    return this.openTurns.get(pool)?.startMs
  }

  /** Adds the present rate of a pool. Returns the turn that has ended with it, if any. */
  observe (nowMs: number, { pool, cpuMillis }: PoolRate, fleetCpuMillis: number): Turn | undefined {
    const open = this.openTurns.get(pool)
    const rest = this.restCpuMillis.get(pool)
    if (open === undefined) {
      if (cpuMillis >= Math.max(START_FACTOR * (rest ?? 0), MIN_FLEET_SHARE * fleetCpuMillis)) this.openTurns.set(pool, { startMs: nowMs, heightCpuMillis: cpuMillis })
      else this.restCpuMillis.set(pool, rest === undefined ? cpuMillis : rest + REST_WEIGHT * (cpuMillis - rest))
      return undefined
    }
    open.heightCpuMillis = Math.max(open.heightCpuMillis, cpuMillis)
    const lengthMs = nowMs - open.startMs
    if (lengthMs > MAX_TURN_MS) {
      this.openTurns.delete(pool)
      this.restCpuMillis.set(pool, cpuMillis)
      return undefined
    }
    if (cpuMillis >= END_SHARE * open.heightCpuMillis) return undefined
    this.openTurns.delete(pool)
    return lengthMs < MIN_TURN_MS ? undefined : { pool, ...open, lengthMs }
  }
}
