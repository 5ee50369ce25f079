/**
 * Keeps an owner that may have been superseded from granting leases, starting tasks and taking leases for expired that its successor may have extended.
 */
import type { VmRegistry } from '../vms/VmRegistry.js'
import type { Moment, OwnershipProof } from './OwnershipProof.js'

/** Options of {@link OwnershipGate.create}. */
export interface OwnershipGateOptions {
  readonly registry: VmRegistry
  /** Proofs of the ownership; without them, the owner counts as the only one that there can be. */
  readonly proof?: OwnershipProof
}

/** Applies an owner's proofs to its decisions. */
export class OwnershipGate {
  /** True if a lease has expired by this owner's clock, and a proof of its ownership since then is missing. */
  private expiryUnproven = false

  private constructor (private readonly options: OwnershipGateOptions) {}

  static create (options: OwnershipGateOptions): OwnershipGate {
    return new OwnershipGate(options)
  }

  /** True if a decision waits for a proof that is not older than now. */
  get isProofWanted (): boolean {
    return this.expiryUnproven
  }

  /** Returns true if the owner may grant leases and start tasks. */
  mayAct (now: Moment): boolean {
    return this.options.proof?.mayAct(now) ?? true
  }

  /** Handles the leases that had expired when the ownership was last proven: a successor may have extended any other. */
  handleExpiredLeases (nowMs: number): void {
    const { registry, proof } = this.options
    this.expiryUnproven = registry.handleExpiredLeases(nowMs, proof?.provenAtMs ?? nowMs)
  }
}
