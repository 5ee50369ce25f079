/**
 * The bounded queue of one service in one daemon.
 */
import type { WorkClass } from '@vanillathread/model'
import { CLASS_ORDER } from './classOrder.js'

/** A request that waits. @public */
export interface QueuedItem<T> {
  readonly workClass: WorkClass
  /** Monotonic time by which the answer is wanted. */
  readonly deadlineMs: number
  readonly enqueuedMs: number
  readonly payload: T
}

/** What became of an item offered to the queue. @public */
export type OfferResult<T> =
  | { readonly accepted: true, readonly displaced?: QueuedItem<T> }
  | { readonly accepted: false }

/** Orders waiting requests by class and deadline. @public */
export class ServiceQueue<T> {
  private items: Array<QueuedItem<T>> = []

  private constructor (private limit: number) {}

  /** @param options - `limit` is the most items that may wait. */
  static create<T> (options: { limit: number }): ServiceQueue<T> {
    return new ServiceQueue<T>(options.limit)
  }

  get size (): number {
    return this.items.length
  }

  setLimit (limit: number): void {
    this.limit = limit
  }

  /** Returns how many items would be served before a new one of this class and deadline. */
  countAhead (workClass: WorkClass, deadlineMs: number): number {
    return this.findPlace({ workClass, deadlineMs })
  }

  /**
   * Adds an item. Where the queue is full, the last item is displaced if the new one goes before it.
   */
  offer (item: QueuedItem<T>): OfferResult<T> {
    const place = this.findPlace(item)
    const full = this.items.length >= this.limit
    if (full && place >= this.items.length) return { accepted: false }
    this.items.splice(place, 0, item)
    const displaced = full ? this.items.pop() : undefined
    return displaced === undefined ? { accepted: true } : { accepted: true, displaced }
  }

  /** Returns the next item without removing it. */
  peek (): QueuedItem<T> | undefined {
    return this.items[0]
  }

  /** Removes and returns the next item. */
  take (): QueuedItem<T> | undefined {
    return this.items.shift()
  }

  /**
   * Removes and returns the items that a predicate selects.
   *
   * @param shouldRemove - gets the item and how many items that stay go before it.
   */
  removeWhere (shouldRemove: (item: QueuedItem<T>, ahead: number) => boolean): Array<QueuedItem<T>> {
    const kept: Array<QueuedItem<T>> = []
    const removed: Array<QueuedItem<T>> = []
    for (const item of this.items) {
      if (shouldRemove(item, kept.length)) removed.push(item)
      else kept.push(item)
    }
    if (removed.length > 0) this.items = kept
    return removed
  }

  /** Finds the place by binary search; equal items keep their order of arrival. */
  private findPlace (item: Pick<QueuedItem<T>, 'workClass' | 'deadlineMs'>): number {
    let low = 0
    let high = this.items.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.items[middle]
      if (other !== undefined && compareUrgency(other, item) <= 0) low = middle + 1
      else high = middle
    }
    return low
  }
}

function compareUrgency (a: Pick<QueuedItem<unknown>, 'workClass' | 'deadlineMs'>, b: Pick<QueuedItem<unknown>, 'workClass' | 'deadlineMs'>): number {
  return CLASS_ORDER.indexOf(a.workClass) - CLASS_ORDER.indexOf(b.workClass) || a.deadlineMs - b.deadlineMs
}
