/**
 * Knows which VMs are leaving, from the platform's fleet list and from the VMs' own rows.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { FleetVmState, type FleetSnapshot, type Platform, type TableChange } from '@vanillathread/platform'
import { rankByRendezvous } from '@vanillathread/policy'
import type { LeavingVms } from '../endpoint/EndpointSet.js'
import { fleetOptions } from '../options.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'

/** Options of {@link FleetWatch.create}. */
export interface FleetWatchOptions {
  readonly platform: Platform
  readonly membership: MembershipKeeper
  readonly network: PeerNetwork
  readonly timers: TimerService
  readonly log: EventLog
}

/** Prefix of the VM rows. */
export const VM_ROW_PREFIX = 'vm/'

/** States of a VM row in which its endpoints get no new work. */
const LEAVING_ROW_STATES: ReadonlySet<string> = new Set(['draining', 'rebooting', 'moving', 'lost'])

/** Follows the sources that say that a VM is leaving; the first one that says so counts. */
export class FleetWatch implements LeavingVms {
  private listedLeaving: ReadonlySet<string> = new Set()
  private listedAsOfMs = Number.NEGATIVE_INFINITY
  private readonly rowLeaving = new Set<string>()
  private tableRevision = 0
  private readonly subscriptions: Subscription[] = []
  private readonly listeners: Array<() => void> = []

  private constructor (private readonly options: FleetWatchOptions) {}

  static create (options: FleetWatchOptions): FleetWatch {
    return new FleetWatch(options)
  }

  async start (): Promise<void> {
    const { network, timers } = this.options
    network.on(PeerMessageKind.VmStates, (message) => this.takeInList(new Set(message.leaving), message.asOfMs))
    this.subscriptions.push(
      timers.every(fleetOptions.listPeriodMs, () => { this.pollList() }),
      timers.every(fleetOptions.rowPeriodMs, () => { this.pollRows() })
    )
    await Promise.all([this.pollList(), this.pollRows()])
  }

  isLeaving (vmId: string): boolean {
    return this.listedLeaving.has(vmId) || this.rowLeaving.has(vmId)
  }

  /** Returns the VMs that get no new work. */
  listLeaving (): string[] {
    return [...new Set([...this.listedLeaving, ...this.rowLeaving])].sort()
  }

  /** Calls back where a VM starts or stops leaving. */
  subscribe (listener: () => void): void {
    this.listeners.push(listener)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
  }

  /** Only a few daemons read the long list; they pass on what it says. */
  private async pollList (): Promise<void> {
    const { membership, platform } = this.options
    const readers = rankByRendezvous('fleet-list', membership.listActiveIds()).slice(0, fleetOptions.listReaders)
    if (!readers.includes(membership.getSelf().daemonId)) return
    const res = await platform.fleet.list()
    if (!res.ok) return
    const leaving = getLeaving(res.value)
    const changed = !isSameSet(leaving, this.listedLeaving)
    this.takeInList(leaving, res.value.asOfMs)
    if (!changed) return
    const message = { kind: PeerMessageKind.VmStates as const, asOfMs: res.value.asOfMs, leaving: [...leaving] }
    for (const address of membership.listPeerAddresses()) this.options.network.send(address, message)
  }

  /** An older list than the one known is dropped, since lists lag and messages cross. */
  private takeInList (leaving: ReadonlySet<string>, asOfMs: number): void {
    if (asOfMs < this.listedAsOfMs) return
    this.listedAsOfMs = asOfMs
    const before = this.listedLeaving
    this.listedLeaving = leaving
    this.announce([...leaving].filter((vmId) => !before.has(vmId)), 'fleet-list')
    if (!isSameSet(before, leaving)) this.notifyListeners()
  }

  private async pollRows (): Promise<void> {
    const res = await this.options.platform.table.readChanges(VM_ROW_PREFIX, this.tableRevision)
    if (!res.ok) return
    this.tableRevision = Math.max(this.tableRevision, res.value.revision)
    for (const change of res.value.changes) this.takeInRow(change)
  }

  private takeInRow (change: TableChange): void {
    const vmId = change.key.slice(VM_ROW_PREFIX.length)
    const leaving = LEAVING_ROW_STATES.has(getRowState(change.value))
    if (leaving === this.rowLeaving.has(vmId)) return
    if (leaving) this.rowLeaving.add(vmId)
    else this.rowLeaving.delete(vmId)
    if (leaving) this.announce([vmId], 'vm-row')
    this.notifyListeners()
  }

  private announce (vmIds: readonly string[], source: string): void {
    for (const vmId of vmIds) this.options.log.write(EventCode.EndpointLeaving, { vmId, source })
  }

  private notifyListeners (): void {
    for (const listener of this.listeners) listener()
  }
}

function getLeaving (snapshot: FleetSnapshot): Set<string> {
  return new Set(snapshot.vms.filter((vm) => vm.state === FleetVmState.Leaving).map((vm) => vm.vmId))
}

function getRowState (value: unknown): string {
  if (typeof value !== 'object' || value === null || !('state' in value)) return ''
  return String(value.state)
}

function isSameSet (a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item))
}
