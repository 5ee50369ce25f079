/**
 * Decides what follows an attempt.
 */
import { exhaustiveSwitchError, ResultCode } from '@vanillathread/model'
import { AttemptOutcomeKind, UnknownReason, type AttemptOutcome } from './AttemptOutcome.js'

/** Kinds of {@link RetryDecision}. @public */
export enum RetryAction {
  Deliver = 'deliver',
  Retry = 'retry',
  Fail = 'fail',
}

/** What follows an attempt. @public */
export type RetryDecision =
  | { readonly action: RetryAction.Deliver }
  | { readonly action: RetryAction.Retry }
  | { readonly action: RetryAction.Fail, readonly code: ResultCode }

/** What the decision depends on. @public */
export interface RetryState {
  readonly idempotent: boolean
  /** Attempts made so far, this one included. */
  readonly attempts: number
  readonly maxAttempts: number
  /** True where an earlier attempt of the request ended as unknown. */
  readonly mayHaveRun: boolean
  readonly nowMs: number
  readonly deadlineMs: number
  /** Takes one retry from the budget; called only where a retry is otherwise possible. */
  withdraw (): boolean
}

const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504])

/** Returns true where an answer says that the endpoint itself failed. @public */
export function isServerError (status: number): boolean {
  return SERVER_ERROR_STATUSES.has(status)
}

/**
 * A non-idempotent request is retried only after an outcome by which it did not run.
 * An answer is delivered as it is, except that an idempotent request may try another endpoint after a server error.
 *
 * @public
 */
export function decideRetry (outcome: AttemptOutcome, state: RetryState): RetryDecision {
  switch (outcome.kind) {
    case AttemptOutcomeKind.Answered:
      if (isServerError(outcome.status) && state.idempotent && canRetry(state)) return { action: RetryAction.Retry }
      return { action: RetryAction.Deliver }
    case AttemptOutcomeKind.NotSent:
      return canRetry(state) ? { action: RetryAction.Retry } : fail(ResultCode.ConnectFailed, state)
    case AttemptOutcomeKind.RefusedNotRun:
      return canRetry(state) ? { action: RetryAction.Retry } : fail(ResultCode.EndpointRefused, state)
    case AttemptOutcomeKind.Unknown:
      if (state.idempotent && canRetry(state)) return { action: RetryAction.Retry }
      return { action: RetryAction.Fail, code: getUnknownCode(outcome.reason) }
    default:
      throw exhaustiveSwitchError(outcome)
  }
}

function canRetry (state: RetryState): boolean {
  if (state.attempts >= state.maxAttempts) return false
  if (state.nowMs >= state.deadlineMs) return false
  return state.withdraw()
}

/** A request of which an earlier attempt may have run is never said to be not run. */
function fail (code: ResultCode, state: RetryState): RetryDecision {
  return { action: RetryAction.Fail, code: state.mayHaveRun ? ResultCode.AnswerLost : code }
}

function getUnknownCode (reason: UnknownReason): ResultCode {
  return reason === UnknownReason.BrokenAnswer ? ResultCode.AnswerBroken : ResultCode.AnswerLost
}
