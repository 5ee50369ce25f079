/**
 * The four outcomes of an attempt.
 */

/** Kinds of {@link AttemptOutcome}. @public */
export enum AttemptOutcomeKind {
  /** No byte of the request was written to an endpoint. */
  NotSent = 'not-sent',
  /** The endpoint answered that it did not run the request. */
  RefusedNotRun = 'refused-not-run',
  /** The endpoint's answer was received completely. */
  Answered = 'answered',
  /** The request may or may not have run. */
  Unknown = 'unknown',
}

/** Why an outcome is unknown. @public */
export enum UnknownReason {
  Timeout = 'timeout',
  ConnectionLost = 'connection-lost',
  /** The answer began but was not received completely. */
  BrokenAnswer = 'broken-answer',
}

/** How one attempt ended. `leaving` is true if the endpoint announced that it is leaving. @public */
export type AttemptOutcome =
  | { readonly kind: AttemptOutcomeKind.NotSent }
  | { readonly kind: AttemptOutcomeKind.RefusedNotRun, readonly leaving: boolean }
  | { readonly kind: AttemptOutcomeKind.Answered, readonly status: number }
  | { readonly kind: AttemptOutcomeKind.Unknown, readonly reason: UnknownReason }
