/**
 * What an owner knows of its own ownership: the latest time at which certainly no other daemon had taken its shard over.
 *
 * It answers partitions: an owner that is cut off from the store and from its successor hears of neither.
 */

/** Readings of a daemon's clocks at one moment, in milliseconds. @public */
export interface Moment {
  /** The steady clock. It does not count the time for which the daemon's VM is suspended. */
  readonly nowMs: number
  /** Milliseconds since 1970. */
  readonly wallClockMs: number
}

/** Options of {@link OwnershipProof.create}. @public */
export interface OwnershipProofOptions {
  /** Moment before the takeover was sent to the store. */
  readonly provenAt: Moment
  /** Time after a proof for which the owner may act: its successors wait that long, from their takeover, for what it still does. */
  readonly validMs: number
}

/** Proofs of one owner's ownership. @public */
export class OwnershipProof {
  private provenAt: Moment

  private constructor (private readonly validMs: number, provenAt: Moment) {
    this.provenAt = provenAt
  }

  static create ({ provenAt, validMs }: OwnershipProofOptions): OwnershipProof {
    return new OwnershipProof(validMs, provenAt)
  }

  /** Time on the steady clock at which certainly no other daemon had taken the shard over. */
  get provenAtMs (): number {
    return this.provenAt.nowMs
  }

  /** Records that the store has carried out a transaction that was sent at a given moment and is conditional on the owner row. */
  recordStoreAnswer (sentAt: Moment): void {
    this.extend(sentAt)
  }

  /** Time since the last proof, in milliseconds: that of the wall clock if the daemon's VM was suspended meanwhile. */
  getAgeMs (now: Moment): number {
    return Math.max(now.nowMs - this.provenAt.nowMs, now.wallClockMs - this.provenAt.wallClockMs)
  }

  /** Returns true if the owner may grant leases and start tasks: no successor has certainly had the time to rely on its silence. */
  mayAct (now: Moment): boolean {
    return this.getAgeMs(now) <= this.validMs
  }

  private extend (moment: Moment): void {
    if (moment.nowMs > this.provenAt.nowMs) this.provenAt = moment
  }
}
