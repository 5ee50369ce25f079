/**
 * Tracks the owner of a shard, suspects it if its heartbeats stop or it cannot reach the store, and takes the shard over.
 */
import type { Subscription } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { OwnershipProof } from '@vanillathread/policy'
import { StoreFailureKind } from '@vanillathread/ports'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import { shardOptions, watchOptions } from './jobOptions.js'
import { OwnerHeartbeats } from './OwnerHeartbeats.js'
import { OwnerRecord, type KnownOwner, type VersionedOwner } from './OwnerRecord.js'
import { OwnerWatch } from './OwnerWatch.js'
import { readMoment } from './OwnershipProver.js'
import type { ReportedPeer } from './RelayedRowStore.js'
import { RelayedVmClients } from './RelayedVmClients.js'
import { ReleaseNotices, type FinishedOwner } from './ReleaseNotices.js'
import type { OwnerRow } from './rows.js'
import { ShardOwner } from './ShardOwner.js'
import type { ShardOwnershipOptions } from './ShardOwnerContext.js'
import { ShardReleaser } from './ShardReleaser.js'
import { Succession, type OwnerTerm } from './Succession.js'
import { TakeoverReason } from './TakeoverReason.js'

/** A daemon's knowledge of a shard's owner, and its own ownership if it has taken the shard over. */
export class ShardOwnership {
  /** Newest owner row known, from the store or from a heartbeat. */
  private row: VersionedOwner | undefined
  /** True if this daemon may decide on a takeover by `row`; otherwise, the row must be read from the store first. */
  private rowCurrent = false
  /** This daemon's ownership, if it owns the shard. */
  private localOwner: ShardOwner | undefined
  private readonly watch: OwnerWatch
  private readonly record: OwnerRecord
  private readonly succession: Succession
  private readonly notices: ReleaseNotices
  private readonly releaser: ShardReleaser
  /** Clients through which this daemon calls VMs while it owns the shard. */
  private readonly vmClients: RelayedVmClients
  /** True while a check of the ownership is in progress. */
  private busy = false
  private stopping = false
  private readonly heartbeats: OwnerHeartbeats
  private readonly subscriptions: readonly Subscription[]

  private constructor (private readonly options: ShardOwnershipOptions) {
    const { network, context } = options
    this.watch = OwnerWatch.create(context.timers)
    this.record = OwnerRecord.create({ ...options, rows: context.rows })
    this.succession = Succession.create({ shard: options.shard, settings: context.settings, timers: context.timers, members: options.members })
    this.notices = ReleaseNotices.create({ ...options, timers: context.timers, log: context.log })
    this.releaser = ShardReleaser.create({ ...options, record: this.record, notices: this.notices, chooseSuccessor: () => this.succession.chooseSuccessor(this.knownFencingToken) })
    this.vmClients = RelayedVmClients.create({
      owner: context.settings.name, direct: context.vms, network, timers: context.timers, log: context.log, getRelays: () => this.succession.relays,
    })
    network.on(PeerMessageKind.ShardHeartbeat, (message, reply) => {
      this.applyHeartbeat(message)
      // A daemon that does not answer is not chosen as the successor.
      if (this.stopping) return
      reply({ kind: PeerMessageKind.ShardHeartbeatAck, name: this.name, shard: options.shard, fencingToken: this.knownFencingToken, storeSilentMs: Math.round(context.rows.getTimeSinceAnswerMs()) })
    })
    network.on(PeerMessageKind.ShardReleased, (message) => this.applyNotice(message))
    this.heartbeats = OwnerHeartbeats.create({
      ...options,
      record: this.record,
      succession: this.succession,
      getOwner: () => this.localOwner,
      getOwnerTerm: () => this.ownerTerm,
      onSuperseded: (reason) => this.stepDown(reason),
    })
    this.subscriptions = [
      context.timers.every(shardOptions.ownershipCheckPeriodMs, () => { this.checkOwnership() }),
      context.timers.every(watchOptions.memberPeriodMs, () => { if (this.localOwner !== undefined) options.members.removeSilent(this.localOwner.ageMs) }),
    ]
  }

  static create (options: ShardOwnershipOptions): ShardOwnership {
    return new ShardOwnership(options)
  }

  /** This daemon's ownership, or undefined if it does not own the shard. */
  get owner (): ShardOwner | undefined {
    return this.localOwner
  }

  /** The owner if it is another daemon, otherwise undefined. */
  get remoteOwner (): KnownOwner | undefined {
    if (this.localOwner !== undefined || this.row === undefined || this.row.value.owner === '') return undefined
    const { owner, host, port } = this.row.value
    return owner === this.name ? undefined : { name: owner, address: { host, port }, fencingToken: this.row.version }
  }

  /** Time at which the store last answered the owner, if that is another daemon, as its heartbeats report; -Infinity if none has. */
  get ownerStoreAnswerAtMs (): number {
    return this.watch.ownerStoreAnswerAtMs
  }

  /** Returns the daemons that may make calls to the store for this one, or undefined unless it owns the shard or is releasing it. */
  listStorePeers (): readonly ReportedPeer[] | undefined {
    return this.localOwner === undefined && !this.releaser.isActive ? undefined : this.succession.listStorePeers()
  }

  /** Hands the shard over if this daemon owns it, and prevents further takeovers. */
  async stop (limitMs: number): Promise<void> {
    this.stopping = true
    const { localOwner } = this
    if (localOwner !== undefined) await this.handOver(localOwner, limitMs)
    this.dispose()
  }

  dispose (): void {
    this.stopping = true
    for (const subscription of this.subscriptions) subscription.dispose()
    this.heartbeats.dispose()
    this.localOwner?.dispose()
    this.vmClients.dispose()
  }

  private get name (): string {
    return this.options.context.settings.name
  }

  private get knownFencingToken (): number {
    return this.row?.version ?? 0
  }

  private get ownerTerm (): OwnerTerm {
    return { owner: this.row?.value.owner, fencingToken: this.knownFencingToken }
  }

  private async checkOwnership (): Promise<void> {
    if (this.busy || this.stopping) return
    this.busy = true
    const check = this.localOwner === undefined ? this.checkKnownOwner() : this.handOverIfSlow(this.localOwner)
    await check.finally(() => { this.busy = false })
  }

  /**
   * Decides on a takeover: of a shard without an owner, of one that this daemon owned before a restart, or from a suspected
   * owner.
   */
  private async checkKnownOwner (): Promise<void> {
    if (!this.rowCurrent && !await this.readRow()) return
    const { watch, succession, ownerTerm } = this
    const owner = this.row?.value.owner ?? ''
    if (owner === this.name) return succession.isMuchFasterDaemonKnown() ? this.release(this.knownFencingToken) : this.takeOver(TakeoverReason.Restarted)
    if (owner === '') {
      if (watch.getVacantForMs() >= succession.getTakeoverDelayMs(ownerTerm)) await this.takeOver(TakeoverReason.NoOwner)
      return
    }
    watch.recordOccupied()
    const heartbeatsOverdue = watch.sinceHeartbeatMs > shardOptions.suspectAfterMs && watch.sinceHeartbeatMs > succession.getSuspectAfterMs(ownerTerm)
    if (!heartbeatsOverdue && !watch.isStoreOverdue()) watch.endSuspicion()
    else if (watch.beginCheck()) await this.checkSuspectedOwner(heartbeatsOverdue)
  }

  /**
   * Checks whether a suspected owner has failed, and takes the shard over if so.
   *
   * @param heartbeatsOverdue - True if the owner's heartbeats stopped, false if only the store does not answer it.
   */
  private async checkSuspectedOwner (heartbeatsOverdue: boolean): Promise<void> {
    const { watch, options: { shard, network, context } } = this
    const address = this.remoteOwner?.address
    if (watch.isNewSuspicion) {
      context.log.write(EventCode.OwnerDoubted, { shard, owner: this.row?.value.owner, silentMs: Math.round(watch.sinceHeartbeatMs), ownerStoreSilentMs: watch.ownerStoreSilentMs })
    }
    const suspectedToken = this.knownFencingToken
    const processGone = heartbeatsOverdue && address !== undefined && await network.isConnectionRefused(address, shardOptions.probeTimeoutMs)
    // A heartbeat of a new owner may have arrived during the probe of the former one.
    if (this.knownFencingToken !== suspectedToken) return
    if (processGone) return this.takeOver(TakeoverReason.ProcessGone)
    // The store heartbeat of the suspected owner says nothing about a new owner, which may not have written one yet.
    if (!await this.readRow() || this.knownFencingToken !== suspectedToken || this.row?.value.owner === '' || this.stopping) return
    const heartbeat = await this.record.readHeartbeat()
    // Another daemon may have taken over during the read; its heartbeat names a new token, but not the generation that belongs to it.
    if (this.knownFencingToken !== suspectedToken) return
    if (heartbeat !== undefined && watch.isStoreHeartbeatOverdue(heartbeat, this.succession.getSilentOwnerDelayMs(this.ownerTerm, heartbeat))) await this.takeOver(TakeoverReason.StoreUnreachable)
  }

  /** Takes the shard over by writing the owner row, on condition that it is still the known one. */
  private async takeOver (reason: TakeoverReason): Promise<void> {
    if (this.stopping) return
    const { context, context: { settings, log }, shard } = this.options
    const former = this.row?.value
    const generation = former === undefined ? 0 : former.generation + 1
    const value: OwnerRow = { owner: this.name, ...settings.peer, generation, leaseEndsKeptSince: former?.leaseEndsKeptSince ?? this.knownFencingToken }
    const proof = OwnershipProof.create({ provenAt: readMoment(context.timers), validMs: shardOptions.previousOwnerRenewalMs, refreshMs: shardOptions.proofRefreshMs, peersForMs: shardOptions.peerProofsForMs })
    const res = await this.record.takeOver(value, this.knownFencingToken)
    if (!res.ok) {
      // After a conflict or an unknown outcome, the row is read again, which shows whether the write was carried out.
      log.write(EventCode.StoreCallFailed, { call: 'take shard', shard, outcome: res.error.kind })
      this.rowCurrent &&= res.error.kind === StoreFailureKind.NotDone
      return
    }
    log.write(EventCode.ShardTaken, { shard, fencingToken: res.value.version, generation, former: former?.owner, reason })
    this.row = { value, version: res.value.version }
    if (this.stopping) return
    this.localOwner = ShardOwner.create({
      ...context,
      vms: this.vmClients,
      shard,
      generation,
      ownerRow: { ...this.record.key, version: res.value.version },
      previousOwnerRenewalMs: this.watch.getPreviousOwnerRenewalMs(reason),
      leaseEndsKeptSince: former?.leaseEndsKeptSince,
      previousLeasesEndAtMs: this.notices.getLeasesEndAtMs(former, context.rows.getStoreClockMs()),
      proof,
      requestProof: () => this.heartbeats.prove(),
      onSuperseded: (why) => this.stepDown(why),
    })
    this.heartbeats.send()
    this.localOwner.start()
  }

  /** Ends this daemon's ownership after another daemon has taken the shard over. */
  private stepDown (reason: string): void {
    const { localOwner } = this
    if (localOwner === undefined) return
    this.localOwner = undefined
    localOwner.dispose()
    this.rowCurrent = false
    this.watch.recordStepDown()
    this.options.context.log.write(EventCode.ShardLost, { shard: this.options.shard, fencingToken: localOwner.fencingToken, reason })
  }

  /** Releases the shard, after which the owner row is read again. */
  private async release (fencingToken: number, finished?: FinishedOwner): Promise<void> {
    await this.releaser.release(this.row?.value, fencingToken, finished)
    this.rowCurrent = false
  }

  /** Applies a notice of an owner that gives the shard up, which may come before the release is stored or after the next takeover. */
  private applyNotice (message: PeerMessageOf<PeerMessageKind.ShardReleased>): void {
    const { notices, localOwner } = this
    const { fencingToken, successor } = message
    notices.receive(message)
    // A takeover writes the generation after that of the former owner.
    localOwner?.scheduler.learnPreviousLeasesEnd(notices.getAnnouncedEndAtMs(localOwner.generation - 1))
    // A notice under the known token is about a release that is not stored yet, unless it names a successor.
    if (fencingToken > this.knownFencingToken || (fencingToken === this.knownFencingToken && successor !== undefined)) this.applyRelease(successor)
  }

  /** Takes a released shard over at once if its former owner named this daemon; others do so after their delay. */
  private async applyRelease (successor: string | undefined): Promise<void> {
    if (!await this.readRow() || successor !== this.name || this.busy || this.row?.value.owner !== '') return
    this.busy = true
    await this.takeOver(TakeoverReason.HandedOver).finally(() => { this.busy = false })
  }

  /** Reads the owner row from the store. Returns false if the store did not answer, or a newer owner is known meanwhile. */
  private async readRow (): Promise<boolean> {
    const stored = await this.record.read()
    if (stored === 'unavailable') return false
    // A heartbeat of a newer owner may have arrived during the read; its row is read next.
    if (stored !== undefined && stored.version < this.knownFencingToken) return false
    this.rowCurrent = true
    if (stored === undefined) return true
    this.watch.recordGeneration(stored.value.generation)
    if (stored.version > this.knownFencingToken) this.setKnownOwner(stored.value, stored.version)
    else this.row = stored
    return true
  }

  private applyHeartbeat (message: PeerMessageOf<PeerMessageKind.ShardHeartbeat>): void {
    if (message.shard !== this.options.shard || message.fencingToken < this.knownFencingToken) return
    if (message.fencingToken > this.knownFencingToken) {
      const generation = this.row?.value.generation ?? 0
      // A heartbeat lacks the generation, so the row is read from the store before this daemon takes over.
      this.setKnownOwner({ owner: message.owner, host: message.address.host, port: message.address.port, generation }, message.fencingToken)
      this.notices.forward(message.address)
      this.rowCurrent = false
    }
    this.watch.recordHeartbeat(message.storeSilentMs)
    this.watch.recordStoreReport(message.storeSilentMs)
  }

  private setKnownOwner (value: OwnerRow, version: number): void {
    this.row = { value, version }
    this.watch.recordNewOwner()
    this.options.context.log.write(EventCode.OwnerKnown, { shard: this.options.shard, owner: value.owner, fencingToken: version })
    if (this.localOwner !== undefined && this.localOwner.fencingToken < version) this.stepDown('another daemon owns the shard')
  }

  /** Hands the shard over if a much faster daemon answers heartbeats and reaches the store. */
  private async handOverIfSlow (localOwner: ShardOwner): Promise<void> {
    const { settings, log } = this.options.context
    if (localOwner.ageMs < shardOptions.handOverAfterMs || !this.succession.isMuchFasterDaemonAnswering()) return
    log.write(EventCode.ShardHandedOver, { shard: this.options.shard, fencingToken: localOwner.fencingToken, speed: settings.speed, reason: 'a much faster daemon is available' })
    await this.handOver(localOwner, shardOptions.handOverLimitMs)
  }

  /** Ends this daemon's ownership and releases the shard, unless the ownership ended meanwhile. */
  private async handOver (localOwner: ShardOwner, limitMs: number): Promise<void> {
    await localOwner.finish(limitMs)
    if (this.localOwner !== localOwner) return
    this.localOwner = undefined
    const { fencingToken, generation } = localOwner
    await this.release(fencingToken, { fencingToken, generation, leasesEndMs: localOwner.getLeasesEndMs() })
  }
}
