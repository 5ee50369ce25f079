/**
 * Decides whether a request may wait in the queue, or is refused before it runs.
 */
import { ResultCode } from '@vanillathread/model'

/** Inputs of the decision, which is made when a request arrives and again while it is queued. @public */
export interface AdmissionState {
  readonly nowMs: number
  readonly deadlineMs: number
  /** Estimated wait for a slot, in milliseconds. */
  readonly waitMs: number
  /** Estimated time from the start of an attempt to its answer, in milliseconds. */
  readonly serviceTimeMs: number
}

/** The decision. `retryAfterMs` is the retry delay for a refused caller, in milliseconds. @public */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly code: ResultCode, readonly retryAfterMs: number }

const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 30_000

/** Refuses a request whose deadline has passed or cannot be met. @public */
export function decideAdmission (state: AdmissionState): AdmissionDecision {
  const remainingMs = state.deadlineMs - state.nowMs
  if (remainingMs <= 0) return { admitted: false, code: ResultCode.DeadlineExpired, retryAfterMs: MIN_RETRY_AFTER_MS }
  if (state.waitMs + state.serviceTimeMs <= remainingMs) return { admitted: true }
  const excessMs = state.waitMs + state.serviceTimeMs - remainingMs
  return { admitted: false, code: ResultCode.DeadlineUnreachable, retryAfterMs: clampRetryDelayMs(excessMs) }
}

/** Limits a retry delay to the range from `MIN_RETRY_AFTER_MS` to `MAX_RETRY_AFTER_MS`. @public */
export function clampRetryDelayMs (retryAfterMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)))
}
