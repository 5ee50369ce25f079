/**
 * What serves clients, as the ingress sees it.
 */
import type { JobSpec, JobState, ResultCode } from '@vanillathread/model'

/** Kinds of {@link IngressAnswer}. @public */
export enum IngressAnswerKind {
  Accepted = 'accepted',
  /** Will never run because of this request. */
  Refused = 'refused',
  /** Whether the job was stored is not known. */
  OutcomeUnknown = 'outcome-unknown',
  UnknownQueue = 'unknown-queue',
  UnknownJob = 'unknown-job',
  State = 'state',
  Pending = 'pending',
  Cancelled = 'cancelled',
}

/** What a client is answered. @public */
export type IngressAnswer =
  | { readonly kind: IngressAnswerKind.Accepted | IngressAnswerKind.Cancelled | IngressAnswerKind.UnknownQueue | IngressAnswerKind.UnknownJob | IngressAnswerKind.OutcomeUnknown }
  | { readonly kind: IngressAnswerKind.Refused, readonly code: ResultCode, readonly retryAfterMs: number }
  | { readonly kind: IngressAnswerKind.State, readonly state: JobState }
  | { readonly kind: IngressAnswerKind.Pending, readonly count: number }

/** A client's request, decoded. @public */
export interface ClientRequest {
  readonly host: string
  readonly path: string
  /** Time that the client waits for an answer. */
  readonly deadlineMs: number
}

/** Serves clients. @public */
export interface ClientApi {
  /** True where the daemon wants new connections. */
  isReady (): boolean
  /** True once the daemon is stopping; connections are then closed after their answer. */
  isStopping (): boolean
  maxBodyBytes (): number
  submit (req: ClientRequest, spec: JobSpec): Promise<IngressAnswer>
  /** Reads a job's state, or a queue's number of pending jobs where the path ends with the queue's prefix. */
  look (req: ClientRequest): Promise<IngressAnswer>
  cancel (req: ClientRequest): Promise<IngressAnswer>
}

/** A server for clients and for the balancer's readiness checks. @public */
export interface Ingress {
  listen (): Promise<void>
  /** Ends once the requests in flight are answered, or after `limitMs`. */
  close (limitMs: number): Promise<void>
}
