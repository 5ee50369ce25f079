/**
 * What an owner knows of its own ownership: the latest time at which certainly no other daemon had acted as its successor.
 *
 * It answers partitions and outages of the store. An owner that is cut off from the store and from its successor gets no sign of being superseded, so it
 * may act only for as long as its successors wait for it. A proof is a transaction that the store has carried out on condition of the owner row. While
 * the store answers no daemon, the statements of all other daemons that they have not taken over are one too. That all VMs answer the owner is none: a
 * successor may have got machines whose VMs the owner does not know.
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
  /** Age of a proof, below `validMs`, from which the other daemons are asked for a new one. */
  readonly refreshMs: number
  /** Time after the last proof from the store for which the other daemons may prove the ownership: one that the owner does not know waits that long. */
  readonly peersForMs: number
}

/** Proofs of one owner's ownership. @public */
export class OwnershipProof {
  private provenAt: Moment
  /** Moment of the last proof from the store. */
  private storeProvenAt: Moment
  /** Latest moments at which other daemons had certainly not taken the shard over, by name. */
  private readonly peers = new Map<string, Moment>()

  private constructor (private readonly options: OwnershipProofOptions) {
    this.provenAt = options.provenAt
    this.storeProvenAt = options.provenAt
  }

  static create (options: OwnershipProofOptions): OwnershipProof {
    return new OwnershipProof(options)
  }

  /** Time on the steady clock at which certainly no other daemon acted as the owner. */
  get provenAtMs (): number {
    return this.provenAt.nowMs
  }

  /** Records that the shard had no other owner at a given moment, as a transaction sent then was carried out on condition of the owner row. */
  record (moment: Moment): void {
    this.storeProvenAt = getLater(this.storeProvenAt, moment)
    this.provenAt = getLater(this.provenAt, moment)
  }

  /**
   * Records that a daemon had not taken the shard over at a given moment: it said so, or its process had ended.
   *
   * @param peers - names of all other daemons that are known now. It is a proof once each of them had not taken over.
   */
  recordPeer (name: string, moment: Moment, peers: readonly string[]): void {
    this.peers.set(name, moment)
    let earliest = moment
    for (const peer of peers) {
      const known = this.peers.get(peer)
      if (known === undefined) return
      if (known.nowMs < earliest.nowMs) earliest = known
    }
    if (earliest.nowMs - this.storeProvenAt.nowMs <= this.options.peersForMs) this.provenAt = getLater(this.provenAt, earliest)
  }

  /** Time since the last proof, in milliseconds: that of the wall clock if the daemon's VM was suspended meanwhile. */
  getAgeMs (now: Moment): number {
    return Math.max(now.nowMs - this.provenAt.nowMs, now.wallClockMs - this.provenAt.wallClockMs)
  }

  /** Returns true if the other daemons are to be asked for a new proof. */
  isRefreshDue (now: Moment): boolean {
    return this.getAgeMs(now) >= this.options.refreshMs
  }

  /** Returns true if the owner may grant leases and start tasks: no successor can rely on its silence yet. */
  mayAct (now: Moment): boolean {
    return this.getAgeMs(now) <= this.options.validMs
  }
}

function getLater (a: Moment, b: Moment): Moment {
  return b.nowMs > a.nowMs ? b : a
}
