/**
 * Keeps this daemon's view of all daemons up to date, by heartbeats between peers and by one row per daemon in the table.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Address, type ConfigurationHead, type Settings } from '@vanillathread/model'
import type { TableChange, TableService } from '@vanillathread/ports'
import { MemberPhase, MembershipView, MemberState, type Member, type MemberRecord, type MembershipChange, type RandomSource } from '@vanillathread/policy'
import { DaemonPhase, type DaemonState } from '../DaemonState.js'
import { membershipOptions } from '../options.js'
import { memberRecordSchema, PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'

/** Provides the configuration head that heartbeats carry, and receives the heads of peers. */
export interface HeadExchange {
  getHead (): ConfigurationHead | undefined
  getVersionInForce (): number
  /** Called with the head in a peer's heartbeat. */
  receiveHead (head: ConfigurationHead, peer: Address): void
}

/** Called with each change. All its lists are empty if a suspected daemon was removed from the view. */
export type MembershipListener = (change: MembershipChange) => void

/** Options of {@link MembershipKeeper.create}. */
export interface MembershipKeeperOptions {
  readonly settings: Settings
  readonly state: DaemonState
  /** Address at which peers reach this daemon. */
  readonly peerAddress: Address
  readonly table: TableService
  readonly network: PeerNetwork
  readonly timers: TimerService
  readonly log: EventLog
  readonly random: RandomSource
}

type HeartbeatMessage = PeerMessageOf<PeerMessageKind.Heartbeat>

/** A daemon's row as it was last read. */
interface ObservedRow {
  readonly revision: number
  /** Monotonic time at which the row was first seen with this revision. */
  readonly sinceMs: number
}

/** Prefix of the keys of the daemon rows. */
export const DAEMON_ROW_PREFIX = 'daemon/'

/** Sends and receives heartbeats, and reports which daemons join, are suspected or leave. */
export class MembershipKeeper {
  private readonly view: MembershipView
  private readonly listeners: MembershipListener[] = []
  private readonly subscriptions: Subscription[] = []
  private readonly rows = new Map<string, ObservedRow>()
  private headExchange: HeadExchange | undefined
  /** Sequence number of the next heartbeat. */
  private nextSeq = 1
  /** Revision of the table up to which the daemon rows have been read. */
  private tableRevision = 0
  /** The sync of the table in progress, so that two do not overlap. */
  private tableSync: Promise<void> | undefined
  private synced = false
  /** Version of the configuration head when the last message was created. */
  private lastHeadVersion = 0
  /** Number of heartbeats and answers created since that version came into force, with or without the head. */
  private messagesSinceNewHead = 0

  private constructor (private readonly options: MembershipKeeperOptions) {
    const { settings, state, peerAddress } = options
    const { id, region, zone } = settings.daemon
    this.view = MembershipView.create({
      self: { daemonId: id, incarnation: state.incarnation, beat: 0, region, zone, peer: peerAddress, version: 0, phase: MemberPhase.Serving },
      suspectAfterMs: membershipOptions.suspectAfterMs,
      suspectPerDoublingMs: membershipOptions.suspectPerDoublingMs,
      counterShare: membershipOptions.counterShare,
      minCounters: membershipOptions.minCounters,
    })
  }

  static create (options: MembershipKeeperOptions): MembershipKeeper {
    return new MembershipKeeper(options)
  }

  /** Starts heartbeats and the periodic table sync. Resolves after the first sync. */
  async start (): Promise<void> {
    const { network, timers } = this.options
    network.on(PeerMessageKind.Heartbeat, (message, reply) => this.onHeartbeat(message, reply))
    network.on(PeerMessageKind.HeartbeatAck, (message) => this.mergeHeartbeat(message))
    this.subscriptions.push(
      timers.every(membershipOptions.heartbeatPeriodMs, () => this.beat()),
      timers.every(membershipOptions.tableSyncPeriodMs, () => { this.syncTable() })
    )
    await this.raiseIncarnationAboveStored()
    await this.syncTable()
    this.beat()
  }

  /** Sets the source and receiver of the configuration head that heartbeats carry. */
  setHeadExchange (headExchange: HeadExchange): void {
    this.headExchange = headExchange
  }

  /** Calls the listener when daemons join, are suspected, leave or are removed. */
  subscribe (listener: MembershipListener): void {
    this.listeners.push(listener)
  }

  getSelf (): MemberRecord {
    return this.view.getSelf()
  }

  listOthers (): Member[] {
    return this.view.listOthers()
  }

  /** True if the rows of all daemons have been read once. Until then, a daemon that is not in the view may still run. */
  get isSynced (): boolean {
    return this.synced
  }

  /** Returns the ids of the daemons that share work, this one included unless it is stopping. */
  listActiveIds (): string[] {
    return this.view.listActiveIds()
  }

  /** Returns the number of daemons that are not suspected and the number of all daemons, this one included. */
  getMemberCounts (): { unsuspected: number, listed: number } {
    return this.view.getMemberCounts()
  }

  /** Returns the peer addresses of the other daemons that are not suspected. */
  listPeerAddresses (): Address[] {
    return this.listOthers().filter((member) => member.state !== MemberState.Suspected).map((member) => member.record.peer)
  }

  /**
   * Advances this daemon's heartbeat counter, updates which daemons are suspected, and sends a heartbeat to a few peers, or
   * to the seeds if no peer is known. Called periodically, and at once when the configuration or the phase has changed.
   */
  beat (): void {
    const { timers, random, network, state } = this.options
    this.view.advanceSelf({
      version: this.headExchange?.getVersionInForce() ?? 0,
      phase: isStopping(state.phase) ? MemberPhase.Leaving : MemberPhase.Serving,
    })
    this.handleChange(this.view.updateSuspicions(timers.now()))
    const message = this.createHeartbeat()
    const targets = this.view.chooseTargets(membershipOptions.fanout, random).map((record) => record.peer)
    const addresses = targets.length > 0 ? targets : this.options.settings.seeds
    for (const address of addresses) network.sendExpectingReply(address, message)
  }

  /**
   * Stops the heartbeats, announces to every peer that this daemon has left, and deletes its row. If that fails, other daemons
   * delete it once it is stale.
   */
  async leave (): Promise<void> {
    this.dispose()
    this.view.advanceSelf({ version: this.headExchange?.getVersionInForce() ?? 0, phase: MemberPhase.Left })
    const message = this.createHeartbeat()
    for (const address of this.listPeerAddresses()) this.options.network.send(address, message)
    // A write of the row that is in progress may be carried out after a deletion that is sent now.
    await this.tableSync
    const res = await this.options.table.transact({ conditions: [], writes: [{ key: this.getRowKey() }] })
    if (!res.ok) this.options.log.write(EventCode.MemberRowKept, { daemonId: this.options.settings.daemon.id, reason: res.error.kind })
  }

  dispose (): void {
    for (const subscription of this.subscriptions.splice(0)) subscription.dispose()
  }

  /**
   * Raises the incarnation above the one in this daemon's row. The incarnation is the time of the start in seconds, so
   * after a quick restart it may be the same as before.
   */
  private async raiseIncarnationAboveStored (): Promise<void> {
    const { table, state } = this.options
    const row = await table.read(this.getRowKey())
    const storedRecord = memberRecordSchema.safeParse(row.ok ? row.value?.value : undefined)
    if (!storedRecord.success) return
    state.raiseIncarnationAbove(storedRecord.data.incarnation)
    this.view.setIncarnation(state.incarnation)
  }

  private createHeartbeat (): PeerMessageOf<PeerMessageKind.Heartbeat> {
    return { kind: PeerMessageKind.Heartbeat, seq: this.nextSeq++, ...this.chooseContent(), ...this.getHeadField(Number.POSITIVE_INFINITY) }
  }

  private chooseContent (): Pick<HeartbeatMessage, 'records' | 'pulses'> {
    const { records, pulses } = this.view.chooseContent()
    return { records, pulses: pulses.map(({ daemonId, incarnation, beat, version }) => [daemonId, incarnation, beat, version]) }
  }

  /**
   * Returns the head if the receiver has an older version, or if the head changed only a few messages ago.
   *
   * @param receiverVersion - version in force at the receiver, or infinity to return only a head that changed recently.
   */
  private getHeadField (receiverVersion: number): { head?: ConfigurationHead } {
    const head = this.headExchange?.getHead()
    if (head === undefined) return {}
    if (head.version !== this.lastHeadVersion) {
      this.lastHeadVersion = head.version
      this.messagesSinceNewHead = 0
    }
    this.messagesSinceNewHead += 1
    const isNew = this.messagesSinceNewHead <= membershipOptions.newHeadRepeats * membershipOptions.fanout
    return isNew || receiverVersion < head.version ? { head } : {}
  }

  private onHeartbeat (message: PeerMessageOf<PeerMessageKind.Heartbeat>, reply: (answer: PeerMessageOf<PeerMessageKind.HeartbeatAck>) => void): void {
    this.mergeHeartbeat(message)
    reply({ kind: PeerMessageKind.HeartbeatAck, seq: message.seq, ...this.chooseContent(), ...this.getHeadField(message.records[0]?.version ?? 0) })
  }

  private mergeHeartbeat (message: Pick<HeartbeatMessage, 'records' | 'pulses' | 'head'>): void {
    const nowMs = this.options.timers.now()
    const counters = message.pulses.map(([daemonId, incarnation, beat, version]) => ({ daemonId, incarnation, beat, version }))
    this.handleChange(this.view.merge(message.records, nowMs))
    this.handleChange(this.view.mergeCounters(counters, nowMs))
    const sender = message.records[0]
    if (message.head !== undefined && sender !== undefined) this.headExchange?.receiveHead(message.head, sender.peer)
  }

  /** Logs a change, and notifies the listeners if it is not empty. */
  private handleChange (change: MembershipChange): void {
    const { log } = this.options
    for (const { daemonId } of change.joined) log.write(EventCode.PeerJoined, { daemonId })
    for (const { daemonId } of change.lost) log.write(EventCode.PeerLost, { daemonId })
    for (const { daemonId } of change.leaving) log.write(EventCode.PeerLeaving, { daemonId })
    for (const { daemonId } of change.left) log.write(EventCode.PeerLeft, { daemonId })
    if (Object.values(change).every((records) => records.length === 0)) return
    for (const listener of this.listeners) listener(change)
  }

  private getRowKey (): string {
    return DAEMON_ROW_PREFIX + this.options.settings.daemon.id
  }

  /** Writes this daemon's row, and reads the daemon rows that have changed. */
  private syncTable (): Promise<void> {
    this.tableSync ??= this.writeAndReadRows().finally(() => { this.tableSync = undefined })
    return this.tableSync
  }

  private async writeAndReadRows (): Promise<void> {
    const { table } = this.options
    await table.transact({ conditions: [], writes: [{ key: this.getRowKey(), value: this.view.getSelf() }] })
    const res = await table.readChanges(DAEMON_ROW_PREFIX, this.tableRevision)
    if (!res.ok) return
    this.tableRevision = res.value.revision
    this.synced = true
    for (const change of res.value.changes) this.mergeRowChange(change)
    this.removeStaleRows()
  }

  private mergeRowChange (change: TableChange): void {
    const daemonId = change.key.slice(DAEMON_ROW_PREFIX.length)
    const record = memberRecordSchema.safeParse(change.value)
    // A row that was deleted has no value. Its daemon is removed from the view if it is suspected.
    if (!record.success) {
      this.rows.delete(daemonId)
      if (this.view.removeSuspected(daemonId)) this.notifyRemoval()
      return
    }
    const nowMs = this.options.timers.now()
    this.rows.set(daemonId, { revision: change.revision, sinceMs: nowMs })
    this.handleChange(this.view.merge([record.data], nowMs))
  }

  /** Removes stale rows of daemons that are suspected or have left. Called only after the table has answered. */
  private removeStaleRows (): void {
    const nowMs = this.options.timers.now()
    const unsuspected = this.view.listOthers().filter(({ state }) => state !== MemberState.Suspected)
    const presentIds = new Set([this.options.settings.daemon.id, ...unsuspected.map(({ record }) => record.daemonId)])
    for (const [daemonId, row] of this.rows) {
      if (presentIds.has(daemonId) || nowMs - row.sinceMs < membershipOptions.staleRowAfterMs) continue
      this.removeRow(daemonId, row.revision)
    }
  }

  /** Deletes the row of a daemon unless the row has changed, then removes the daemon from the view. */
  private async removeRow (daemonId: string, revision: number): Promise<void> {
    const key = DAEMON_ROW_PREFIX + daemonId
    const res = await this.options.table.transact({ conditions: [{ key, revision }], writes: [{ key }] })
    if (!res.ok) return
    this.rows.delete(daemonId)
    if (this.view.removeSuspected(daemonId)) this.notifyRemoval()
  }

  /** Notifies the listeners that a suspected daemon was removed from the view. */
  private notifyRemoval (): void {
    for (const listener of this.listeners) listener({ joined: [], lost: [], leaving: [], left: [] })
  }
}

function isStopping (phase: DaemonPhase): boolean {
  return phase === DaemonPhase.Leaving || phase === DaemonPhase.Draining
}
