/**
 * Measured service time of one service, used to refuse requests early if they cannot meet their deadline.
 */

/** Weight of a new service time in the mean. */
const SMOOTHING_FACTOR = 0.1

/** Inputs of the estimate of an item's wait for a slot. @public */
export interface Backlog {
  /** Number of queued items that are served before it. */
  readonly ahead: number
  /** Number of slots that serve the queue. */
  readonly slots: number
  /** Rate of later arrivals that are served before it, per millisecond. */
  readonly moreUrgentRate: number
}

/** Exponentially weighted mean of service times. @public */
export class ServiceTimeEstimate {
  private meanMs: number | undefined

  private constructor () {}

  static create (): ServiceTimeEstimate {
    return new ServiceTimeEstimate()
  }

  /** Adds the duration of one answered attempt, in milliseconds. */
  addSample (serviceTimeMs: number): void {
    this.meanMs = this.meanMs === undefined ? serviceTimeMs : this.meanMs + SMOOTHING_FACTOR * (serviceTimeMs - this.meanMs)
  }

  /** Returns the mean in milliseconds. It is 0 until the first sample, so that no request is refused without a measurement. */
  getMeanMs (): number {
    return this.meanMs ?? 0
  }

  /**
   * Estimates how long an item waits for a slot.
   *
   * Items that arrive later and are served first reduce the capacity for this item. The estimate assumes
   * that such a burst ends: after `BURST_HORIZON_MS` it counts the whole capacity again.
   */
  getWaitMs (backlog: Backlog): number {
    const { ahead, slots, moreUrgentRate } = backlog
    // Without slots or samples the wait is unknown. It counts as 0, so that no request is refused because of it.
    if (slots <= 0 || this.getMeanMs() === 0) return 0
    const capacity = slots / this.getMeanMs()
    const remainingCapacity = capacity - moreUrgentRate
    const items = ahead + 1
    if (remainingCapacity * BURST_HORIZON_MS >= items) return items / remainingCapacity
    return BURST_HORIZON_MS + (items - remainingCapacity * BURST_HORIZON_MS) / capacity
  }
}

/** Time for which arrivals are assumed to continue at their present rate. */
const BURST_HORIZON_MS = 5_000
