/**
 * Heartbeats of a shard's owner: to other daemons, which suspect it without them, and to the store, which prove that it reaches the store.
 */
import type { Subscription } from '@vanillathread/kernel'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { shardOptions } from './jobOptions.js'
import type { MemberDirectory } from './MemberDirectory.js'
import type { OwnerRecord } from './OwnerRecord.js'
import { OwnershipProver, readMoment } from './OwnershipProver.js'
import type { ShardOwner } from './ShardOwner.js'
import type { ShardOwnerContext } from './ShardOwnerContext.js'
import type { OwnerTerm, Succession } from './Succession.js'

/** Options of {@link OwnerHeartbeats.create}. */
export interface OwnerHeartbeatsOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: MemberDirectory
  readonly record: OwnerRecord
  readonly succession: Succession
  /** Returns this daemon's ownership, or undefined if it does not own the shard. */
  getOwner (): ShardOwner | undefined
  getOwnerTerm (): OwnerTerm
  /** Called if the store or another daemon shows another owner than this daemon. */
  onSuperseded (reason: string): void
}

/** Sends heartbeats while this daemon owns the shard. */
export class OwnerHeartbeats {
  private readonly subscriptions: readonly Subscription[]
  private readonly prover: OwnershipProver
  /** Number of store heartbeats under way. */
  private writes = 0
  /** Time at which the last store heartbeat was sent. */
  private writtenAtMs = -Infinity

  private constructor (private readonly options: OwnerHeartbeatsOptions) {
    const { context: { timers }, network } = options
    network.on(PeerMessageKind.ShardHeartbeatAck, (message) => this.applyAnswer(message))
    this.prover = OwnershipProver.create(options)
    this.subscriptions = [
      timers.every(shardOptions.heartbeatPeriodMs, () => this.send()),
      timers.every(shardOptions.storeHeartbeatPeriodMs, () => { this.writeToStore() }),
    ]
  }

  static create (options: OwnerHeartbeatsOptions): OwnerHeartbeats {
    return new OwnerHeartbeats(options)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
    this.prover.dispose()
  }

  /** Sends the next heartbeats to other daemons now. */
  send (): void {
    const { context, network, shard, succession, getOwner, getOwnerTerm } = this.options
    const owner = getOwner()
    if (owner === undefined) return
    const message = {
      kind: PeerMessageKind.ShardHeartbeat,
      shard,
      owner: context.settings.name,
      address: { ...context.settings.peer },
      fencingToken: owner.fencingToken,
      storeSilentMs: Math.round(context.rows.getTimeSinceAnswerMs()),
    } as const
    for (const address of succession.listNextHeartbeatTargets(getOwnerTerm())) network.sendExpectingReply(address, message)
    succession.updateRelays(owner.scheduler.state.vms.size)
  }

  /** Writes a store heartbeat now, unless one is under way or was just written: its success proves the ownership. */
  prove (): void {
    if (this.writes === 0 && this.options.context.timers.now() - this.writtenAtMs >= shardOptions.proofRetryMs) this.writeToStore()
  }

  private applyAnswer ({ name, fencingToken, storeSilentMs }: PeerMessageOf<PeerMessageKind.ShardHeartbeatAck>): void {
    const { members, succession, getOwner, onSuperseded } = this.options
    members.recordAnswer(name)
    if (fencingToken <= (getOwner()?.fencingToken ?? -Infinity)) this.prover.recordContact(name)
    succession.recordStoreReport(name, storeSilentMs)
    if (storeSilentMs < shardOptions.ownerStoreSilentMs) succession.recordAnswer(name)
    if (fencingToken > (getOwner()?.fencingToken ?? Infinity)) onSuperseded('a peer knows a newer owner')
  }

  private async writeToStore (): Promise<void> {
    const { context: { timers }, record, getOwner, onSuperseded } = this.options
    const owner = getOwner()
    if (owner === undefined) return
    const sentAt = readMoment(timers)
    this.writes += 1
    this.writtenAtMs = sentAt.nowMs
    const outcome = await record.writeHeartbeat(owner.fencingToken).finally(() => { this.writes -= 1 })
    if (outcome === 'written') owner.proof.record(sentAt)
    else if (outcome === 'superseded' && getOwner() === owner) onSuperseded('the store names another owner')
  }
}
