/**
 * Orders from the scheduler to VMs, as data.
 */
import type { TrackedRun } from './TrackedRun.js'

/** Kinds of {@link Order}. @public */
export enum OrderKind {
  Start = 'start',
  Stop = 'stop',
  Pace = 'pace',
}

/**
 * An order to the VM of a run. A start carries the ticket of the admission service if the job's queue requires tickets.
 * @public
 */
export type Order =
  | { readonly kind: OrderKind.Start, readonly run: TrackedRun, readonly ticket?: string }
  | { readonly kind: OrderKind.Stop, readonly run: TrackedRun }
  | { readonly kind: OrderKind.Pace, readonly run: TrackedRun, readonly percent: number }

/** Outcome of a start order. @public */
export enum StartOutcome {
  Accepted = 'accepted',
  /** The order was not carried out: the VM refused it, or it could not be sent. */
  Refused = 'refused',
  /** No answer came; the VM may have carried out the order, or may do so at any later time. */
  Unknown = 'unknown',
}
