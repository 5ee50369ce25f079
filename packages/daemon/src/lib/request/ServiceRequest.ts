/**
 * A caller's request and its outcome inside the daemon.
 */
import type { Readable } from 'node:stream'
import type { HopSpan } from '@vanillathread/kernel'
import type { ResultCode, WorkClass } from '@vanillathread/model'

/** HTTP headers by lower-case name. @public */
export type Headers = Readonly<Record<string, string | string[] | undefined>>

/** A request to a service. @public */
export interface ServiceRequest {
  /** Unique id, for logs and `explain`. */
  readonly requestId: string
  readonly service: string
  readonly method: string
  /** Path and query as the endpoint gets them. */
  readonly path: string
  /** End-to-end headers. */
  readonly headers: Headers
  readonly body?: Buffer
  readonly workClass: WorkClass
  /** Monotonic time by which the answer is wanted, or undefined for the service's default. */
  readonly deadlineMs?: number
  readonly idempotent: boolean
  /** Key by which a resend of a non-idempotent request is recognized. */
  readonly idempotencyKey?: string
  /** Span of the hop from the caller. */
  readonly hop: HopSpan
}

/** An endpoint's answer. @public */
export interface Answer {
  readonly status: number
  /** End-to-end headers. */
  readonly headers: Headers
  /** The whole body, or a stream that fails where the body breaks off. */
  readonly body: Buffer | Readable
}

/** Why a request has no answer. @public */
export interface Refusal {
  readonly code: ResultCode
  /** Time after which the caller may ask again. */
  readonly retryAfterMs?: number
}

/** Kinds of {@link RequestOutcome}. @public */
export enum RequestOutcomeKind {
  Answer = 'answer',
  Refusal = 'refusal',
}

/** What the caller gets. @public */
export type RequestOutcome =
  | { readonly kind: RequestOutcomeKind.Answer, readonly answer: Answer }
  | { readonly kind: RequestOutcomeKind.Refusal, readonly refusal: Refusal }

/** Builds the outcome of a refused or failed request. */
export function createRefusal (code: ResultCode, retryAfterMs?: number): RequestOutcome {
  return { kind: RequestOutcomeKind.Refusal, refusal: { code, ...retryAfterMs === undefined ? {} : { retryAfterMs } } }
}
