/**
 * The known daemons: read from their rows in the store, and learned from their hello messages.
 */
import { delay, type Subscription, type TimerService } from '@vanillathread/kernel'
import type { Address } from '@vanillathread/model'
import type { OwnerCandidate } from '@vanillathread/policy'
import type { RowStore } from '@vanillathread/ports'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { PeerMessageKind } from '../peer/messages.js'
import { watchOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import { decodeMemberRow, encodeRow, Table, type MemberRow } from './rows.js'

/** Options of {@link MemberDirectory.create}. */
export interface MemberDirectoryOptions {
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly rows: RowStore
  readonly network: PeerTransport
}

/** Addresses and speeds of the daemons. */
export class MemberDirectory {
  private readonly members = new Map<string, MemberRow>()
  private readonly timer: Subscription
  /** True if this daemon's own row is in the store. */
  private rowWritten = false
  private disposed = false

  private constructor (private readonly options: MemberDirectoryOptions) {
    options.network.on(PeerMessageKind.Hello, ({ name, address, speed }) => { this.members.set(name, { ...address, speed }) })
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

  /**
   * Writes this daemon's row and reads the others' rows, retrying until both succeed, and then sends a hello message to the
   * other daemons.
   */
  async join (): Promise<void> {
    while (!this.disposed && !await this.refresh()) await delay(this.options.timers, watchOptions.retryMs)
    this.sendHello()
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
  }

  /** Writes this daemon's row unless it is stored already, and reads the rows of all daemons. Returns false if either failed. */
  private async refresh (): Promise<boolean> {
    const { rows, settings } = this.options
    if (!this.rowWritten) {
      const res = await rows.transact({ conditions: [], puts: [{ table: Table.Members, part: '', key: settings.name, value: encodeRow({ ...settings.peer, speed: settings.speed }) }], removes: [] })
      if (!res.ok) return false
      this.rowWritten = true
    }
    const page = await rows.readRange({ table: Table.Members, part: '' })
    if (!page.ok) return false
    for (const row of page.value.rows) {
      const member = decodeMemberRow(row.value)
      if (member !== undefined) this.members.set(row.key, member)
    }
    return true
  }

  private sendHello (): void {
    const { settings, network } = this.options
    for (const { address } of this.others) network.send(address, { kind: PeerMessageKind.Hello, name: settings.name, address: { ...settings.peer }, speed: settings.speed })
  }
}
