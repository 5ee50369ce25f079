/**
 * Notices of an owner that gives up a shard: they carry the remaining time of all leases, also while the store cannot record their end.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { shardOptions } from './jobOptions.js'
import type { MemberDirectory } from './MemberDirectory.js'
import type { OwnerRow } from './rows.js'

/** Options of {@link ReleaseNotices.create}. */
export interface ReleaseNoticesOptions {
  readonly shard: string
  readonly network: PeerTransport
  readonly members: MemberDirectory
  readonly timers: TimerService
  readonly log: EventLog
}

/** An owner that gives no leases any more. */
export interface FinishedOwner {
  readonly fencingToken: number
  readonly generation: number
  /** Time on this daemon's clock from which every lease of this owner and of previous ones has certainly expired. */
  readonly leasesEndMs: number
}

type ReleaseMessage = PeerMessageOf<PeerMessageKind.ShardReleased>

/** Sends the notices of this daemon and keeps the latest one of the others. */
export class ReleaseNotices {
  /** Generation of the owner that sent the latest notice, and the end of the leases on this daemon's clock. */
  private received: { readonly generation: number, readonly leasesEndAtMs: number } | undefined

  private constructor (private readonly options: ReleaseNoticesOptions) {}

  static create (options: ReleaseNoticesOptions): ReleaseNotices {
    return new ReleaseNotices(options)
  }

  /** Sends a notice now and periodically until disposed of, as a successor may start, or start again, while the release waits for the store. */
  repeat (owner: FinishedOwner): Subscription {
    this.send(owner, owner.fencingToken)
    return this.options.timers.every(shardOptions.releaseNoticePeriodMs, () => this.send(owner, owner.fencingToken))
  }

  /**
   * Sends a notice to all daemons.
   *
   * @param owner - the owner that gave the shard up, or undefined if no leases were given under the last owner row.
   * @param fencingToken - version of the owner row: that of the released row once it is stored, that of the owner before.
   * @param successor - the daemon that is to take over at once.
   */
  send (owner: FinishedOwner | undefined, fencingToken: number, successor?: string): void {
    const { shard, network, members, timers } = this.options
    const leases = owner === undefined ? {} : { generation: owner.generation, leasesLeftMs: Math.max(0, Math.ceil(owner.leasesEndMs - timers.now())) }
    for (const { address } of members.others) network.send(address, { kind: PeerMessageKind.ShardReleased, shard, fencingToken, successor, ...leases })
  }

  /** Passes the latest notice on to a new owner, which may have started after it was sent. */
  forward (newOwner: Address): void {
    const { shard, network, timers } = this.options
    if (this.received === undefined) return
    const { generation, leasesEndAtMs } = this.received
    const leasesLeftMs = Math.max(0, Math.ceil(leasesEndAtMs - timers.now()))
    // The token 0 is below that of any owner row, so that the receiver does not look for a release.
    network.send(newOwner, { kind: PeerMessageKind.ShardReleased, shard, fencingToken: 0, generation, leasesLeftMs })
  }

  /** Applies a notice. The remaining time counts from its receipt, so a late notice gives a later end, never an earlier one. */
  receive ({ shard, generation, leasesLeftMs }: ReleaseMessage): void {
    if (shard !== this.options.shard || generation === undefined || leasesLeftMs === undefined) return
    const leasesEndAtMs = this.options.timers.now() + leasesLeftMs
    const known = this.received
    if (known !== undefined && generation < known.generation) return
    if (known?.generation === generation) {
      this.received = { generation, leasesEndAtMs: Math.min(known.leasesEndAtMs, leasesEndAtMs) }
      return
    }
    this.received = { generation, leasesEndAtMs }
    this.options.log.write(EventCode.LeaseEndAnnounced, { shard, generation, leasesLeftMs })
  }

  /**
   * Returns the time on this daemon's clock from which all leases have expired, if the released row holds it or the owner that gave
   * the shard up has announced it; the earlier one if both are known. Each takeover writes a higher generation, so a notice of the
   * row's generation shows that no daemon has owned the shard since.
   *
   * @param storeNowMs - the store's clock, or less.
   */
  getLeasesEndAtMs (row: OwnerRow | undefined, storeNowMs: number): number | undefined {
    const recordedMs = row?.owner === '' && row.leasesEndMs !== undefined ? this.options.timers.now() + row.leasesEndMs - storeNowMs : Infinity
    const announcedMs = row === undefined ? Infinity : this.getAnnouncedEndAtMs(row.generation)
    const endAtMs = Math.min(recordedMs, announcedMs)
    return endAtMs === Infinity ? undefined : endAtMs
  }

  /** Returns the time on this daemon's clock from which the leases of an owner and of previous ones have expired by its notice, or infinity without one. */
  getAnnouncedEndAtMs (generation: number): number {
    return this.received?.generation === generation ? this.received.leasesEndAtMs : Infinity
  }
}
