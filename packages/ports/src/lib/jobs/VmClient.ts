/**
 * Port to the VMs that run tasks.
 */
import type { OrderRefusal, VmEntry, VmReport } from '@vanillathread/model'

/** Kinds of {@link VmAnswer}. @public */
export enum VmAnswerKind {
  Done = 'done',
  /** The VM did nothing. */
  Refused = 'refused',
  /** No answer; the call may be carried out at any later time. */
  Unknown = 'unknown',
}

/** What became of a call. @public */
export type VmAnswer<T> =
  | { readonly kind: VmAnswerKind.Done, readonly value: T }
  | { readonly kind: VmAnswerKind.Refused, readonly refusal: OrderRefusal }
  | { readonly kind: VmAnswerKind.Unknown, readonly reason: string }

/** The run that an order is about. @public */
export interface RunReference {
  readonly task: string
  readonly run: number
  readonly fencingToken: number
}

/** A start. @public */
export interface StartCall extends RunReference {
  readonly payload: string
  /** End of the VM's lease, on the VM's clock. */
  readonly leaseUntilMs: number
  readonly checkpoint: string
  readonly ticket?: string
}

/** A renewal of the VM's lease, which returns its lists. @public */
export interface RenewCall {
  readonly fencingToken: number
  /** End of the lease on the VM's clock, or undefined to look only. */
  readonly leaseUntilMs?: number
  /** Ends up to this number are forgotten by the VM. */
  readonly notedEnd: number
  /** Longest time that the VM may wait for an end. */
  readonly waitMs: number
}

/** Port to one VM. @public */
export interface VmClient {
  start (call: StartCall): Promise<VmAnswer<void>>
  stop (call: RunReference): Promise<VmAnswer<void>>
  pace (call: RunReference & { readonly percent: number }): Promise<VmAnswer<void>>
  renew (call: RenewCall): Promise<VmAnswer<VmReport>>
  dispose (): void
}

/** Opens clients. @public */
export interface VmClients {
  open (entry: VmEntry): VmClient
}
