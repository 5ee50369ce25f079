/**
 * Knows which VMs are leaving or gone, from the platform's fleet list and from the VMs' own rows.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { FleetVmState, type FleetSnapshot, type Platform } from '@vanillathread/ports'
import { rankByRendezvous, VmState } from '@vanillathread/policy'
import type { LeavingVms } from '../endpoint/EndpointSet.js'
import { fleetOptions } from '../options.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import { FleetRows } from './FleetRows.js'

/** Options of {@link FleetWatch.create}. */
export interface FleetWatchOptions {
  readonly platform: Platform
  readonly membership: Pick<MembershipKeeper, 'listActiveIds' | 'getSelf' | 'listPeerAddresses'>
  readonly network: Pick<PeerNetwork, 'on' | 'send'>
  readonly timers: TimerService
  readonly log: EventLog
  /** Returns the VMs of the configuration in force. */
  listDeclared (): readonly string[]
}

/** What the fleet list says, without the VMs that are simply live. */
interface ListedVms {
  readonly leaving: ReadonlySet<string>
  /** Declared VMs that the list lacks. */
  readonly gone: ReadonlySet<string>
  /** Wall-clock time of the list; before any list, minus infinity. */
  readonly asOfMs: number
}

/** Follows the sources that say that a VM is leaving; the first one that says so counts. */
export class FleetWatch implements LeavingVms {
  readonly rows: FleetRows
  private listed: ListedVms = { leaving: new Set(), gone: new Set(), asOfMs: Number.NEGATIVE_INFINITY }
  private plausible = true
  private readonly subscriptions: Subscription[] = []
  private readonly listeners: Array<() => void> = []

  private constructor (private readonly options: FleetWatchOptions) {
    this.rows = FleetRows.create(options.platform.table)
    this.rows.subscribeVms((vmIds) => this.onRows(vmIds))
  }

  static create (options: FleetWatchOptions): FleetWatch {
    return new FleetWatch(options)
  }

  async start (): Promise<void> {
    const { network, timers } = this.options
    network.on(PeerMessageKind.VmStates, ({ leaving, gone, asOfMs }) =>
      this.takeInList({ leaving: new Set(leaving), gone: new Set(gone), asOfMs }))
    this.subscriptions.push(
      timers.every(fleetOptions.listPeriodMs, () => { this.pollList() }),
      timers.every(fleetOptions.rowPeriodMs, () => { this.rows.refresh() })
    )
    await Promise.all([this.pollList(), this.rows.refresh()])
  }

  isLeaving (vmId: string): boolean {
    return this.listed.leaving.has(vmId) || !this.isActive(vmId)
  }

  /** Returns the pool that a VM is in by its row, or undefined where it has none yet. */
  getPool (vmId: string): string | undefined {
    return this.rows.listVms().get(vmId)?.value.pool
  }

  /**
   * Says whether the fleet list has a VM.
   *
   * @param changedAtMs - wall-clock time of the VM's last change; older lists say nothing about it.
   * @returns undefined where that is not known.
   */
  isListed (vmId: string, changedAtMs: number): boolean | undefined {
    if (this.listed.asOfMs < changedAtMs + fleetOptions.listLagMs) return undefined
    return !this.listed.gone.has(vmId)
  }

  /** Returns the VMs that get no new work. */
  listLeaving (): string[] {
    const byRow = [...this.rows.listVms().keys()].filter((vmId) => !this.isActive(vmId))
    return [...new Set([...this.listed.leaving, ...byRow])].sort()
  }

  /** Calls back where a VM starts or stops leaving. */
  subscribe (listener: () => void): void {
    this.listeners.push(listener)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
  }

  private isActive (vmId: string): boolean {
    const row = this.rows.listVms().get(vmId)
    return row === undefined || row.value.state === VmState.Active
  }

  /** Only a few daemons read the long list; they pass on what it says. */
  private async pollList (): Promise<void> {
    const { membership, platform, network } = this.options
    const readers = rankByRendezvous('fleet-list', membership.listActiveIds()).slice(0, fleetOptions.listReaders)
    if (!readers.includes(membership.getSelf().daemonId)) return
    const res = await platform.fleet.list()
    if (!res.ok) return
    const listed = this.readList(res.value)
    if (!this.isPlausible(listed)) return
    const changed = !isSameSet(listed.leaving, this.listed.leaving) || !isSameSet(listed.gone, this.listed.gone)
    this.takeInList(listed)
    if (!changed) return
    const message = { kind: PeerMessageKind.VmStates as const, asOfMs: listed.asOfMs, leaving: [...listed.leaving], gone: [...listed.gone] }
    for (const address of membership.listPeerAddresses()) network.send(address, message)
  }

  private readList ({ vms, asOfMs }: FleetSnapshot): ListedVms {
    const present = new Set(vms.map((vm) => vm.vmId))
    const leaving = vms.filter((vm) => vm.state === FleetVmState.Leaving).map((vm) => vm.vmId)
    const gone = this.options.listDeclared().filter((vmId) => !present.has(vmId))
    return { leaving: new Set(leaving), gone: new Set(gone), asOfMs }
  }

  /** A list that lacks most of the fleet says more about the list than about the fleet. */
  private isPlausible ({ gone }: ListedVms): boolean {
    const plausible = gone.size <= this.options.listDeclared().length * fleetOptions.plausibleLossShare
    if (!plausible && this.plausible) this.options.log.write(EventCode.FleetListDoubted, { gone: gone.size })
    this.plausible = plausible
    return plausible
  }

  /** An older list than the one known is dropped, since lists lag and messages cross. */
  private takeInList (listed: ListedVms): void {
    if (listed.asOfMs < this.listed.asOfMs) return
    const before = this.listed
    this.listed = listed
    for (const vmId of listed.leaving) {
      if (!before.leaving.has(vmId)) this.options.log.write(EventCode.EndpointLeaving, { vmId, source: 'fleet-list' })
    }
    if (!isSameSet(before.leaving, listed.leaving)) this.notify()
  }

  private onRows (vmIds: readonly string[]): void {
    for (const vmId of vmIds) {
      if (!this.isActive(vmId)) this.options.log.write(EventCode.EndpointLeaving, { vmId, source: 'vm-row' })
    }
    this.notify()
  }

  private notify (): void {
    for (const listener of this.listeners) listener()
  }
}

function isSameSet (a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item))
}
