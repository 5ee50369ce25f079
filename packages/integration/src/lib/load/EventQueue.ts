/**
 * Events of a simulation in the order of their time.
 */

/** An event; among events of one time, the one that was added first comes first. */
export interface TimedEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Binary heap of events. */
export class EventQueue {
  private nextOrder = 0
  private readonly heap: TimedEvent[] = []

  private constructor () {}

  static create (): EventQueue {
    return new EventQueue()
  }

  add (atMs: number, run: () => void): void {
    const { heap } = this
    heap.push({ atMs, order: this.nextOrder++, run })
    for (let index = heap.length - 1; index > 0;) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index], heap[parent])) break
      swap(heap, index, parent)
      index = parent
    }
  }

  /** Removes and returns the earliest event, or undefined if there is none. */
  takeNext (): TimedEvent | undefined {
    const { heap } = this
    const first = heap[0]
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let index = 0; ;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child], heap[least])) least = child
      }
      if (least === index) break
      swap(heap, index, least)
      index = least
    }
    return first
  }
}

function isBefore (a: TimedEvent | undefined, b: TimedEvent | undefined): boolean {
  if (a === undefined || b === undefined) return false
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order)
}

function swap (heap: TimedEvent[], a: number, b: number): void {
  const [first, second] = [heap[a], heap[b]]
  if (first === undefined || second === undefined) return
  heap[a] = second
  heap[b] = first
}
