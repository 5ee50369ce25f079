/**
 * What the scheduler wants done, as data.
 */
import type { TrackedRun } from './TrackedRun.js'

/** Kinds of {@link Order}. @public */
export enum OrderKind {
  Start = 'start',
  Stop = 'stop',
  Pace = 'pace',
}

/** An order to one VM. @public */
export type Order =
  | { readonly kind: OrderKind.Start, readonly run: TrackedRun, readonly ticket?: string }
  | { readonly kind: OrderKind.Stop, readonly run: TrackedRun }
  | { readonly kind: OrderKind.Pace, readonly run: TrackedRun, readonly percent: number }

/** What became of a start. @public */
export enum StartOutcome {
  Accepted = 'accepted',
  /** The VM said, or it follows, that the order was not carried out. */
  Refused = 'refused',
  /** No answer; the order may be carried out at any later time. */
  Unknown = 'unknown',
}
