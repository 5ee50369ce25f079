/**
 * Refusals as problem details documents. Source: RFC 9457.
 */
import { Execution, RESULT_CODES, ResultCode } from '@vanillathread/model'
import type { Refusal } from './ServiceRequest.js'

/** Body of a refusal, as `application/problem+json`. @public */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  /** Numeric result code. */
  readonly code: ResultCode
  /** Whether the request ran, did not run, or may have run. */
  readonly execution: Execution
  readonly requestId: string
  /** Retry delay for the caller, in milliseconds. */
  readonly retryAfterMs?: number
  readonly detail?: string
}

/** Status of a refusal whose result code defines none. */
const DEFAULT_STATUS = 500

/** Creates the problem document of a refusal. */
export function createProblem (requestId: string, refusal: Refusal, detail?: string): Problem {
  const { title, status, execution } = RESULT_CODES[refusal.code]
  return {
    type: `urn:vanillathread:result:${refusal.code}`,
    title,
    status: status ?? DEFAULT_STATUS,
    code: refusal.code,
    execution: execution ?? Execution.Unknown,
    requestId,
    ...refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs },
    ...detail === undefined ? {} : { detail },
  }
}
