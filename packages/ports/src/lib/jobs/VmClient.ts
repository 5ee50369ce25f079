/**
 * Port to the VMs that run tasks.
 */
import type { OrderRefusal, VmEntry, VmReport } from '@vanillathread/model'

/** Kinds of {@link VmAnswer}. @public */
export enum VmAnswerKind {
  Done = 'done',
  /** The VM did not carry out the call. */
  Refused = 'refused',
  /** Unknown outcome: no answer came. The VM may have carried out the call, or may do so at any later time. */
  Unknown = 'unknown',
}

/** Result of a call to a VM. @public */
export type VmAnswer<T> =
  | { readonly kind: VmAnswerKind.Done, readonly value: T }
  | { readonly kind: VmAnswerKind.Refused, readonly refusal: OrderRefusal }
  | { readonly kind: VmAnswerKind.Unknown, readonly reason: string }

/** The run of a task that an order is for. @public */
export interface RunReference {
  /** Name of the task, as `formatTaskName` writes it. */
  readonly task: string
  /** Number of the run, which rises with each run of the task. */
  readonly run: number
  /** Version at which the owner took over the shard; a VM refuses a lower one than it has seen. */
  readonly fencingToken: number
  /** Incarnation of the VM that the call is meant for, see {@link VmClient}; undefined if any may carry it out. */
  readonly bornMs?: number
}

/** An order to start a run. @public */
export interface StartCall extends RunReference {
  /** Payload of the job. */
  readonly payload: string
  /** End of the VM's lease in milliseconds on the VM's steady clock. */
  readonly leaseUntilMs: number
  /** Checkpoint from which the run continues, or an empty text if there is none. */
  readonly checkpoint: string
  /** Ticket of the admission service, if the queue needs one. */
  readonly ticket?: string
}

/** A renewal of the VM's lease, which also acknowledges end entries and returns a report. @public */
export interface RenewCall {
  /** Version at which the owner took over the shard; a VM refuses a lower one than it has seen. */
  readonly fencingToken: number
  /** Incarnation of the VM that the call is meant for, see {@link VmClient}; undefined if any may carry it out. */
  readonly bornMs?: number
  /** New end of the lease in milliseconds on the VM's steady clock, or undefined if the lease stays as it is. */
  readonly leaseUntilMs?: number
  /** Acknowledged end: number of the highest end entry that the owner has stored. The VM drops the entries up to it. */
  readonly acknowledgedEnd: number
  /** Long poll: the longest time that the VM waits for an end entry before it answers, in milliseconds. */
  readonly waitMs: number
}

/**
 * Port to one VM.
 *
 * A VM that starts again under its id has a new clock and new numbers of end entries, so what a call says of these means something else
 * there. A call that names an incarnation is never carried out by another one. If the client finds another one, an order is refused with
 * `OrderRefusal.Restarted`, and a renewal returns a report of that incarnation, which gets no lease and no acknowledgement.
 *
 * @public
 */
export interface VmClient {
  /** Starts a run. A repeated call for the same run has no further effect. */
  start (call: StartCall): Promise<VmAnswer<void>>
  /** Stops a run, and bars the VM from starting it if it is not there. The run's end follows as an end entry. */
  stop (call: RunReference): Promise<VmAnswer<void>>
  /** Sets the pace of a best-effort task, 0 to 100 percent. */
  pace (call: RunReference & { readonly percent: number }): Promise<VmAnswer<void>>
  /** Renews the lease of the VM and returns its runs and end entries. */
  renew (call: RenewCall): Promise<VmAnswer<VmReport>>
  /** Closes the connections. */
  dispose (): void
}

/** Opens clients of VMs. @public */
export interface VmClients {
  /** Returns a client of the VM that registered with an entry. */
  open (entry: VmEntry): VmClient
}
