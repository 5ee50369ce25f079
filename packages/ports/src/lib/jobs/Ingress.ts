/**
 * Interfaces between the server for clients (ingress) and the code that handles their requests.
 */
import type { JobSpec, JobState, ResultCode } from '@vanillathread/model'

/** Kinds of {@link IngressAnswer}. @public */
export enum IngressAnswerKind {
  /** The job is stored. */
  Accepted = 'accepted',
  /** The request was not carried out; a refused job will never run because of this request. */
  Refused = 'refused',
  /** It is not known whether the job was stored. */
  OutcomeUnknown = 'outcome-unknown',
  /** No queue is configured at the host and path. */
  UnknownQueue = 'unknown-queue',
  UnknownJob = 'unknown-job',
  /** State of the job. */
  State = 'state',
  /** Number of the queue's jobs that have not begun. */
  Pending = 'pending',
  /** The cancellation is stored. */
  Cancelled = 'cancelled',
}

/** Answer to a client's request; `retryAfterMs` is the retry delay for the client. @public */
export type IngressAnswer =
  | { readonly kind: IngressAnswerKind.Accepted | IngressAnswerKind.Cancelled | IngressAnswerKind.UnknownQueue | IngressAnswerKind.UnknownJob | IngressAnswerKind.OutcomeUnknown }
  | { readonly kind: IngressAnswerKind.Refused, readonly code: ResultCode, readonly retryAfterMs: number }
  | { readonly kind: IngressAnswerKind.State, readonly state: JobState }
  | { readonly kind: IngressAnswerKind.Pending, readonly count: number }

/** Address and deadline of a client's request. @public */
export interface ClientRequest {
  readonly host: string
  /** Path: the prefix of a queue, followed by the id of a job unless the request is about the queue. */
  readonly path: string
  /** API key; undefined if the call has none or several. It must not be logged, stored or sent to other daemons. */
  readonly key?: string
  /** Time that the client waits for an answer, in milliseconds from the arrival of the request. */
  readonly deadlineMs: number
}

/** Limits on clients: those of the operator's configuration, and what the store can hold. Times are in milliseconds. @public */
export interface ClientLimits {
  /** Largest body, in bytes. */
  readonly maxBodyBytes?: number
  /** Largest head of a request, in bytes. */
  readonly maxHeaderBytes?: number
  /** Most steps of a job. */
  readonly maxSteps?: number
  /** Time from the first byte of a request to the end of its head. */
  readonly headerTimeoutMs?: number
  /** Time for which a connection may stay silent. */
  readonly idleTimeoutMs?: number
}

/** Handles the requests of clients. @public */
export interface ClientApi {
  /** Returns true if the daemon is ready for new connections; the readiness check reports this to the load balancer. */
  isReady (): boolean
  /** Returns true if the daemon is stopping. Each connection is then closed after its next answer. */
  isStopping (): boolean
  /** Returns the limits in force. One that is absent is the server's own. */
  getLimits (): ClientLimits
  /** Returns the answer to a call that cannot be served whatever its body says, or undefined if the body has to be read. */
  checkCall (req: ClientRequest): IngressAnswer | undefined
  /** Stores a job under the id in the path. */
  submit (req: ClientRequest, spec: JobSpec): Promise<IngressAnswer>
  /** Reads the state of a job, or the number of pending jobs of a queue if the path is the queue's prefix alone. */
  query (req: ClientRequest): Promise<IngressAnswer>
  /** Stores the cancellation of a job. */
  cancel (req: ClientRequest): Promise<IngressAnswer>
}

/** A server for clients and for the load balancer's readiness checks. @public */
export interface Ingress {
  /** Starts to accept connections. */
  listen (): Promise<void>
  /** Closes the server. Resolves when all requests in flight are answered, or after `limitMs`. */
  close (limitMs: number): Promise<void>
}
