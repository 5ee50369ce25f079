/**
 * Records how long the deficits of pools lasted, to estimate how long a current deficit will last.
 */

/** Number of past durations that are kept for each pool. */
const MAX_SAMPLES = 64

interface Deficit {
  readonly sinceMs: number
}

/** Durations of the deficits of all pools. */
export class DeficitDurations {
  /** Current deficits, by pool id. */
  private readonly open = new Map<string, Deficit>()
  /** Durations of past deficits in milliseconds, by pool id. */
  private readonly samples = new Map<string, number[]>()

  private constructor () {}

  static create (): DeficitDurations {
    return new DeficitDurations()
  }

  /** Records whether a pool lacks VMs now. */
  record (poolId: string, lacking: boolean, nowMs: number): void {
    const deficit = this.open.get(poolId)
    if (lacking && deficit === undefined) this.open.set(poolId, { sinceMs: nowMs })
    if (lacking || deficit === undefined) return
    this.open.delete(poolId)
    const known = this.samples.get(poolId) ?? []
    this.samples.set(poolId, [...known, nowMs - deficit.sinceMs].slice(-MAX_SAMPLES))
  }

  /** Returns how long the pool has lacked VMs, or undefined if it lacks none. */
  getElapsedMs (poolId: string, nowMs: number): number | undefined {
    const deficit = this.open.get(poolId)
    return deficit === undefined ? undefined : nowMs - deficit.sinceMs
  }

  /**
   * Estimates for how long a VM that arrives after a delay will be needed.
   *
   * The estimate is the mean over those earlier deficits of the pool that lasted longer than the current one
   * has so far. If there are none, the current deficit is expected to last twice as long as it has so far.
   */
  getExpectedUseMs (poolId: string, delayMs: number, nowMs: number): number {
    const elapsedMs = this.getElapsedMs(poolId, nowMs)
    if (elapsedMs === undefined) return 0
    const longer = (this.samples.get(poolId) ?? []).filter((durationMs) => durationMs > elapsedMs)
    if (longer.length === 0) return Math.max(0, elapsedMs - delayMs)
    return longer.reduce((sum, durationMs) => sum + Math.max(0, durationMs - elapsedMs - delayMs), 0) / longer.length
  }
}
