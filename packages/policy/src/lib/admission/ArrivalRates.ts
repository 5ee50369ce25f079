/**
 * Recent arrival rates of admitted requests by class.
 */
import { WorkClass } from '@vanillathread/model'
import { CLASS_ORDER } from './classOrder.js'

/** Time constant of the exponential decay, in milliseconds. */
const DECAY_MS = 1_000

interface DecayedCount {
  /** Number of arrivals, decayed up to `updatedMs`. */
  count: number
  updatedMs: number
}

/** Exponentially decayed arrival rates. @public */
export class ArrivalRates {
  private readonly counts = new Map<WorkClass, DecayedCount>()

  private constructor () {}

  static create (): ArrivalRates {
    return new ArrivalRates()
  }

  /** Records the arrival of an admitted request. */
  recordArrival (workClass: WorkClass, nowMs: number): void {
    this.counts.set(workClass, { count: this.getDecayedCount(workClass, nowMs) + 1, updatedMs: nowMs })
  }

  /** Returns the arrivals per millisecond of all classes that are served before a class. */
  getMoreUrgentRate (workClass: WorkClass, nowMs: number): number {
    const moreUrgent = CLASS_ORDER.slice(0, CLASS_ORDER.indexOf(workClass))
    return moreUrgent.reduce((sum, other) => sum + this.getDecayedCount(other, nowMs) / DECAY_MS, 0)
  }

  private getDecayedCount (workClass: WorkClass, nowMs: number): number {
    const decayed = this.counts.get(workClass)
    return decayed === undefined ? 0 : decayed.count * Math.exp((decayed.updatedMs - nowMs) / DECAY_MS)
  }
}
