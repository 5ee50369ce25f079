/**
 * A daemon's view of the daemons that exist. A member is suspected when its heartbeat counter has not
 * advanced for a time, which is measured with the observer's own monotonic clock.
 *
 * Counters are gossiped, so that each daemon sends to only a few others, however many daemons there are.
 * Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection service", 1998.
 */
import type { Address } from '@vanillathread/model'
import type { RandomSource } from '../random/RandomSource.js'

/** Record that a daemon publishes about itself and that other daemons pass on. @public */
export interface MemberRecord {
  readonly daemonId: string
  /** Increases with each start of the daemon. */
  readonly incarnation: number
  /** Heartbeat counter within the incarnation. */
  readonly beat: number
  readonly region: string
  readonly zone: string
  readonly peer: Address
  /** Configuration version in force at the daemon. */
  readonly version: number
  readonly phase: MemberPhase
}

/** Heartbeat counter and version of a member, for receivers that already have its record. @public */
export interface MemberCounter {
  readonly daemonId: string
  readonly incarnation: number
  readonly beat: number
  /** Configuration version in force at the daemon. */
  readonly version: number
}

/** Content of one heartbeat. @public */
export interface HeartbeatContent {
  /** The sender's own record, and records that are new or changed. */
  readonly records: MemberRecord[]
  /** Counters of further members, without their records. */
  readonly pulses: MemberCounter[]
}

/** Phase of a daemon, which the daemon itself announces. @public */
export enum MemberPhase {
  Serving = 'serving',
  /** The daemon is stopping and finishes its requests in flight. */
  Leaving = 'leaving',
  /** The daemon has finished its requests and no longer uses any resources. */
  Left = 'left',
}

/** State of a member in this daemon's view. @public */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
  /** The counter has stopped advancing. The member stays listed, as it may still run behind a broken link. */
  Suspected = 'silent',
}

/** A member's record and its state in this daemon's view. @public */
export interface Member {
  readonly record: MemberRecord
  readonly state: MemberState
}

/** Changes to the view that one call made. @public */
export interface MembershipChange {
  /** Members that are new, restarted or no longer suspected. */
  readonly joined: MemberRecord[]
  /** Members that have become suspected. */
  readonly lost: MemberRecord[]
  /** Members that have begun to stop. */
  readonly leaving: MemberRecord[]
  /** Members that have finished their requests and no longer use any resources. */
  readonly left: MemberRecord[]
}

/** Options of {@link MembershipView.create}. @public */
export interface MembershipOptions {
  readonly self: MemberRecord
  /** Time without an advance of its counter after which a member is suspected, among up to `SMALL_GROUP_SIZE` daemons. */
  readonly suspectAfterMs: number
  /** Time added to `suspectAfterMs` for each doubling of the number of daemons beyond that, as gossip needs more rounds. */
  readonly suspectPerDoublingMs: number
  /** Share of the members whose counters each heartbeat carries. */
  readonly counterShare: number
  /** Minimum number of members whose counters each heartbeat carries. */
  readonly minCounters: number
}

/** Multiple of the time until suspicion for which the record of a member that has left is still gossiped. */
const TOMBSTONE_FACTOR = 4

interface Entry {
  record: MemberRecord
  /** Time at which the counter last advanced. */
  advancedMs: number
  /** True while the member is suspected. */
  silent: boolean
  /** True if no heartbeat has carried the counter since it last advanced. */
  unsent: boolean
  /** Value of `sentCount` when the counter was last sent; 0 if it was never sent. */
  sentOrder: number
  /** Number of heartbeats that have carried the whole record since the member joined or changed its phase. */
  recordSentCount: number
}

/** Number of daemons up to which gossip needs no additional rounds. */
const SMALL_GROUP_SIZE = 20
/** Number of heartbeats that carry the whole record after a change. */
const RECORD_SEND_COUNT = 6

/** A daemon's view of all daemons. @public */
export class MembershipView {
  private readonly entries = new Map<string, Entry>()
  /** Last records of removed members, so that late gossip does not add them again. */
  private readonly removedRecords = new Map<string, MemberRecord>()
  private self: MemberRecord
  /** Number of counters sent so far. */
  private sentCount = 0

  private constructor (private readonly options: MembershipOptions) {
    this.self = options.self
  }

  static create (options: MembershipOptions): MembershipView {
    return new MembershipView(options)
  }

  /** Returns this daemon's own record. */
  getSelf (): MemberRecord {
    return this.self
  }

  /** Sets this daemon's incarnation. Must be called before the first heartbeat is sent. */
  setIncarnation (incarnation: number): void {
    this.self = { ...this.self, incarnation }
  }

  /** Advances this daemon's heartbeat counter and sets its version and phase. */
  advanceSelf (change: { version: number, phase: MemberPhase }): void {
    this.self = { ...this.self, ...change, beat: this.self.beat + 1 }
  }

  /** Merges records from a peer or the table. */
  merge (records: readonly MemberRecord[], nowMs: number): MembershipChange {
    const change = createEmptyChange()
    for (const record of records) this.mergeOne(record, nowMs, change)
    return change
  }

  /**
   * Marks members whose counter has stopped advancing as suspected, and removes those of them that were leaving.
   * Removes members that have left once their record no longer needs to be gossiped.
   */
  updateSuspicions (nowMs: number): MembershipChange {
    const change = createEmptyChange()
    const suspectAfterMs = this.getSuspectAfterMs()
    for (const [daemonId, entry] of this.entries) {
      if (nowMs - entry.advancedMs < suspectAfterMs) continue
      if (entry.record.phase === MemberPhase.Left) {
        if (nowMs - entry.advancedMs >= TOMBSTONE_FACTOR * suspectAfterMs) this.forget(daemonId)
        continue
      }
      if (!entry.silent) change.lost.push(entry.record)
      entry.silent = true
      if (entry.record.phase === MemberPhase.Leaving) this.forget(daemonId)
    }
    return change
  }

  /** Removes a suspected member after the platform has confirmed that it is gone. @returns false if the member is not suspected. */
  removeSuspected (daemonId: string): boolean {
    const entry = this.entries.get(daemonId)
    if (entry?.silent !== true) return false
    this.forget(daemonId)
    return true
  }

  /** Returns all members that have not left, without this daemon. */
  listOthers (): Member[] {
    const present = [...this.entries.values()].filter((entry) => entry.record.phase !== MemberPhase.Left)
    return present.map((entry) => ({ record: entry.record, state: getState(entry) }))
  }

  /** Returns the sorted ids of the daemons that share the work, including this one unless it is leaving. */
  listActiveIds (): string[] {
    const others = this.listOthers().filter((member) => member.state === MemberState.Live)
    const ids = others.map((member) => member.record.daemonId)
    return (this.self.phase !== MemberPhase.Serving ? ids : [...ids, this.self.daemonId]).sort()
  }

  /** Returns the number of listed daemons, and of those that are not suspected (`unsuspected`). Both include this daemon. */
  getMemberCounts (): { unsuspected: number, listed: number } {
    const others = this.listOthers()
    const suspected = others.filter((member) => member.state === MemberState.Suspected).length
    return { unsuspected: others.length + 1 - suspected, listed: others.length + 1 }
  }

  /** Chooses the peers for this round's heartbeats. Suspected peers are included, so that restored links are detected. */
  chooseTargets (fanout: number, random: RandomSource): MemberRecord[] {
    return random.sample(this.listOthers().map((member) => member.record), fanout)
  }

  /**
   * Returns the content of a heartbeat: this daemon's record, changed records, and other counters. Counters that
   * advanced since they were last sent come first, then those that were sent longest ago.
   */
  chooseContent (): HeartbeatContent {
    const unsuspected = [...this.entries.values()].filter((entry) => !entry.silent)
    const entries = unsuspected.sort((a, b) => Number(b.unsent) - Number(a.unsent) || a.sentOrder - b.sentOrder)
    const limit = Math.max(this.options.minCounters, Math.ceil(this.entries.size * this.options.counterShare))
    const chosen = entries.slice(0, limit)
    const changed = entries.filter((entry) => entry.recordSentCount < RECORD_SEND_COUNT).slice(0, limit)
    for (const entry of changed) entry.recordSentCount += 1
    for (const entry of chosen) Object.assign(entry, { unsent: false, sentOrder: ++this.sentCount })
    const pulses = chosen.filter((entry) => !changed.includes(entry)).map(({ record }) => getCounter(record))
    return { records: [this.self, ...changed.map(({ record }) => record)], pulses }
  }

  /** Merges counters. Those of unknown members or incarnations are ignored, as their records come with another heartbeat or the table. */
  mergeCounters (counters: readonly MemberCounter[], nowMs: number): MembershipChange {
    const change = createEmptyChange()
    for (const counter of counters) {
      const known = this.entries.get(counter.daemonId)?.record
      if (known === undefined || known.incarnation !== counter.incarnation) continue
      this.mergeOne({ ...known, beat: counter.beat, version: counter.version }, nowMs, change)
    }
    return change
  }

  private getSuspectAfterMs (): number {
    const doublings = Math.max(0, Math.log2((this.entries.size + 1) / SMALL_GROUP_SIZE))
    return this.options.suspectAfterMs + doublings * this.options.suspectPerDoublingMs
  }

  private mergeOne (record: MemberRecord, nowMs: number, change: MembershipChange): void {
    if (record.daemonId === this.self.daemonId) return
    const last = this.removedRecords.get(record.daemonId)
    if (last !== undefined && !isNewer(record, last)) return
    const entry = this.entries.get(record.daemonId)
    if (entry === undefined) {
      this.entries.set(record.daemonId, { record, advancedMs: nowMs, silent: false, unsent: true, sentOrder: 0, recordSentCount: 0 })
      if (record.phase === MemberPhase.Left) change.left.push(record)
      else change.joined.push(record)
      return
    }
    if (!isNewer(record, entry.record)) return
    const rejoined = entry.silent || record.incarnation > entry.record.incarnation
    if (rejoined && record.phase !== MemberPhase.Left) change.joined.push(record)
    if (record.phase === MemberPhase.Leaving && entry.record.phase === MemberPhase.Serving) change.leaving.push(record)
    const changed = rejoined || record.phase !== entry.record.phase
    Object.assign(entry, { record, advancedMs: nowMs, silent: false, unsent: true, ...changed ? { recordSentCount: 0 } : {} })
    if (record.phase === MemberPhase.Left) change.left.push(record)
  }

  /** Removes a member, and keeps its last record in `removedRecords`. */
  private forget (daemonId: string): void {
    const entry = this.entries.get(daemonId)
    if (entry === undefined) return
    this.entries.delete(daemonId)
    this.removedRecords.set(daemonId, entry.record)
  }
}

function createEmptyChange (): MembershipChange {
  return { joined: [], lost: [], leaving: [], left: [] }
}

function getCounter ({ daemonId, incarnation, beat, version }: MemberRecord): MemberCounter {
  return { daemonId, incarnation, beat, version }
}

function isNewer (a: MemberRecord, b: MemberRecord): boolean {
  return a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.beat > b.beat)
}

function getState (entry: Entry): MemberState {
  if (entry.silent) return MemberState.Suspected
  return entry.record.phase === MemberPhase.Leaving ? MemberState.Leaving : MemberState.Live
}
