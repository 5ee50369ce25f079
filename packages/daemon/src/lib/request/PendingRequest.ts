/**
 * A request from its submission to its outcome.
 */
import type { Subscription } from '@vanillathread/kernel'
import { Execution, RESULT_CODES, ResultCode } from '@vanillathread/model'
import { createRefusal, type RequestOutcome, type ServiceRequest } from './ServiceRequest.js'

/** State of one request in a daemon. */
export class PendingRequest {
  /** Ids of the endpoints of all attempts so far. */
  readonly tried = new Set<string>()
  /** Number of attempts made so far. */
  attempts = 0
  /** Number of attempts in flight. */
  activeAttempts = 0
  /** True once an attempt was answered or ended with an unknown outcome. */
  mayHaveRun = false
  /** True once the caller has closed its connection. An attempt in flight runs to its end, but no further one is started. */
  abandoned = false
  hedgeTimer: Subscription | undefined
  readonly outcome: Promise<RequestOutcome>
  private resolveOutcome!: (outcome: RequestOutcome) => void
  private isSettled = false

  private constructor (readonly req: ServiceRequest, readonly deadlineMs: number) {
    this.outcome = new Promise((resolve) => { this.resolveOutcome = resolve })
  }

  static create (req: ServiceRequest, deadlineMs: number): PendingRequest {
    return new PendingRequest(req, deadlineMs)
  }

  get settled (): boolean {
    return this.isSettled
  }

  /** Sets the final outcome. Later calls have no effect. */
  settle (outcome: RequestOutcome): void {
    if (this.isSettled) return
    this.isSettled = true
    this.hedgeTimer?.dispose()
    this.resolveOutcome(outcome)
  }

  /**
   * Ends the request without an answer. If the request may have run and `code` says that it has not,
   * the outcome is `AnswerLost` instead.
   *
   * @returns the code of the outcome.
   */
  refuse (code: ResultCode, retryAfterMs?: number): ResultCode {
    const possiblyRun = this.mayHaveRun || this.activeAttempts > 0
    const contradicts = possiblyRun && RESULT_CODES[code].execution === Execution.NotRun
    this.settle(contradicts ? createRefusal(ResultCode.AnswerLost) : createRefusal(code, retryAfterMs))
    return contradicts ? ResultCode.AnswerLost : code
  }
}
