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

/** How far a daemon is in its life, by its own word. @public */
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
  /** Time for which a counter may stand still. */
  readonly silentAfterMs: number
  /** Records sent with each heartbeat. */
  readonly recordsPerHeartbeat: number
}

/** Multiple of the silence time for which the word that a member has left is passed on. */
const TOMBSTONE_FACTOR = 4

interface Entry {
  record: MemberRecord
  advancedMs: number
  silent: boolean
  /** Heartbeats that have carried the record since it last changed. */
  sentCount: number
}

/** A daemon's view of all daemons. @public */
export class MembershipView {
  private readonly entries = new Map<string, Entry>()
  /** Last records of members that were forgotten, so that late gossip does not bring them back. */
  private readonly forgotten = new Map<string, MemberRecord>()
  private self: MemberRecord

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
    for (const [daemonId, entry] of this.entries) {
      if (nowMs - entry.advancedMs < this.options.silentAfterMs) continue
      if (entry.record.phase === MemberPhase.Left) {
        if (nowMs - entry.advancedMs >= TOMBSTONE_FACTOR * this.options.silentAfterMs) this.forget(daemonId)
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

  /** Returns the records to send: the own one, and the others that have been passed on least. */
  chooseRecords (): MemberRecord[] {
    const entries = [...this.entries.values()].filter((entry) => !entry.silent)
    const fresh = entries.sort((a, b) => a.sentCount - b.sentCount).slice(0, this.options.recordsPerHeartbeat - 1)
    for (const entry of fresh) entry.sentCount += 1
    return [this.self, ...fresh.map((entry) => entry.record)]
  }

  private mergeOne (record: MemberRecord, nowMs: number, change: MembershipChange): void {
    if (record.daemonId === this.self.daemonId) return
    const last = this.forgotten.get(record.daemonId)
    if (last !== undefined && !isNewer(record, last)) return
    const entry = this.entries.get(record.daemonId)
    if (entry === undefined) {
      this.entries.set(record.daemonId, { record, advancedMs: nowMs, silent: false, sentCount: 0 })
      if (record.phase === MemberPhase.Left) change.left.push(record)
      else change.joined.push(record)
      return
    }
    if (!isNewer(record, entry.record)) return
    const returned = entry.silent || record.incarnation > entry.record.incarnation
    if (returned && record.phase !== MemberPhase.Left) change.joined.push(record)
    if (record.phase === MemberPhase.Leaving && entry.record.phase === MemberPhase.Serving) change.leaving.push(record)
    Object.assign(entry, { record, advancedMs: nowMs, silent: false, sentCount: 0 })
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

function isNewer (a: MemberRecord, b: MemberRecord): boolean {
  return a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.beat > b.beat)
}

function getState (entry: Entry): MemberState {
  if (entry.silent) return MemberState.Silent
  return entry.record.phase === MemberPhase.Leaving ? MemberState.Leaving : MemberState.Live
}
