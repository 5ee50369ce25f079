/**
 * Requests to other daemons that await an answer.
 */
import type { TimerService } from '@vanillathread/kernel'

/** Matches answers to requests by sequence number. */
export class PendingRequests<T> {
  private nextSeq = 1
  private readonly resolvers = new Map<number, (answer: T) => void>()

  private constructor (private readonly timers: TimerService) {}

  static create<T> (timers: TimerService): PendingRequests<T> {
    return new PendingRequests<T>(timers)
  }

  /** Delivers an answer to its request. An answer that arrives after the request's time limit is ignored. */
  settle (seq: number, answer: T): void {
    this.resolvers.get(seq)?.(answer)
  }

  /** Sends a request and returns its answer, or `fallback` if none arrives within `limitMs`. */
  async request (send: (seq: number) => void, limitMs: number, fallback: T): Promise<T> {
    const seq = this.nextSeq++
    const answered = new Promise<T>((resolve) => { this.resolvers.set(seq, resolve) })
    const limit = this.timers.after(limitMs, () => this.settle(seq, fallback))
    send(seq)
    const answer = await answered
    limit.dispose()
    this.resolvers.delete(seq)
    return answer
  }
}
