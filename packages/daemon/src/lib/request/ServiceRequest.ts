/**
 * A caller's request and its outcome inside the daemon.
 */
import { Readable } from 'node:stream'
import type { HopSpan } from '@vanillathread/kernel'
import type { ResultCode, WorkClass } from '@vanillathread/model'

/** HTTP headers by lower-case name. @public */
export type Headers = Readonly<Record<string, string | string[] | undefined>>

/** A request to a service. @public */
export interface ServiceRequest {
  /** Unique id, used in logs and by `explain`. */
  readonly requestId: string
  readonly service: string
  readonly method: string
  /** Path and query that are sent to the endpoint. */
  readonly path: string
  /** End-to-end headers. */
  readonly headers: Headers
  readonly body?: Buffer
  readonly workClass: WorkClass
  /** Monotonic time by which the caller wants the answer, in milliseconds. If undefined, the service's default applies. */
  readonly deadlineMs?: number
  readonly idempotent: boolean
  /** Key that identifies repetitions of a non-idempotent request. */
  readonly idempotencyKey?: string
  /** Trace span that covers the request from its arrival to its outcome. */
  readonly callerSpan: HopSpan
}

/** An endpoint's answer. @public */
export interface Answer {
  readonly status: number
  /** End-to-end headers. */
  readonly headers: Headers
  /** The complete body, or a stream that fails if the body is cut off. */
  readonly body: Buffer | Readable
}

/** Reason why a request gets no answer from an endpoint. @public */
export interface Refusal {
  readonly code: ResultCode
  /** Retry delay for the caller, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Kinds of {@link RequestOutcome}. @public */
export enum RequestOutcomeKind {
  Answer = 'answer',
  Refusal = 'refusal',
}

/** An endpoint's answer, or a refusal by the daemon. @public */
export type RequestOutcome =
  | { readonly kind: RequestOutcomeKind.Answer, readonly answer: Answer }
  | { readonly kind: RequestOutcomeKind.Refusal, readonly refusal: Refusal }

/** Creates the outcome of a refused or failed request. */
export function createRefusal (code: ResultCode, retryAfterMs?: number): RequestOutcome {
  return { kind: RequestOutcomeKind.Refusal, refusal: { code, ...retryAfterMs === undefined ? {} : { retryAfterMs } } }
}

/** Destroys the body stream of an answer that is not delivered. */
export function discardAnswer (answer: Answer | undefined): void {
  if (answer?.body instanceof Readable) answer.body.destroy()
}
