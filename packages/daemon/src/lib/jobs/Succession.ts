/**
 * Order in which the daemons take a shard over, and the daemons that answer its owner.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { Address } from '@vanillathread/model'
import { rankSuccessors, shouldHandOver, type OwnerCandidate } from '@vanillathread/policy'
import { relayOptions, shardOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import type { MemberDirectory } from './MemberDirectory.js'
import type { StoreHeartbeat } from './OwnerRecord.js'
import type { ReportedPeer } from './RelayedRowStore.js'
import type { Relay } from './RelayedVmClients.js'

/** Options of {@link Succession.create}. */
export interface SuccessionOptions {
  readonly shard: string
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly members: MemberDirectory
}

/** The time in which a shard has one owner; the order of succession depends on its fencing token. */
export interface OwnerTerm {
  /** Name of the owner, or undefined if none is known. */
  readonly owner: string | undefined
  readonly fencingToken: number
}

/** Ranks the daemons that this daemon knows. */
export class Succession {
  /** Times at which peers that reach the store last answered a heartbeat of this daemon, by name. */
  private readonly answeredAtMs = new Map<string, number>()
  /** Times at which the store last answered the peers by their reports, and of these reports, by name. */
  private readonly storeReports = new Map<string, { readonly answeredAtMs: number, readonly reportedAtMs: number }>()
  /** Number of times at which this daemon, as the owner, sent heartbeats. */
  private heartbeatCount = 0
  private chosenRelays: readonly Relay[] = []

  private constructor (private readonly options: SuccessionOptions) {}

  static create (options: SuccessionOptions): Succession {
    return new Succession(options)
  }

  /** Records that a peer that reaches the store has answered a heartbeat. */
  recordAnswer (name: string): void {
    this.answeredAtMs.set(name, this.options.timers.now())
  }

  /** Records the time since the store last answered a peer, from its answer to a heartbeat. */
  recordStoreReport (name: string, storeSilentMs: number): void {
    const reportedAtMs = this.options.timers.now()
    this.storeReports.set(name, { answeredAtMs: reportedAtMs - storeSilentMs, reportedAtMs })
  }

  /** Returns the daemons that have just answered a heartbeat, with the times since the store answered them. */
  listStorePeers (): ReportedPeer[] {
    const nowMs = this.options.timers.now()
    return this.options.members.others.flatMap(({ name, address }) => {
      const report = this.storeReports.get(name)
      return report === undefined || nowMs - report.reportedAtMs >= shardOptions.suspectAfterMs ? [] : [{ name, address, answerAgoMs: nowMs - report.answeredAtMs }]
    })
  }

  /** Daemons that make calls to VMs for this daemon as the owner of many VMs, as of the last heartbeat. */
  get relays (): readonly Relay[] {
    return this.chosenRelays
  }

  /**
   * Returns the addresses that get the owner's next heartbeat: the near successors each time, all daemons at every
   * `restHeartbeatInterval`-th time.
   */
  listNextHeartbeatTargets (ownerTerm: OwnerTerm): Address[] {
    const isForAll = this.heartbeatCount++ % shardOptions.restHeartbeatInterval === 0
    const near = new Set(this.listNear(ownerTerm))
    return this.options.members.others.filter(({ name }) => isForAll || near.has(name)).map(({ address }) => address)
  }

  /**
   * Returns the delay before this daemon tries to take over. Daemons try one after another, fast ones first, in an order
   * that depends on the fencing token.
   */
  getTakeoverDelayMs (ownerTerm: OwnerTerm): number {
    return Math.max(0, this.rank(ownerTerm).indexOf(this.ownName)) * shardOptions.takeoverRankDelayMs
  }

  /**
   * Returns the delay for a takeover from an owner that may still live. It goes on without the store as long as the daemons that it knows say
   * that they have not taken over, so one that it may not know waits until such statements no longer count.
   */
  getSilentOwnerDelayMs (ownerTerm: OwnerTerm, { membersAtVersion }: StoreHeartbeat): number {
    return this.getTakeoverDelayMs(ownerTerm) + (this.options.members.isKnownAt(membersAtVersion) ? 0 : shardOptions.unknownMemberDelayMs)
  }

  /** Returns the time without a heartbeat after which this daemon suspects the owner; longer if it does not get all heartbeats. */
  getSuspectAfterMs (ownerTerm: OwnerTerm): number {
    const periodMs = shardOptions.heartbeatPeriodMs
    // A daemon that gets one heartbeat in `restHeartbeatInterval` waits for three of these to be lost.
    const extraMs = this.listNear(ownerTerm).includes(this.ownName) ? 0 : (shardOptions.restHeartbeatInterval - 1) * periodMs
    return shardOptions.suspectAfterMs + this.getTakeoverDelayMs(ownerTerm) + 3 * extraMs
  }

  /** Returns the first daemon in the order of succession that answers the owner, which is this daemon. */
  chooseSuccessor (fencingToken: number): string | undefined {
    return rankSuccessors(this.getKey(fencingToken), this.listAnswering())[0]
  }

  /** Chooses the relays of an owner with a number of VMs: fast daemons that answer, if there are many VMs. */
  updateRelays (vmCount: number): void {
    this.chosenRelays = vmCount >= relayOptions.minVms ? this.listFastAnswering() : []
  }

  /** Returns true if a daemon that answers this one is much faster. */
  isMuchFasterDaemonAnswering (): boolean {
    return this.isMuchSlowerThan(this.listAnswering())
  }

  /** Returns true if any known daemon is much faster than this one. */
  isMuchFasterDaemonKnown (): boolean {
    return this.isMuchSlowerThan(this.options.members.candidates)
  }

  /** Returns fast daemons that answer, in the order of their names, up to the limit on relays. */
  private listFastAnswering (): Relay[] {
    const answering = this.listAnswering()
    const fastest = Math.max(...answering.map(({ speed }) => speed))
    const fast = answering.filter(({ speed }) => speed >= fastest * RELAY_SPEED_SHARE).map(({ name }) => name).sort()
    const addresses = new Map(this.options.members.others.map(({ name, address }) => [name, address]))
    return fast.slice(0, relayOptions.maxRelays).flatMap((name) => {
      const address = addresses.get(name)
      return address === undefined ? [] : [{ name, address }]
    })
  }

  /** Returns the first daemons in the order of succession. */
  private listNear (ownerTerm: OwnerTerm): string[] {
    return this.rank(ownerTerm).slice(0, shardOptions.nearSuccessors)
  }

  private get ownName (): string {
    return this.options.settings.name
  }

  private getKey (fencingToken: number): string {
    return `${this.options.shard}/${fencingToken}`
  }

  private rank ({ owner, fencingToken }: OwnerTerm): string[] {
    return rankSuccessors(this.getKey(fencingToken), this.options.members.candidates.filter(({ name }) => name !== owner))
  }

  /** Returns the other daemons that answered a heartbeat a short time ago. */
  private listAnswering (): OwnerCandidate[] {
    const nowMs = this.options.timers.now()
    return this.options.members.candidates.filter(({ name }) => name !== this.ownName && nowMs - (this.answeredAtMs.get(name) ?? -Infinity) < shardOptions.suspectAfterMs)
  }

  private isMuchSlowerThan (others: readonly OwnerCandidate[]): boolean {
    return shouldHandOver({ name: this.ownName, speed: this.options.settings.speed }, others)
  }
}

/** Daemons with at least this share of the fastest one's speed may be relays. */
const RELAY_SPEED_SHARE = 0.5
