/**
 * The known daemons: read from their rows in the store, and learned from their hello messages.
 */
import { delay, type EventLog, type Subscription, type TimerService } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import type { OwnerCandidate } from '@vanillathread/policy'
import { readTable, StoreFailureKind, type RowStore, type StoredRow } from '@vanillathread/ports'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { PeerMessageKind } from '../peer/messages.js'
import { watchOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import { decodeMemberRow, encodeRow, Table, type MemberRow } from './rows.js'

/** Options of {@link MemberDirectory.create}. */
export interface MemberDirectoryOptions {
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  readonly network: PeerTransport
}

/** What this daemon knows of another one. */
interface KnownMember extends MemberRow {
  /** Version of its row, or 0 if only its hello message is known. */
  readonly version: number
  /** Time of its last hello message, answer or new row. */
  seenAtMs: number
}

/** Addresses and speeds of the daemons. */
export class MemberDirectory {
  private readonly members = new Map<string, KnownMember>()
  private readonly timer: Subscription
  /** Time at which any daemon last answered a heartbeat of this one. */
  private lastAnswerAtMs = -Infinity
  /** Version of this daemon's own row in the store, or undefined if there is none. */
  private ownRowVersion: number | undefined
  /** Store version at which the rows of all daemons were last read. */
  private readVersion = 0
  /** Read of the rows after a hello message, if one is due. */
  private dueRead: Subscription | undefined
  private disposed = false

  private constructor (private readonly options: MemberDirectoryOptions) {
    options.network.on(PeerMessageKind.Hello, ({ name, address, speed }) => this.applyHello(name, { ...address, speed }))
    this.timer = options.timers.every(watchOptions.memberPeriodMs, () => { this.refresh() })
  }

  static create (options: MemberDirectoryOptions): MemberDirectory {
    return new MemberDirectory(options)
  }

  /** All known daemons including this one, as candidates for owning a shard. */
  get candidates (): OwnerCandidate[] {
    const { name: own, speed: ownSpeed } = this.options.settings
    return [...[...this.members].filter(([name]) => name !== own).map(([name, { speed }]) => ({ name, speed })), { name: own, speed: ownSpeed }]
  }

  /** Names and addresses of the other daemons. */
  get others (): Array<{ readonly name: string, readonly address: Address }> {
    return [...this.members].filter(([name]) => name !== this.options.settings.name).map(([name, { host, port }]) => ({ name, address: { host, port } }))
  }

  /** Store version at which the rows of all daemons were last read. */
  get readAtVersion (): number {
    return this.readVersion
  }

  /** Returns true if a daemon that read the rows of all daemons at a store version, if it told one, knows of this daemon's present row. */
  isKnownAt (version: number | undefined): boolean {
    return version === undefined || (this.ownRowVersion ?? Infinity) <= version
  }

  /**
   * Writes this daemon's row and reads the others' rows, retrying until both succeed, and then sends a hello message to the
   * other daemons.
   */
  async join (): Promise<void> {
    while (!this.disposed && !await this.refresh()) await delay(this.options.timers, watchOptions.retryMs)
    this.sendHello()
  }

  /** Records that a daemon answered a heartbeat. */
  recordAnswer (name: string): void {
    this.lastAnswerAtMs = this.options.timers.now()
    const member = this.members.get(name)
    if (member !== undefined) member.seenAtMs = this.lastAnswerAtMs
  }

  /**
   * Removes the daemons that do not answer any more, and their rows. Called by the owner of a shard, which sends heartbeats to
   * all daemons. If none answers, this daemon may be the one that is cut off, and none is removed. One that still runs writes
   * its row again.
   *
   * @param ownedForMs - Time for which the caller has sent heartbeats.
   */
  removeSilent (ownedForMs: number): void {
    const nowMs = this.options.timers.now()
    if (nowMs - this.lastAnswerAtMs >= watchOptions.memberPeriodMs) return
    for (const [name, { version, seenAtMs }] of this.members) {
      const silentMs = Math.min(ownedForMs, nowMs - seenAtMs)
      if (name !== this.options.settings.name && silentMs >= watchOptions.memberSilentMs) this.remove(name, version, silentMs)
    }
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
    this.dueRead?.dispose()
  }

  /** Writes this daemon's row unless it is stored already, and reads the rows of all daemons. Returns false if either failed. */
  private async refresh (): Promise<boolean> {
    const { rows, settings } = this.options
    if (this.ownRowVersion === undefined) {
      const res = await rows.transact({ conditions: [], puts: [{ table: Table.Members, part: '', key: settings.name, value: encodeRow({ ...settings.peer, speed: settings.speed }) }], removes: [] })
      if (!res.ok) return false
      this.ownRowVersion = res.value.version
    }
    const table = await readTable(rows, Table.Members, '')
    if (!table.ok) return false
    this.applyRows(table.value.rows)
    this.readVersion = table.value.version
    return true
  }

  private applyHello (name: string, row: MemberRow): void {
    const version = this.members.get(name)?.version ?? 0
    this.members.set(name, { ...row, version, seenAtMs: this.options.timers.now() })
    if (version === 0) this.dueRead ??= this.options.timers.after(watchOptions.newMemberReadMs, () => this.readNewMembers())
  }

  private readNewMembers (): void {
    this.dueRead = undefined
    this.refresh()
  }

  /** Applies the rows of all daemons. A daemon without a row is forgotten, unless its hello message may have come after the read. */
  private applyRows (rows: readonly StoredRow[]): void {
    const nowMs = this.options.timers.now()
    const names = new Set(rows.map(({ key }) => key))
    // If another daemon has removed this daemon's row, the next refresh writes it again.
    this.ownRowVersion = rows.find(({ key }) => key === this.options.settings.name)?.version
    for (const { key, value, version } of rows) {
      const member = decodeMemberRow(value)
      const known = this.members.get(key)
      if (member === undefined) this.options.log.write(EventCode.JobRowInvalid, { table: Table.Members, key, version })
      else if (known?.version !== version) this.members.set(key, { ...member, version, seenAtMs: nowMs })
    }
    for (const [name, { seenAtMs }] of this.members) {
      if (!names.has(name) && nowMs - seenAtMs >= watchOptions.memberPeriodMs) this.members.delete(name)
    }
  }

  private async remove (name: string, version: number, silentMs: number): Promise<void> {
    const { rows, log } = this.options
    const key = { table: Table.Members, part: '', key: name }
    const res = await rows.transact({ conditions: [{ ...key, version }], puts: [], removes: [key] })
    if (res.ok) {
      this.members.delete(name)
      log.write(EventCode.MemberRemoved, { member: name, silentMs: Math.round(silentMs) })
    } else if (res.error.kind !== StoreFailureKind.Conflict) {
      log.write(EventCode.StoreCallFailed, { call: 'remove member', member: name, outcome: res.error.kind, reason: res.error.reason })
    }
  }

  private sendHello (): void {
    const { settings, network } = this.options
    for (const { address } of this.others) network.send(address, { kind: PeerMessageKind.Hello, name: settings.name, address: { ...settings.peer }, speed: settings.speed })
  }
}
