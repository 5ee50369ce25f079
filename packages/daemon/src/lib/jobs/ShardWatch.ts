/**
 * Knows the owner of a shard, doubts it where it falls silent, and takes the shard over.
 */
import type { Subscription } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { rankSuccessors, shouldHandOver, type OwnerCandidate } from '@vanillathread/policy'
import { StoreFailureKind, type RowPut } from '@vanillathread/ports'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { shardOptions } from './jobOptions.js'
import type { Members } from './Members.js'
import { decodeBeatRow, decodeOwnerRow, encodeRow, Table, type OwnerRow } from './rows.js'
import { ShardOwner, type ShardOwnerContext } from './ShardOwner.js'

/** Options of {@link ShardWatch.create}. */
export interface ShardWatchOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly network: PeerTransport
  readonly members: Members
}

/** The owner as far as this daemon knows. */
export interface KnownOwner {
  readonly name: string
  readonly address: Address
  readonly fencingToken: number
}

/** One shard as seen by one daemon. */
export class ShardWatch {
  private row: { readonly value: OwnerRow, readonly version: number } | undefined
  private rowRead = false
  private owned: ShardOwner | undefined
  private heardAtMs: number
  private ownerStoreSilentMs = 0
  private vacantSinceMs: number | undefined
  private storeBeat: { version: number, sinceMs: number } | undefined
  private lastLookMs = 0
  private takenAtMs = 0
  /** Time at which the owner of now was first known. */
  private ownerSinceMs = -Infinity
  /** Times at which peers that reach the store last answered a beat. */
  private readonly heardPeers = new Map<string, number>()
  private busy = false
  private stopping = false
  private readonly subscriptions: Subscription[]

  private constructor (private readonly options: ShardWatchOptions) {
    const { network, context } = options
    this.heardAtMs = context.timers.now()
    network.on(PeerMessageKind.ShardBeat, (message, reply) => {
      this.applyBeat(message)
      reply({ kind: PeerMessageKind.ShardBeatAck, name: this.name, shard: options.shard, fencingToken: this.knownToken, storeSilentMs: Math.round(context.rows.silentForMs()) })
    })
    network.on(PeerMessageKind.ShardBeatAck, ({ name, fencingToken, storeSilentMs }) => {
      if (storeSilentMs < shardOptions.ownerStoreSilentMs) this.heardPeers.set(name, context.timers.now())
      if (this.owned !== undefined && fencingToken > this.owned.fencingToken) this.stepDown('a peer knows a newer owner')
    })
    network.on(PeerMessageKind.ShardReleased, ({ fencingToken }) => {
      if (fencingToken >= this.knownToken) this.readRow()
    })
    this.subscriptions = [
      context.timers.every(shardOptions.watchPeriodMs, () => { this.watch() }),
      context.timers.every(shardOptions.beatPeriodMs, () => this.sendBeats()),
      context.timers.every(shardOptions.storeBeatPeriodMs, () => { this.writeStoreBeat() }),
    ]
  }

  static create (options: ShardWatchOptions): ShardWatch {
    return new ShardWatch(options)
  }

  /** This daemon's ownership, where it holds the shard. */
  get owner (): ShardOwner | undefined {
    return this.owned
  }

  /** The owner where it is another daemon. */
  get remoteOwner (): KnownOwner | undefined {
    if (this.owned !== undefined || this.row === undefined || this.row.value.owner === '') return undefined
    const { owner, host, port } = this.row.value
    return owner === this.name ? undefined : { name: owner, address: { host, port }, fencingToken: this.row.version }
  }

  /** Hands the shard over where this daemon holds it, and takes none any more. */
  async stop (limitMs: number): Promise<void> {
    this.stopping = true
    const { owned } = this
    if (owned !== undefined) await this.handOver(owned, limitMs)
    this.dispose()
  }

  dispose (): void {
    this.stopping = true
    for (const subscription of this.subscriptions) subscription.dispose()
    this.owned?.dispose()
  }

  private get name (): string {
    return this.options.context.settings.name
  }

  private get knownToken (): number {
    return this.row?.version ?? 0
  }

  private async watch (): Promise<void> {
    if (this.busy || this.stopping) return
    this.busy = true
    try {
      if (this.owned === undefined) await this.decide()
      else await this.considerHandOver(this.owned)
    } finally {
      this.busy = false
    }
  }

  private async decide (): Promise<void> {
    if (!this.rowRead && !await this.readRow()) return
    const nowMs = this.options.context.timers.now()
    const owner = this.row?.value.owner ?? ''
    if (owner === this.name) return this.isSlow(this.options.members.candidates) ? this.release(this.knownToken) : this.take('this daemon held it before it started again')
    if (owner === '') {
      this.vacantSinceMs ??= nowMs
      if (nowMs - this.vacantSinceMs >= this.getRankDelayMs()) await this.take('no owner')
      return
    }
    this.vacantSinceMs = undefined
    const silentMs = nowMs - this.heardAtMs
    const doubted = silentMs > shardOptions.doubtAfterMs && silentMs > shardOptions.doubtAfterMs + this.getRankDelayMs()
    if (!doubted && this.ownerStoreSilentMs < shardOptions.ownerStoreSilentMs * this.patience) {
      this.storeBeat = undefined
      return
    }
    if (nowMs - this.lastLookMs >= shardOptions.lookPeriodMs) await this.look(doubted, silentMs)
  }

  /** Finds out whether a doubted owner is gone. */
  private async look (doubted: boolean, silentMs: number): Promise<void> {
    const { context } = this.options
    const { timers, log, rows } = context
    this.lastLookMs = timers.now()
    const address = this.remoteOwner?.address
    if (this.storeBeat === undefined) {
      log.write(EventCode.OwnerDoubted, { shard: this.options.shard, owner: this.row?.value.owner, silentMs: Math.round(silentMs), ownerStoreSilentMs: this.ownerStoreSilentMs })
    }
    if (doubted && address !== undefined && await this.options.network.isRefused(address, shardOptions.probeTimeoutMs)) return this.take('owner process is gone')
    const doubtedToken = this.knownToken
    // A new owner has written no proof yet, so the old proof says nothing about it.
    if (!await this.readRow() || this.knownToken !== doubtedToken || this.row?.value.owner === '' || this.stopping) return
    const res = await rows.readRange({ table: Table.Beats, part: this.options.shard })
    if (!res.ok) return
    const row = res.value.rows[0]
    const nowMs = timers.now()
    // The row holds the store's clock at its write, so one look tells how long it has stood still.
    const ageMs = rows.nowMs() - ((row === undefined ? undefined : decodeBeatRow(row.value)) ?? 0)
    this.storeBeat ??= { version: row?.version ?? 0, sinceMs: nowMs }
    if (this.storeBeat.version !== (row?.version ?? 0)) this.storeBeat = { version: row?.version ?? 0, sinceMs: nowMs }
    if (Math.max(ageMs, nowMs - this.storeBeat.sinceMs) >= shardOptions.standStillMs * this.patience + this.getRankDelayMs()) await this.take('owner does not reach the store')
  }

  private async take (reason: string): Promise<void> {
    if (this.stopping) return
    const { context, shard } = this.options
    const { settings, log, rows } = context
    const generation = this.row === undefined ? 0 : this.row.value.generation + 1
    const value: OwnerRow = { owner: this.name, host: settings.peer.host, port: settings.peer.port, generation }
    const key = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const former = this.row?.value.owner
    const res = await rows.transact({ conditions: [{ ...key, version: this.knownToken }], puts: [{ ...key, value: encodeRow(value) }, this.createBeat()], removes: [] })
    if (!res.ok) {
      // Whether it was carried out shows when the row is read again.
      log.write(EventCode.StoreCallFailed, { call: 'take shard', shard, outcome: res.error.kind })
      if (res.error.kind !== StoreFailureKind.NotDone) this.rowRead = false
      return
    }
    this.row = { value, version: res.value.version }
    this.takenAtMs = context.timers.now()
    log.write(EventCode.ShardTaken, { shard, fencingToken: res.value.version, generation, former, reason })
    if (this.stopping) return
    this.owned = ShardOwner.create({
      ...context,
      shard,
      generation,
      ownerRow: { ...key, version: res.value.version },
      onSuperseded: (why) => this.stepDown(why),
    })
    this.sendBeats()
    this.owned.start()
  }

  private stepDown (reason: string): void {
    const { owned } = this
    if (owned === undefined) return
    this.owned = undefined
    owned.dispose()
    this.rowRead = false
    this.heardAtMs = this.options.context.timers.now()
    this.options.context.log.write(EventCode.ShardLost, { shard: this.options.shard, fencingToken: owned.fencingToken, reason })
  }

  /** Names no owner any more, so that others need not doubt this one first. */
  private async release (fencingToken: number): Promise<void> {
    const { context, shard, network, members } = this.options
    const generation = this.row?.value.generation ?? 0
    const key = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const value: OwnerRow = { owner: '', host: '', port: 0, generation }
    const res = await context.rows.transact({ conditions: [{ ...key, version: fencingToken }], puts: [{ ...key, value: encodeRow(value) }], removes: [] })
    this.rowRead = false
    context.log.write(EventCode.ShardReleased, { shard, fencingToken, outcome: res.ok ? 'done' : res.error.kind })
    if (!res.ok) return
    for (const address of members.others) network.send(address, { kind: PeerMessageKind.ShardReleased, shard, fencingToken: res.value.version })
  }

  private async readRow (): Promise<boolean> {
    const { context, shard } = this.options
    const res = await context.rows.readRange({ table: Table.Shards, part: shard })
    if (!res.ok) return false
    const stored = res.value.rows.find((row) => row.key === OWNER_KEY)
    const value = stored === undefined ? undefined : decodeOwnerRow(stored.value)
    this.rowRead = true
    if (stored === undefined || value === undefined) return true
    if (stored.version > this.knownToken) this.learn(value, stored.version)
    else if (stored.version === this.knownToken) this.row = { value, version: stored.version }
    return true
  }

  private applyBeat (message: PeerMessageOf<PeerMessageKind.ShardBeat>): void {
    if (message.shard !== this.options.shard || message.fencingToken < this.knownToken) return
    if (message.fencingToken > this.knownToken) {
      const generation = this.row?.value.generation ?? 0
      // The generation is read from the store before this daemon takes over itself.
      this.learn({ owner: message.owner, host: message.address.host, port: message.address.port, generation }, message.fencingToken)
      this.rowRead = false
    }
    this.heardAtMs = this.options.context.timers.now()
    this.ownerStoreSilentMs = message.storeSilentMs
  }

  private learn (value: OwnerRow, version: number): void {
    this.row = { value, version }
    this.ownerSinceMs = this.options.context.timers.now()
    this.heardAtMs = this.options.context.timers.now()
    this.ownerStoreSilentMs = 0
    this.storeBeat = undefined
    this.vacantSinceMs = undefined
    this.options.context.log.write(EventCode.OwnerKnown, { shard: this.options.shard, owner: value.owner, fencingToken: version })
    if (this.owned !== undefined && this.owned.fencingToken < version) this.stepDown('another daemon owns the shard')
  }

  private sendBeats (): void {
    const { context, network, members, shard } = this.options
    if (this.owned === undefined) return
    const message = {
      kind: PeerMessageKind.ShardBeat,
      shard,
      owner: this.name,
      address: { ...context.settings.peer },
      fencingToken: this.owned.fencingToken,
      storeSilentMs: Math.round(context.rows.silentForMs()),
    } as const
    for (const address of members.others) network.sendAwaited(address, message)
  }

  private async writeStoreBeat (): Promise<void> {
    const { context, shard } = this.options
    const { owned } = this
    if (owned === undefined) return
    const ownerKey = { table: Table.Shards, part: shard, key: OWNER_KEY }
    const res = await context.rows.transact({ conditions: [{ ...ownerKey, version: owned.fencingToken }], puts: [this.createBeat()], removes: [] })
    if (!res.ok && res.error.kind === StoreFailureKind.Conflict && this.owned === owned) this.stepDown('the store names another owner')
  }

  /** An owner that has just begun reads the whole shard, which may keep it from proving that it is there. */
  private get patience (): number {
    return this.options.context.timers.now() - this.ownerSinceMs < shardOptions.newOwnerMs ? shardOptions.newOwnerPatience : 1
  }

  private createBeat (): RowPut {
    return { table: Table.Beats, part: this.options.shard, key: OWNER_KEY, value: encodeRow({ atMs: Math.round(this.options.context.rows.nowMs()) }) }
  }

  /** Hands the shard to a much faster daemon that answers and reaches the store. */
  private async considerHandOver (owned: ShardOwner): Promise<void> {
    const { context, members } = this.options
    const { timers, settings, log } = context
    const nowMs = timers.now()
    if (nowMs - this.takenAtMs < shardOptions.handOverAfterMs) return
    const others = members.candidates.filter(({ name }) => name !== this.name && nowMs - (this.heardPeers.get(name) ?? -Infinity) < shardOptions.doubtAfterMs)
    if (!this.isSlow(others)) return
    log.write(EventCode.ShardHandedOver, { shard: this.options.shard, fencingToken: owned.fencingToken, speed: settings.speed, reason: 'a much faster daemon is there' })
    await this.handOver(owned, shardOptions.handOverLimitMs)
  }

  /** Ends this daemon's ownership, where nobody has superseded it meanwhile. */
  private async handOver (owned: ShardOwner, limitMs: number): Promise<void> {
    await owned.finish(limitMs)
    if (this.owned !== owned) return
    this.owned = undefined
    await this.release(owned.fencingToken)
  }

  private isSlow (others: readonly OwnerCandidate[]): boolean {
    return shouldHandOver({ name: this.name, speed: this.options.context.settings.speed }, others)
  }

  /** Daemons try one after another, fast ones first, in an order that differs from owner to owner. */
  private getRankDelayMs (): number {
    const ranked = rankSuccessors(`${this.options.shard}/${this.knownToken}`, this.options.members.candidates.filter(({ name }) => name !== this.row?.value.owner))
    return Math.max(0, ranked.indexOf(this.name)) * shardOptions.rankDelayMs
  }
}

const OWNER_KEY = 'owner'
