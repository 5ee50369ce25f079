/**
 * Which daemons exist, judged by heartbeat counters on the observer's own monotonic clock.
 *
 * Counters are gossiped, so that each daemon sends to a few others however many there are.
 * Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection service", 1998.
 */
import type { Address } from '@vanillathread/model'
import type { RandomSource } from '../random/RandomSource.js'

/** What a daemon says of itself, passed on by others. @public */
export interface MemberRecord {
  readonly daemonId: string
  /** Grows with each start of the daemon. */
  readonly incarnation: number
  /** Heartbeat counter of the incarnation. */
  readonly beat: number
  readonly region: string
  readonly zone: string
  readonly peer: Address
  /** Configuration version in force at the daemon. */
  readonly version: number
  readonly phase: MemberPhase
}

/** The heartbeat counter of a member whose record the receiver knows already. @public */
export interface MemberPulse {
  readonly daemonId: string
  readonly incarnation: number
  readonly beat: number
  /** Configuration version in force at the daemon. */
  readonly version: number
}

/** What one heartbeat carries. @public */
export interface HeartbeatContent {
  /** Own record, and records that are new or changed. */
  readonly records: MemberRecord[]
  readonly pulses: MemberPulse[]
}

/** Phase of a daemon's life, as it announces it. @public */
export enum MemberPhase {
  Serving = 'serving',
  /** It has begun to stop and finishes requests in flight. */
  Leaving = 'leaving',
  /** It has finished; it uses nothing any more. */
  Left = 'left',
}

/** How a member is judged. @public */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
  /** Its counter stands still; it is still listed, since it may be alive beyond a broken link. */
  Silent = 'silent',
}

/** A member with its judgement. @public */
export interface Member {
  readonly record: MemberRecord
  readonly state: MemberState
}

/** What a merge changed. @public */
export interface MembershipChange {
  readonly joined: MemberRecord[]
  /** Members that fell silent. */
  readonly lost: MemberRecord[]
  /** Members that have begun to stop. */
  readonly leaving: MemberRecord[]
  /** Members that have finished and use nothing any more. */
  readonly left: MemberRecord[]
}

/** Options of {@link MembershipView.create}. @public */
export interface MembershipOptions {
  readonly self: MemberRecord
  /** Time for which a counter may stand still among a few daemons; it grows with the rounds that gossip needs. */
  readonly silentAfterMs: number
  /** Time added with each doubling beyond a few daemons. */
  readonly silentPerDoublingMs: number
  /** Share of the members that each heartbeat tells of. */
  readonly pulseShare: number
  /** Fewest members that each heartbeat tells of. */
  readonly minPulses: number
}

/** Multiple of the silence time for which the record of a member that has left is gossiped. */
const TOMBSTONE_FACTOR = 4

interface Entry {
  record: MemberRecord
  advancedMs: number
  silent: boolean
  /** True where no heartbeat has carried the counter since it last advanced. */
  unsent: boolean
  /** Place in the order in which counters were sent last. */
  sentOrder: number
  /** Heartbeats that have carried the whole record since it last changed in more than its counter. */
  recordSentCount: number
}

/** Number of daemons up to which gossip needs no further rounds. */
const FEW_DAEMONS = 20
/** Heartbeats that carry a changed record whole. */
const RECORD_REPEATS = 6

/** A daemon's view of all daemons. @public */
export class MembershipView {
  private readonly entries = new Map<string, Entry>()
  /** Last records of members that were forgotten, so that late gossip does not bring them back. */
  private readonly forgotten = new Map<string, MemberRecord>()
  private self: MemberRecord
  /** Counters sent so far. */
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

  /** Sets the own incarnation, before anything is sent. */
  setIncarnation (incarnation: number): void {
    this.self = { ...this.self, incarnation }
  }

  /** Advances the own heartbeat counter and says what else is new. */
  advanceSelf (change: { version: number, phase: MemberPhase }): void {
    this.self = { ...this.self, ...change, beat: this.self.beat + 1 }
  }

  /** Takes in records from a peer or the table. */
  merge (records: readonly MemberRecord[], nowMs: number): MembershipChange {
    const change = createChange()
    for (const record of records) this.mergeOne(record, nowMs, change)
    return change
  }

  /** Judges silence. */
  expire (nowMs: number): MembershipChange {
    const change = createChange()
    const silentAfterMs = this.getSilentAfterMs()
    for (const [daemonId, entry] of this.entries) {
      if (nowMs - entry.advancedMs < silentAfterMs) continue
      if (entry.record.phase === MemberPhase.Left) {
        if (nowMs - entry.advancedMs >= TOMBSTONE_FACTOR * silentAfterMs) this.forget(daemonId)
        continue
      }
      if (!entry.silent) change.lost.push(entry.record)
      entry.silent = true
      if (entry.record.phase === MemberPhase.Leaving) this.forget(daemonId)
    }
    return change
  }

  /** Removes a silent member that the platform confirms to be gone. @returns false where it is not silent. */
  confirmGone (daemonId: string): boolean {
    const entry = this.entries.get(daemonId)
    if (entry?.silent !== true) return false
    this.forget(daemonId)
    return true
  }

  /** Returns every listed member but this daemon. */
  listOthers (): Member[] {
    const present = [...this.entries.values()].filter((entry) => entry.record.phase !== MemberPhase.Left)
    return present.map((entry) => ({ record: entry.record, state: getState(entry) }))
  }

  /** Returns the ids of the daemons that share work, this one included unless it is leaving. */
  listActiveIds (): string[] {
    const others = this.listOthers().filter((member) => member.state === MemberState.Live)
    const ids = others.map((member) => member.record.daemonId)
    return (this.self.phase !== MemberPhase.Serving ? ids : [...ids, this.self.daemonId]).sort()
  }

  /** Returns the number of daemons heard and listed, this one included. */
  getReach (): { heard: number, listed: number } {
    const others = this.listOthers()
    const silent = others.filter((member) => member.state === MemberState.Silent).length
    return { heard: others.length + 1 - silent, listed: others.length + 1 }
  }

  /** Chooses peers for this round's heartbeats; silent ones are tried as well, so that healed links are noticed. */
  chooseTargets (fanout: number, random: RandomSource): MemberRecord[] {
    return random.sample(this.listOthers().map((member) => member.record), fanout)
  }

  /** Returns what to send: the own record, changed records, and news of the members that were sent longest ago. */
  chooseContent (): HeartbeatContent {
    const heard = [...this.entries.values()].filter((entry) => !entry.silent)
    const entries = heard.sort((a, b) => Number(b.unsent) - Number(a.unsent) || a.sentOrder - b.sentOrder)
    const limit = Math.max(this.options.minPulses, Math.ceil(this.entries.size * this.options.pulseShare))
    const chosen = entries.slice(0, limit)
    const changed = entries.filter((entry) => entry.recordSentCount < RECORD_REPEATS).slice(0, limit)
    for (const entry of changed) entry.recordSentCount += 1
    for (const entry of chosen) Object.assign(entry, { unsent: false, sentOrder: ++this.sentCount })
    const pulses = chosen.filter((entry) => !changed.includes(entry)).map(({ record }) => getPulse(record))
    return { records: [this.self, ...changed.map(({ record }) => record)], pulses }
  }

  /** Takes in counters. Those of unknown members are dropped; their records come by another heartbeat or the table. */
  mergePulses (pulses: readonly MemberPulse[], nowMs: number): MembershipChange {
    const change = createChange()
    for (const pulse of pulses) {
      const known = this.entries.get(pulse.daemonId)?.record
      if (known === undefined || known.incarnation !== pulse.incarnation) continue
      this.mergeOne({ ...known, beat: pulse.beat, version: pulse.version }, nowMs, change)
    }
    return change
  }

  private getSilentAfterMs (): number {
    const doublings = Math.max(0, Math.log2((this.entries.size + 1) / FEW_DAEMONS))
    return this.options.silentAfterMs + doublings * this.options.silentPerDoublingMs
  }

  private mergeOne (record: MemberRecord, nowMs: number, change: MembershipChange): void {
    if (record.daemonId === this.self.daemonId) return
    const last = this.forgotten.get(record.daemonId)
    if (last !== undefined && !isNewer(record, last)) return
    const entry = this.entries.get(record.daemonId)
    if (entry === undefined) {
      this.entries.set(record.daemonId, { record, advancedMs: nowMs, silent: false, unsent: true, sentOrder: 0, recordSentCount: 0 })
      if (record.phase === MemberPhase.Left) change.left.push(record)
      else change.joined.push(record)
      return
    }
    if (!isNewer(record, entry.record)) return
    const returned = entry.silent || record.incarnation > entry.record.incarnation
    if (returned && record.phase !== MemberPhase.Left) change.joined.push(record)
    if (record.phase === MemberPhase.Leaving && entry.record.phase === MemberPhase.Serving) change.leaving.push(record)
    const changed = returned || record.phase !== entry.record.phase
    Object.assign(entry, { record, advancedMs: nowMs, silent: false, unsent: true, ...changed ? { recordSentCount: 0 } : {} })
    if (record.phase === MemberPhase.Left) change.left.push(record)
  }

  private forget (daemonId: string): void {
    const entry = this.entries.get(daemonId)
    if (entry === undefined) return
    this.entries.delete(daemonId)
    this.forgotten.set(daemonId, entry.record)
  }
}

function createChange (): MembershipChange {
  return { joined: [], lost: [], leaving: [], left: [] }
}

function getPulse ({ daemonId, incarnation, beat, version }: MemberRecord): MemberPulse {
  return { daemonId, incarnation, beat, version }
}

function isNewer (a: MemberRecord, b: MemberRecord): boolean {
  return a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.beat > b.beat)
}

function getState (entry: Entry): MemberState {
  if (entry.silent) return MemberState.Silent
  return entry.record.phase === MemberPhase.Leaving ? MemberState.Leaving : MemberState.Live
}
