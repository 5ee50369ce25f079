/**
 * Seeks proofs of an owner's ownership from the other daemons while the store does not answer, answers such questions of other owners, and logs
 * since when an owner has had no proof.
 */
import type { Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { SLOW_CLOCK_FACTOR, type Moment } from '@vanillathread/policy'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport, Reply } from '../peer/PeerTransport.js'
import { shardOptions } from './jobOptions.js'
import type { MemberDirectory } from './MemberDirectory.js'
import type { OwnerRecord } from './OwnerRecord.js'
import type { ShardOwner } from './ShardOwner.js'
import type { ShardOwnerContext } from './ShardOwnerContext.js'
import type { OwnerTerm } from './Succession.js'

/** Options of {@link OwnershipProver.create}. */
export interface OwnershipProverOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: MemberDirectory
  readonly record: OwnerRecord
  /** Returns this daemon's ownership, or undefined if it does not own the shard. */
  getOwner (): ShardOwner | undefined
  getOwnerTerm (): OwnerTerm
}

/** Number of rounds whose answers still count; older ones would prove too little. */
const KEPT_ROUNDS = 4

/** Reads both clocks of a daemon. */
export function readMoment (timers: TimerService): Moment {
  return { nowMs: timers.now(), wallClockMs: timers.wallClock() }
}

/** Watches the age of the proofs while this daemon owns the shard, and asks the other daemons if it is too high. */
export class OwnershipProver {
  private readonly subscription: Subscription
  /** The owner that has no proof, and the time of its last one. */
  private unproven: { readonly owner: ShardOwner, readonly provenAtMs: number } | undefined
  /** Moments at which the last rounds began, by number. */
  private readonly rounds = new Map<number, Moment>()
  private lastRound = 0
  /** Times until which other daemons are known not to have taken over, by name. */
  private readonly contacts = new Map<string, number>()
  private readonly startedAtMs: number

  private constructor (private readonly options: OwnershipProverOptions) {
    const { context, network } = options
    this.startedAtMs = context.timers.now()
    network.on(PeerMessageKind.ShardClaim, (message, reply) => this.answer(message, reply))
    network.on(PeerMessageKind.ShardClaimAck, (message) => this.applyAnswer(message))
    this.subscription = context.timers.every(shardOptions.proofCheckPeriodMs, () => this.check())
  }

  static create (options: OwnershipProverOptions): OwnershipProver {
    return new OwnershipProver(options)
  }

  dispose (): void {
    this.subscription.dispose()
  }

  /** Records an answer to a heartbeat. It says nothing of an earlier life of the daemon's process, unless the ownership is proven otherwise. */
  recordContact (name: string): void {
    const { context: { timers }, getOwner } = this.options
    const now = readMoment(timers)
    if (getOwner()?.proof.isRefreshDue(now) === false || this.isContinuous(name, now.nowMs)) this.contacts.set(name, now.nowMs)
  }

  private check (): void {
    const { context, getOwner } = this.options
    const owner = getOwner()
    if (this.unproven !== undefined && this.unproven.owner !== owner) this.unproven = undefined
    if (owner === undefined) return
    const now = readMoment(context.timers)
    this.logChange(owner, now)
    const lastRoundAgoMs = now.nowMs - (this.rounds.get(this.lastRound)?.nowMs ?? -Infinity)
    if (owner.proof.isRefreshDue(now) && lastRoundAgoMs >= shardOptions.claimPeriodMs) this.beginRound(owner, now)
  }

  /** Asks all other daemons, and checks whether the processes of those that have not answered for a short time have ended. */
  private beginRound (owner: ShardOwner, now: Moment): void {
    const { shard, context, network, members: { others } } = this.options
    this.lastRound += 1
    this.rounds.set(this.lastRound, now)
    this.rounds.delete(this.lastRound - KEPT_ROUNDS)
    if (others.length === 0) this.recordPeer(owner, context.settings.name, now)
    for (const { name, address } of others) {
      network.sendExpectingReply(address, { kind: PeerMessageKind.ShardClaim, shard, fencingToken: owner.fencingToken, seq: this.lastRound })
      if (now.nowMs - (this.contacts.get(name) ?? -Infinity) >= shardOptions.claimPeriodMs) this.checkProcess(owner, name, address, now)
    }
  }

  private async checkProcess (owner: ShardOwner, name: string, address: Address, now: Moment): Promise<void> {
    if (!await this.options.network.isConnectionRefused(address, shardOptions.probeTimeoutMs)) return
    if (this.isContinuous(name, now.nowMs)) this.recordPeer(owner, name, now)
  }

  /**
   * Returns true if a daemon was known not to have taken over so short a time ago that it cannot have done so and lost its memory since: an
   * owner is taken over from only once its store heartbeat is older.
   */
  private isContinuous (name: string, nowMs: number): boolean {
    return nowMs - (this.contacts.get(name) ?? -Infinity) <= shardOptions.storeHeartbeatTimeoutMs
  }

  /** Answers the owner unless a newer one is known here, or this daemon may have taken over itself. */
  private answer ({ shard, fencingToken, seq }: PeerMessageOf<PeerMessageKind.ShardClaim>, reply: Reply): void {
    const { record, context, getOwnerTerm } = this.options
    if (shard !== this.options.shard || fencingToken < getOwnerTerm().fencingToken || record.mayHaveTakenOver(fencingToken)) return
    reply({ kind: PeerMessageKind.ShardClaimAck, shard, name: context.settings.name, seq, remembers: this.remembers() })
  }

  /** Returns true if nothing that this daemon did as an owner before its last start, such as a lease, has an effect any more. */
  private remembers (): boolean {
    const { context: { timers, settings } } = this.options
    return timers.now() - this.startedAtMs >= shardOptions.previousOwnerRenewalMs + settings.maxLeaseMs * SLOW_CLOCK_FACTOR
  }

  private applyAnswer ({ shard, name, seq, remembers }: PeerMessageOf<PeerMessageKind.ShardClaimAck>): void {
    const owner = this.options.getOwner()
    const sentAt = this.rounds.get(seq)
    if (owner === undefined || shard !== this.options.shard || sentAt === undefined) return
    if (remembers || this.isContinuous(name, sentAt.nowMs)) this.recordPeer(owner, name, sentAt)
  }

  private recordPeer (owner: ShardOwner, name: string, moment: Moment): void {
    this.contacts.set(name, Math.max(moment.nowMs, this.contacts.get(name) ?? 0))
    owner.proof.recordPeer(name, moment, this.options.members.others.map((member) => member.name))
  }

  private logChange (owner: ShardOwner, now: Moment): void {
    const { shard, context: { log, rows } } = this.options
    const { proof, fencingToken } = owner
    if (this.unproven === undefined && !proof.mayAct(now)) {
      this.unproven = { owner, provenAtMs: proof.provenAtMs }
      log.write(EventCode.OwnershipUnproven, { shard, fencingToken, provenAgoMs: Math.round(proof.getAgeMs(now)), storeSilentMs: Math.round(rows.getTimeSinceAnswerMs()) })
    } else if (this.unproven !== undefined && proof.mayAct(now)) {
      log.write(EventCode.OwnershipProven, { shard, fencingToken, unprovenForMs: Math.round(proof.provenAtMs - this.unproven.provenAtMs) })
      this.unproven = undefined
    }
  }
}
