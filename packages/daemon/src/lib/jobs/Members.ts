/**
 * The daemons, as they have written themselves to the store and greeted each other.
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

/** Options of {@link Members.create}. */
export interface MembersOptions {
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly rows: RowStore
  readonly network: PeerTransport
}

/** Addresses of the other daemons. */
export class Members {
  private readonly members = new Map<string, MemberRow>()
  private readonly timer: Subscription
  private written = false
  private disposed = false

  private constructor (private readonly options: MembersOptions) {
    options.network.on(PeerMessageKind.Hello, ({ name, address, speed }) => { this.members.set(name, { ...address, speed }) })
    this.timer = options.timers.every(watchOptions.memberPeriodMs, () => { this.refresh() })
  }

  static create (options: MembersOptions): Members {
    return new Members(options)
  }

  /** All daemons, this one included. */
  get candidates (): OwnerCandidate[] {
    const { name: own, speed: ownSpeed } = this.options.settings
    return [...[...this.members].filter(([name]) => name !== own).map(([name, { speed }]) => ({ name, speed })), { name: own, speed: ownSpeed }]
  }

  /** Addresses of the other daemons. */
  get others (): Address[] {
    return [...this.members].filter(([name]) => name !== this.options.settings.name).map(([, { host, port }]) => ({ host, port }))
  }

  /** Writes this daemon's row and reads the others'; repeats until both succeed. */
  async join (): Promise<void> {
    while (!this.disposed && !await this.refresh()) await delay(this.options.timers, watchOptions.retryMs)
    this.greet()
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
  }

  private async refresh (): Promise<boolean> {
    const { rows, settings } = this.options
    if (!this.written) {
      const res = await rows.transact({ conditions: [], puts: [{ table: Table.Members, part: '', key: settings.name, value: encodeRow({ ...settings.peer, speed: settings.speed }) }], removes: [] })
      if (!res.ok) return false
      this.written = true
    }
    const page = await rows.readRange({ table: Table.Members, part: '' })
    if (!page.ok) return false
    for (const row of page.value.rows) {
      const member = decodeMemberRow(row.value)
      if (member !== undefined) this.members.set(row.key, member)
    }
    return true
  }

  private greet (): void {
    const { settings, network } = this.options
    for (const address of this.others) network.send(address, { kind: PeerMessageKind.Hello, name: settings.name, address: { ...settings.peer }, speed: settings.speed })
  }
}
