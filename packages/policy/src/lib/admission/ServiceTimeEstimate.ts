/**
 * Learned service time of one service, used to tell early which deadlines cannot be met.
 */

const SMOOTHING = 0.1

/** Exponentially weighted mean of service times. @public */
export class ServiceTimeEstimate {
  private meanMs: number | undefined

  private constructor () {}

  static create (): ServiceTimeEstimate {
    return new ServiceTimeEstimate()
  }

  /** Takes in the time of one answered attempt, in milliseconds. */
  observe (serviceTimeMs: number): void {
    this.meanMs = this.meanMs === undefined ? serviceTimeMs : this.meanMs + SMOOTHING * (serviceTimeMs - this.meanMs)
  }

  /** Mean in milliseconds; 0 until something was observed, so that nothing is refused on a guess. */
  getMeanMs (): number {
    return this.meanMs ?? 0
  }

  /**
   * Estimates how long an item waits for a slot.
   *
   * @param ahead - items that are served before it.
   * @param slots - slots that serve the queue; with none yet the wait is not known and 0 is returned.
   */
  getWaitMs (ahead: number, slots: number): number {
    if (slots <= 0) return 0
    return ((ahead + 1) / slots) * this.getMeanMs()
  }
}
