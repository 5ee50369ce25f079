/**
 * Tracks the owner of a shard, suspects it if its heartbeats stop or it cannot reach the store, and takes the shard over.
 */
import type { Subscription } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { rankSuccessors, shouldHandOver, type OwnerCandidate } from '@vanillathread/policy'
import { StoreFailureKind, type RowPut } from '@vanillathread/ports'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { relayOptions, shardOptions } from './jobOptions.js'
import type { MemberDirectory } from './MemberDirectory.js'
import { decodeStoreHeartbeatRow, decodeOwnerRow, encodeRow, Table, type OwnerRow } from './rows.js'
import { RelayedVmClients, type Relay } from './RelayedVmClients.js'
import { ShardOwner, type ShardOwnerContext } from './ShardOwner.js'

/** Options of {@link ShardOwnership.create}. */
export interface ShardOwnershipOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: MemberDirectory
}

/** The owner known to this daemon. */
export interface KnownOwner {
  readonly name: string
  readonly address: Address
  readonly fencingToken: number
}

/** A daemon's knowledge of a shard's owner, and its own ownership if it has taken the shard over. */
export class ShardOwnership {
  /** Newest owner row known, from the store or from a heartbeat. */
  private row: { readonly value: OwnerRow, readonly version: number } | undefined
  /** True if this daemon may decide on a takeover by `row`; otherwise, the row must be read from the store first. */
  private rowCurrent = false
  /** This daemon's ownership, if it owns the shard. */
  private localOwner: ShardOwner | undefined
  /**
   * Time of the owner's last heartbeat, or the time at which this daemon started, learned of the owner or stepped down,
   * whichever is latest.
   */
  private ownerHeartbeatAtMs: number
  /** Time for which the store had not answered the owner, as of its last heartbeat. */
  private ownerStoreSilentMs = 0
  /** Time since which this daemon knows that the shard has no owner. */
  private vacantSinceMs: number | undefined
  /** Version of a suspected owner's store heartbeat, and the time at which it was first read. */
  private storeHeartbeat: { version: number, sinceMs: number } | undefined
  private suspectCheckedAtMs = 0
  private tookOverAtMs = 0
  /** Time at which this daemon learned of the current owner. */
  private ownerKnownSinceMs = -Infinity
  /** Times at which peers that can reach the store last answered a heartbeat, by name. */
  private readonly peerAckTimesMs = new Map<string, number>()
  /** Clients through which this daemon calls VMs while it owns the shard. */
  private readonly vmClients: RelayedVmClients
  /** Daemons that make this owner's calls to VMs, as of the last heartbeat. */
  private relays: readonly Relay[] = []
  /** Number of times at which heartbeats were sent. */
  private heartbeatCount = 0
  /** True while a check of the ownership is in progress. */
  private busy = false
  private stopping = false
  private readonly subscriptions: Subscription[]

  private constructor (private readonly options: ShardOwnershipOptions) {
    const { network, context } = options
    this.ownerHeartbeatAtMs = context.timers.now()
    this.vmClients = RelayedVmClients.create({
      owner: context.settings.name, direct: context.vms, network, timers: context.timers, log: context.log, getRelays: () => this.relays,
    })
    network.on(PeerMessageKind.ShardHeartbeat, (message, reply) => {
      this.applyHeartbeat(message)
      // A daemon that does not answer is not chosen as the successor.
      if (this.stopping) return
      reply({ kind: PeerMessageKind.ShardHeartbeatAck, name: this.name, shard: options.shard, fencingToken: this.knownFencingToken, storeSilentMs: Math.round(context.rows.getTimeSinceAnswerMs()) })
    })
    network.on(PeerMessageKind.ShardHeartbeatAck, ({ name, fencingToken, storeSilentMs }) => {
      if (storeSilentMs < shardOptions.ownerStoreSilentMs) this.peerAckTimesMs.set(name, context.timers.now())
      if (this.localOwner !== undefined && fencingToken > this.localOwner.fencingToken) this.stepDown('a peer knows a newer owner')
    })
    network.on(PeerMessageKind.ShardReleased, ({ fencingToken, successor }) => {
      if (fencingToken >= this.knownFencingToken) this.applyRelease(successor)
    })
    this.subscriptions = [
      context.timers.every(shardOptions.ownershipCheckPeriodMs, () => { this.checkOwnership() }),
      context.timers.every(shardOptions.heartbeatPeriodMs, () => this.sendHeartbeats()),
      context.timers.every(shardOptions.storeHeartbeatPeriodMs, () => { this.writeStoreHeartbeat() }),
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
    this.localOwner?.dispose()
    this.vmClients.dispose()
  }

  private get name (): string {
    return this.options.context.settings.name
  }

  private get knownFencingToken (): number {
    return this.row?.version ?? 0
  }

  private async checkOwnership (): Promise<void> {
    if (this.busy || this.stopping) return
    this.busy = true
    try {
      if (this.localOwner === undefined) await this.checkKnownOwner()
      else await this.handOverIfSlow(this.localOwner)
    } finally {
      this.busy = false
    }
  }

  /**
   * Decides on a takeover: of a shard without an owner, of one that this daemon owned before a restart, or from a suspected
   * owner.
   */
  private async checkKnownOwner (): Promise<void> {
    if (!this.rowCurrent && !await this.readRow()) return
    const nowMs = this.options.context.timers.now()
    const owner = this.row?.value.owner ?? ''
    if (owner === this.name) return this.isMuchSlower(this.options.members.candidates) ? this.release(this.knownFencingToken) : this.takeOver('this daemon held the shard before it restarted')
    if (owner === '') {
      this.vacantSinceMs ??= nowMs
      if (nowMs - this.vacantSinceMs >= this.getTakeoverDelayMs()) await this.takeOver('no owner')
      return
    }
    this.vacantSinceMs = undefined
    const sinceHeartbeatMs = nowMs - this.ownerHeartbeatAtMs
    const heartbeatsOverdue = sinceHeartbeatMs > shardOptions.suspectAfterMs && sinceHeartbeatMs > this.getSuspectAfterMs()
    if (!heartbeatsOverdue && this.ownerStoreSilentMs < shardOptions.ownerStoreSilentMs * this.timeoutFactor) {
      this.storeHeartbeat = undefined
      return
    }
    if (nowMs - this.suspectCheckedAtMs >= shardOptions.suspectCheckPeriodMs) await this.checkSuspectedOwner(heartbeatsOverdue, sinceHeartbeatMs)
  }

  /**
   * Checks whether a suspected owner has failed, and takes the shard over if so.
   *
   * @param heartbeatsOverdue - True if the owner's heartbeats stopped, false if only the store does not answer it.
   */
  private async checkSuspectedOwner (heartbeatsOverdue: boolean, sinceHeartbeatMs: number): Promise<void> {
    const { context } = this.options
    const { timers, log, rows } = context
    this.suspectCheckedAtMs = timers.now()
    const address = this.remoteOwner?.address
    if (this.storeHeartbeat === undefined) {
      log.write(EventCode.OwnerDoubted, { shard: this.options.shard, owner: this.row?.value.owner, silentMs: Math.round(sinceHeartbeatMs), ownerStoreSilentMs: this.ownerStoreSilentMs })
    }
    if (heartbeatsOverdue && address !== undefined && await this.options.network.isConnectionRefused(address, shardOptions.probeTimeoutMs)) return this.takeOver('owner process is gone')
    const suspectedToken = this.knownFencingToken
    // The store heartbeat of the suspected owner says nothing about a new owner, which may not have written one yet.
    if (!await this.readRow() || this.knownFencingToken !== suspectedToken || this.row?.value.owner === '' || this.stopping) return
    const res = await rows.readRange({ table: Table.StoreHeartbeats, part: this.options.shard })
    if (!res.ok) return
    const row = res.value.rows[0]
    const nowMs = timers.now()
    // The row holds the store's clock at its write, so a single read shows the heartbeat's age.
    const ageMs = rows.getStoreClockMs() - ((row === undefined ? undefined : decodeStoreHeartbeatRow(row.value)) ?? 0)
    this.storeHeartbeat ??= { version: row?.version ?? 0, sinceMs: nowMs }
    if (this.storeHeartbeat.version !== (row?.version ?? 0)) this.storeHeartbeat = { version: row?.version ?? 0, sinceMs: nowMs }
    if (Math.max(ageMs, nowMs - this.storeHeartbeat.sinceMs) >= shardOptions.storeHeartbeatTimeoutMs * this.timeoutFactor + this.getTakeoverDelayMs()) await this.takeOver('owner does not reach the store')
  }

  /** Takes the shard over by writing the owner row, on condition that it is still the known one. */
  private async takeOver (reason: string): Promise<void> {
    if (this.stopping) return
    const { context, shard } = this.options
    const { settings, log, rows } = context
    const generation = this.row === undefined ? 0 : this.row.value.generation + 1
    const value: OwnerRow = { owner: this.name, host: settings.peer.host, port: settings.peer.port, generation }
    const key = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const former = this.row?.value.owner
    const res = await rows.transact({ conditions: [{ ...key, version: this.knownFencingToken }], puts: [{ ...key, value: encodeRow(value) }, this.createStoreHeartbeat()], removes: [] })
    if (!res.ok) {
      // After a conflict or an unknown outcome, the row is read again, which shows whether the write was carried out.
      log.write(EventCode.StoreCallFailed, { call: 'take shard', shard, outcome: res.error.kind })
      if (res.error.kind !== StoreFailureKind.NotDone) this.rowCurrent = false
      return
    }
    this.row = { value, version: res.value.version }
    this.tookOverAtMs = context.timers.now()
    log.write(EventCode.ShardTaken, { shard, fencingToken: res.value.version, generation, former, reason })
    if (this.stopping) return
    this.localOwner = ShardOwner.create({
      ...context,
      vms: this.vmClients,
      shard,
      generation,
      ownerRow: { ...key, version: res.value.version },
      onSuperseded: (why) => this.stepDown(why),
    })
    this.sendHeartbeats()
    this.localOwner.start()
  }

  /** Ends this daemon's ownership after another daemon has taken the shard over. */
  private stepDown (reason: string): void {
    const { localOwner } = this
    if (localOwner === undefined) return
    this.localOwner = undefined
    localOwner.dispose()
    this.rowCurrent = false
    this.ownerHeartbeatAtMs = this.options.context.timers.now()
    this.options.context.log.write(EventCode.ShardLost, { shard: this.options.shard, fencingToken: localOwner.fencingToken, reason })
  }

  /** Writes an owner row without an owner, so that other daemons can take over without suspecting this one first. */
  private async release (fencingToken: number): Promise<void> {
    const { context, shard, network, members } = this.options
    const generation = this.row?.value.generation ?? 0
    const key = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const value: OwnerRow = { owner: '', host: '', port: 0, generation }
    const res = await context.rows.transact({ conditions: [{ ...key, version: fencingToken }], puts: [{ ...key, value: encodeRow(value) }], removes: [] })
    this.rowCurrent = false
    context.log.write(EventCode.ShardReleased, { shard, fencingToken, outcome: res.ok ? 'done' : res.error.kind })
    if (!res.ok) return
    const successor = this.chooseSuccessor()
    for (const { address } of members.others) network.send(address, { kind: PeerMessageKind.ShardReleased, shard, fencingToken: res.value.version, successor })
  }

  /** Returns the first daemon in the order of succession that answered the last heartbeats and reaches the store. */
  private chooseSuccessor (): string | undefined {
    const answering = this.getAnsweringCandidates()
    return rankSuccessors(`${this.options.shard}/${this.knownFencingToken}`, answering)[0]
  }

  /** Takes a released shard over at once if its former owner named this daemon; others do so after their delay. */
  private async applyRelease (successor: string | undefined): Promise<void> {
    if (!await this.readRow() || successor !== this.name || this.busy || this.row?.value.owner !== '') return
    this.busy = true
    try {
      await this.takeOver('the former owner handed the shard over')
    } finally {
      this.busy = false
    }
  }

  /** Returns the other daemons that answered a heartbeat a short time ago and reach the store. */
  private getAnsweringCandidates (): OwnerCandidate[] {
    const nowMs = this.options.context.timers.now()
    return this.options.members.candidates.filter(({ name }) => name !== this.name && nowMs - (this.peerAckTimesMs.get(name) ?? -Infinity) < shardOptions.suspectAfterMs)
  }

  /** Reads the owner row from the store. Returns false if the store did not answer. */
  private async readRow (): Promise<boolean> {
    const { context, shard } = this.options
    const res = await context.rows.readRange({ table: Table.Shards, part: shard })
    if (!res.ok) return false
    const stored = res.value.rows.find((row) => row.key === OWNER_KEY)
    const value = stored === undefined ? undefined : decodeOwnerRow(stored.value)
    this.rowCurrent = true
    if (stored === undefined || value === undefined) return true
    if (stored.version > this.knownFencingToken) this.setKnownOwner(value, stored.version)
    else if (stored.version === this.knownFencingToken) this.row = { value, version: stored.version }
    return true
  }

  private applyHeartbeat (message: PeerMessageOf<PeerMessageKind.ShardHeartbeat>): void {
    if (message.shard !== this.options.shard || message.fencingToken < this.knownFencingToken) return
    if (message.fencingToken > this.knownFencingToken) {
      const generation = this.row?.value.generation ?? 0
      // A heartbeat lacks the generation, so the row is read from the store before this daemon takes over.
      this.setKnownOwner({ owner: message.owner, host: message.address.host, port: message.address.port, generation }, message.fencingToken)
      this.rowCurrent = false
    }
    this.ownerHeartbeatAtMs = this.options.context.timers.now()
    this.ownerStoreSilentMs = message.storeSilentMs
  }

  private setKnownOwner (value: OwnerRow, version: number): void {
    this.row = { value, version }
    this.ownerKnownSinceMs = this.options.context.timers.now()
    this.ownerHeartbeatAtMs = this.options.context.timers.now()
    this.ownerStoreSilentMs = 0
    this.storeHeartbeat = undefined
    this.vacantSinceMs = undefined
    this.options.context.log.write(EventCode.OwnerKnown, { shard: this.options.shard, owner: value.owner, fencingToken: version })
    if (this.localOwner !== undefined && this.localOwner.fencingToken < version) this.stepDown('another daemon owns the shard')
  }

  private sendHeartbeats (): void {
    const { context, network, members, shard } = this.options
    if (this.localOwner === undefined) return
    const message = {
      kind: PeerMessageKind.ShardHeartbeat,
      shard,
      owner: this.name,
      address: { ...context.settings.peer },
      fencingToken: this.localOwner.fencingToken,
      storeSilentMs: Math.round(context.rows.getTimeSinceAnswerMs()),
    } as const
    const near = new Set(this.listNearSuccessors(this.name))
    const isForAll = this.heartbeatCount++ % shardOptions.restHeartbeatInterval === 0
    for (const { name, address } of members.others) {
      if (isForAll || near.has(name)) network.sendExpectingReply(address, message)
    }
    this.relays = this.chooseRelays()
  }

  /** Returns the first daemons in the order of succession after an owner. */
  private listNearSuccessors (owner: string | undefined): string[] {
    return this.rankSuccessorsOf(owner).slice(0, shardOptions.nearSuccessors)
  }

  private rankSuccessorsOf (owner: string | undefined): string[] {
    return rankSuccessors(`${this.options.shard}/${this.knownFencingToken}`, this.options.members.candidates.filter(({ name }) => name !== owner))
  }

  /** Returns the daemons that make calls to VMs for this owner: fast ones that answer, if there are many VMs. */
  private chooseRelays (): Relay[] {
    if ((this.localOwner?.scheduler.state.vms.size ?? 0) < relayOptions.minVms) return []
    const answering = this.getAnsweringCandidates()
    const fastest = Math.max(...answering.map(({ speed }) => speed))
    const fast = answering.filter(({ speed }) => speed >= fastest / 2).map(({ name }) => name).sort()
    const addresses = new Map(this.options.members.others.map(({ name, address }) => [name, address]))
    return fast.slice(0, relayOptions.maxRelays).flatMap((name) => {
      const address = addresses.get(name)
      return address === undefined ? [] : [{ name, address }]
    })
  }

  /** Writes the store heartbeat, and steps down if the store shows another owner. */
  private async writeStoreHeartbeat (): Promise<void> {
    const { context, shard } = this.options
    const { localOwner } = this
    if (localOwner === undefined) return
    const ownerKey = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const res = await context.rows.transact({ conditions: [{ ...ownerKey, version: localOwner.fencingToken }], puts: [this.createStoreHeartbeat()], removes: [] })
    if (!res.ok && res.error.kind === StoreFailureKind.Conflict && this.localOwner === localOwner) this.stepDown('the store names another owner')
  }

  /**
   * Factor on the timeouts for reaching the store. It is higher for a new owner, as reading the whole shard may delay its
   * store heartbeats.
   */
  private get timeoutFactor (): number {
    return this.options.context.timers.now() - this.ownerKnownSinceMs < shardOptions.newOwnerMs ? shardOptions.newOwnerTimeoutFactor : 1
  }

  private createStoreHeartbeat (): RowPut {
    return { table: Table.StoreHeartbeats, part: this.options.shard, key: OWNER_KEY, value: encodeRow({ atMs: Math.round(this.options.context.rows.getStoreClockMs()) }) }
  }

  /** Hands the shard over if a much faster daemon answers heartbeats and reaches the store. */
  private async handOverIfSlow (localOwner: ShardOwner): Promise<void> {
    const { timers, settings, log } = this.options.context
    if (timers.now() - this.tookOverAtMs < shardOptions.handOverAfterMs || !this.isMuchSlower(this.getAnsweringCandidates())) return
    log.write(EventCode.ShardHandedOver, { shard: this.options.shard, fencingToken: localOwner.fencingToken, speed: settings.speed, reason: 'a much faster daemon is available' })
    await this.handOver(localOwner, shardOptions.handOverLimitMs)
  }

  /** Ends this daemon's ownership and releases the shard, unless the ownership ended meanwhile. */
  private async handOver (localOwner: ShardOwner, limitMs: number): Promise<void> {
    await localOwner.finish(limitMs)
    if (this.localOwner !== localOwner) return
    this.localOwner = undefined
    await this.release(localOwner.fencingToken)
  }

  private isMuchSlower (others: readonly OwnerCandidate[]): boolean {
    return shouldHandOver({ name: this.name, speed: this.options.context.settings.speed }, others)
  }

  /** Returns the time without a heartbeat after which this daemon suspects the owner; longer if it does not get all heartbeats. */
  private getSuspectAfterMs (): number {
    const missedMs = this.listNearSuccessors(this.row?.value.owner).includes(this.name) ? 0 : (shardOptions.restHeartbeatInterval - 1) * shardOptions.heartbeatPeriodMs
    return shardOptions.suspectAfterMs + this.getTakeoverDelayMs() + 3 * missedMs
  }

  /**
   * Returns the delay before this daemon tries to take over. Daemons try one after another, fast ones first, in an order
   * that depends on the fencing token.
   */
  private getTakeoverDelayMs (): number {
    return Math.max(0, this.rankSuccessorsOf(this.row?.value.owner).indexOf(this.name)) * shardOptions.takeoverRankDelayMs
  }
}

/** Key of a shard's owner row and of its store heartbeat. */
const OWNER_KEY = 'owner'
