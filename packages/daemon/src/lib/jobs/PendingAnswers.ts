/**
 * Requests to other daemons that wait for an answer.
 */
import type { TimerService } from '@vanillathread/kernel'

/** Matches answers to requests by number. */
export class PendingAnswers<T> {
  private nextSeq = 1
  private readonly waiting = new Map<number, (answer: T) => void>()

  private constructor (private readonly timers: TimerService) {}

  static create<T> (timers: TimerService): PendingAnswers<T> {
    return new PendingAnswers<T>(timers)
  }

  /** Takes in an answer; one that comes after its time is left out. */
  settle (seq: number, answer: T): void {
    this.waiting.get(seq)?.(answer)
  }

  /** Sends a request and returns its answer, or `late` once the time is over. */
  async ask (send: (seq: number) => void, limitMs: number, late: T): Promise<T> {
    const seq = this.nextSeq++
    const answered = new Promise<T>((resolve) => { this.waiting.set(seq, resolve) })
    const limit = this.timers.after(limitMs, () => this.settle(seq, late))
    send(seq)
    const answer = await answered
    limit.dispose()
    this.waiting.delete(seq)
    return answer
  }
}
