/**
 * Learned service time of one service, used to tell early which deadlines cannot be met.
 */

const SMOOTHING = 0.1

/** What stands between an item and a slot. @public */
export interface Backlog {
  /** Items that are served before it. */
  readonly ahead: number
  /** Slots that serve the queue. */
  readonly slots: number
  /** Arrivals per millisecond that will go before it. */
  readonly rateAbove: number
}

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
   * Items that arrive later and go before it take their part of the slots. A burst is not believed
   * to last, so beyond a horizon all slots are counted for the item's own queue again.
   */
  getWaitMs (backlog: Backlog): number {
    const { ahead, slots, rateAbove } = backlog
    // Without slots yet, or without any observation, the wait is not known and nothing is refused for it.
    if (slots <= 0 || this.getMeanMs() === 0) return 0
    const capacity = slots / this.getMeanMs()
    const left = capacity - rateAbove
    const items = ahead + 1
    if (left * BURST_HORIZON_MS >= items) return items / left
    return BURST_HORIZON_MS + (items - left * BURST_HORIZON_MS) / capacity
  }
}

/** Time for which arrivals are assumed to go on as they are. */
const BURST_HORIZON_MS = 5_000
