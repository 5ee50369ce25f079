/**
 * The bounded queue of one service in one daemon.
 */
import type { WorkClass } from '@vanillathread/model'
import { CLASS_ORDER } from './classOrder.js'

/** A waiting request. @public */
export interface QueuedItem<T> {
  readonly workClass: WorkClass
  /** Monotonic time by which the answer must arrive. */
  readonly deadlineMs: number
  readonly enqueuedMs: number
  readonly payload: T
}

/** Whether the queue accepted an item, and the item that it displaced, if any. @public */
export type OfferResult<T> =
  | { readonly accepted: true, readonly displaced?: QueuedItem<T> }
  | { readonly accepted: false }

/** Orders waiting requests by class and deadline. @public */
export class ServiceQueue<T> {
  private items: Array<QueuedItem<T>> = []

  private constructor (private limit: number) {}

  /** @param options - `limit` is the maximum number of waiting items. */
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
    return this.findInsertIndex({ workClass, deadlineMs })
  }

  /**
   * Adds an item. If the queue is full, the last item is displaced if the new one is served before it;
   * otherwise the new one is refused.
   */
  offer (item: QueuedItem<T>): OfferResult<T> {
    const insertIndex = this.findInsertIndex(item)
    const full = this.items.length >= this.limit
    if (full && insertIndex >= this.items.length) return { accepted: false }
    this.items.splice(insertIndex, 0, item)
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
   * @param shouldRemove - receives the item and the number of items before it that were kept.
   */
  removeIf (shouldRemove: (item: QueuedItem<T>, ahead: number) => boolean): Array<QueuedItem<T>> {
    const kept: Array<QueuedItem<T>> = []
    const removed: Array<QueuedItem<T>> = []
    for (const item of this.items) {
      if (shouldRemove(item, kept.length)) removed.push(item)
      else kept.push(item)
    }
    if (removed.length > 0) this.items = kept
    return removed
  }

  /** Finds the insertion index by binary search. An item goes after those with an equal class and deadline. */
  private findInsertIndex (item: Pick<QueuedItem<T>, 'workClass' | 'deadlineMs'>): number {
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
