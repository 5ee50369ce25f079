/**
 * Decides after an attempt whether its answer is delivered, or the request is retried or fails.
 */
import { exhaustiveSwitchError, ResultCode } from '@vanillathread/model'
import { AttemptOutcomeKind, UnknownReason, type AttemptOutcome } from './AttemptOutcome.js'

/** Kinds of {@link RetryDecision}. @public */
export enum RetryAction {
  Deliver = 'deliver',
  Retry = 'retry',
  Fail = 'fail',
}

/** The decision after an attempt. @public */
export type RetryDecision =
  | { readonly action: RetryAction.Deliver }
  | { readonly action: RetryAction.Retry }
  | { readonly action: RetryAction.Fail, readonly code: ResultCode }

/** Inputs of the decision. @public */
export interface RetryState {
  readonly idempotent: boolean
  /** Attempts made so far, this one included. */
  readonly attempts: number
  readonly maxAttempts: number
  /** True if an earlier attempt of the request ended with an unknown outcome. */
  readonly mayHaveRun: boolean
  readonly nowMs: number
  readonly deadlineMs: number
  /** Takes one retry from the budget; called only if all other conditions allow a retry. */
  withdraw (): boolean
}

const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([500, 502, 503, 504])

/** Returns true if the status means that the endpoint itself failed. @public */
export function isServerError (status: number): boolean {
  return SERVER_ERROR_STATUSES.has(status)
}

/**
 * Decides whether to deliver the answer, retry the request or let it fail.
 *
 * A non-idempotent request is retried only if the outcome shows that it did not run. An answer is delivered
 * unchanged, except that an idempotent request may be retried on another endpoint after a server error.
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

/** Builds a failure. If an earlier attempt may have run, the result code never says that the request was not run. */
function fail (code: ResultCode, state: RetryState): RetryDecision {
  return { action: RetryAction.Fail, code: state.mayHaveRun ? ResultCode.AnswerLost : code }
}

function getUnknownCode (reason: UnknownReason): ResultCode {
  return reason === UnknownReason.BrokenAnswer ? ResultCode.AnswerBroken : ResultCode.AnswerLost
}
