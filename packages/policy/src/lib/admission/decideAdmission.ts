/**
 * Decides whether a request may wait, or is refused at once as not run.
 */
import { ResultCode } from '@vanillathread/model'

/** What is known when a request arrives or is looked at again. @public */
export interface AdmissionState {
  readonly nowMs: number
  readonly deadlineMs: number
  /** Estimated wait for a slot, in milliseconds. */
  readonly waitMs: number
  /** Estimated time from the start of an attempt to its answer, in milliseconds. */
  readonly serviceTimeMs: number
}

/** The decision, with the time after which a refused caller should ask again. @public */
export type AdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly code: ResultCode, readonly retryAfterMs: number }

const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 30_000

/** Refuses what cannot meet its deadline. @public */
export function decideAdmission (state: AdmissionState): AdmissionDecision {
  const leftMs = state.deadlineMs - state.nowMs
  if (leftMs <= 0) return { admitted: false, code: ResultCode.DeadlineExpired, retryAfterMs: MIN_RETRY_AFTER_MS }
  if (state.waitMs + state.serviceTimeMs <= leftMs) return { admitted: true }
  const excessMs = state.waitMs + state.serviceTimeMs - leftMs
  return { admitted: false, code: ResultCode.DeadlineUnreachable, retryAfterMs: limitRetryAfterMs(excessMs) }
}

/** Bounds a retry-after time. @public */
export function limitRetryAfterMs (retryAfterMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(retryAfterMs)))
}
