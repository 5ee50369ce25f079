/**
 * Learns how long deficits last, to tell how long a present one will go on.
 */

/** Durations kept for a pool. */
const MAX_SAMPLES = 64

interface Deficit {
  readonly sinceMs: number
}

/** Durations of the deficits of all pools. */
export class DeficitDurations {
  private readonly open = new Map<string, Deficit>()
  private readonly samples = new Map<string, number[]>()

  private constructor () {}

  static create (): DeficitDurations {
    return new DeficitDurations()
  }

  /** Notes whether a pool lacks VMs now. */
  observe (poolId: string, lacking: boolean, nowMs: number): void {
    const deficit = this.open.get(poolId)
    if (lacking && deficit === undefined) this.open.set(poolId, { sinceMs: nowMs })
    if (lacking || deficit === undefined) return
    this.open.delete(poolId)
    const known = this.samples.get(poolId) ?? []
    this.samples.set(poolId, [...known, nowMs - deficit.sinceMs].slice(-MAX_SAMPLES))
  }

  /** Returns how long the pool has lacked VMs, or undefined where it does not. */
  getElapsedMs (poolId: string, nowMs: number): number | undefined {
    const deficit = this.open.get(poolId)
    return deficit === undefined ? undefined : nowMs - deficit.sinceMs
  }

  /**
   * Returns the time for which a VM is expected to be used that arrives after a delay.
   *
   * Earlier deficits of the pool that lasted longer than this one so far say how it goes on. Where there
   * are none, it is expected to last as long again as it has lasted.
   */
  getExpectedUseMs (poolId: string, delayMs: number, nowMs: number): number {
    const elapsedMs = this.getElapsedMs(poolId, nowMs)
    if (elapsedMs === undefined) return 0
    const longer = (this.samples.get(poolId) ?? []).filter((durationMs) => durationMs > elapsedMs)
    if (longer.length === 0) return Math.max(0, elapsedMs - delayMs)
    return longer.reduce((sum, durationMs) => sum + Math.max(0, durationMs - elapsedMs - delayMs), 0) / longer.length
  }
}
