/**
 * Determines which VMs are leaving or missing, from the platform's fleet list and from the VMs' rows.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { FleetVmState, type FleetSnapshot, type Platform } from '@vanillathread/ports'
import { rankByRendezvous, VmState } from '@vanillathread/policy'
import type { VmStatusSource } from '../endpoint/EndpointSet.js'
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
  /** Returns the ids of the VMs that the configuration in force declares. */
  listDeclared (): readonly string[]
}

/** The leaving and the missing VMs of one fleet list. VMs that are live are left out. */
interface FleetListSummary {
  /** VMs that the list reports as leaving. */
  readonly leaving: ReadonlySet<string>
  /** Declared VMs that are missing from the list. */
  readonly gone: ReadonlySet<string>
  /** Wall-clock time of the list in milliseconds, or minus infinity before the first list. */
  readonly asOfMs: number
}

/** Combines the fleet list and the VM rows. A VM is leaving as soon as either of them says so. */
export class FleetWatch implements VmStatusSource {
  readonly rows: FleetRows
  private listSummary: FleetListSummary = { leaving: new Set(), gone: new Set(), asOfMs: Number.NEGATIVE_INFINITY }
  /** True if the last list that this daemon read was plausible. */
  private wasPlausible = true
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
      this.applyList({ leaving: new Set(leaving), gone: new Set(gone), asOfMs }))
    this.subscriptions.push(
      timers.every(fleetOptions.listPeriodMs, () => { this.pollList() }),
      timers.every(fleetOptions.rowPeriodMs, () => { this.rows.refresh() })
    )
    await Promise.all([this.pollList(), this.rows.refresh()])
  }

  isLeaving (vmId: string): boolean {
    return this.listSummary.leaving.has(vmId) || !this.isActive(vmId)
  }

  /** Returns the pool in the VM's row, or undefined if the VM has no row yet. */
  getPool (vmId: string): string | undefined {
    return this.rows.listVms().get(vmId)?.value.pool
  }

  /**
   * Returns false if the VM is declared and missing from the fleet list, and true if not.
   *
   * @param changedAtMs - wall-clock time of the VM's last change, in milliseconds.
   * @returns undefined if the list may be too old to reflect that change.
   */
  isListed (vmId: string, changedAtMs: number): boolean | undefined {
    if (this.listSummary.asOfMs < changedAtMs + fleetOptions.listLagMs) return undefined
    return !this.listSummary.gone.has(vmId)
  }

  /** Returns the ids of the VMs that get no new work, sorted. */
  listLeaving (): string[] {
    const byRow = [...this.rows.listVms().keys()].filter((vmId) => !this.isActive(vmId))
    return [...new Set([...this.listSummary.leaving, ...byRow])].sort()
  }

  /** Calls back when VM rows or the leaving VMs of the fleet list have changed. */
  subscribe (listener: () => void): void {
    this.listeners.push(listener)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
  }

  /** Returns true if the VM's row is in state active. A VM without a row counts as active. */
  private isActive (vmId: string): boolean {
    const row = this.rows.listVms().get(vmId)
    return row === undefined || row.value.state === VmState.Active
  }

  /**
   * Reads the fleet list if this daemon is one of its readers, and sends its summary to the other daemons if that has changed.
   * Only a few daemons read the list, since it is long.
   */
  private async pollList (): Promise<void> {
    const { membership, platform, network } = this.options
    const readers = rankByRendezvous('fleet-list', membership.listActiveIds()).slice(0, fleetOptions.listReaders)
    if (!readers.includes(membership.getSelf().daemonId)) return
    const res = await platform.fleet.list()
    if (!res.ok) return
    const summary = this.summarizeList(res.value)
    if (!this.isPlausible(summary)) return
    const changed = !isSameSet(summary.leaving, this.listSummary.leaving) || !isSameSet(summary.gone, this.listSummary.gone)
    this.applyList(summary)
    if (!changed) return
    const message = { kind: PeerMessageKind.VmStates as const, asOfMs: summary.asOfMs, leaving: [...summary.leaving], gone: [...summary.gone] }
    for (const address of membership.listPeerAddresses()) network.send(address, message)
  }

  private summarizeList ({ vms, asOfMs }: FleetSnapshot): FleetListSummary {
    const present = new Set(vms.map((vm) => vm.vmId))
    const leaving = vms.filter((vm) => vm.state === FleetVmState.Leaving).map((vm) => vm.vmId)
    const gone = this.options.listDeclared().filter((vmId) => !present.has(vmId))
    return { leaving: new Set(leaving), gone: new Set(gone), asOfMs }
  }

  /**
   * Returns false if the list lacks so many of the declared VMs that the list itself is probably wrong. Logs the first of
   * several such lists in a row.
   */
  private isPlausible ({ gone }: FleetListSummary): boolean {
    const plausible = gone.size <= this.options.listDeclared().length * fleetOptions.maxMissingShare
    if (!plausible && this.wasPlausible) this.options.log.write(EventCode.FleetListDoubted, { gone: gone.size })
    this.wasPlausible = plausible
    return plausible
  }

  /** Applies a list unless it is older than the current one, since lists lag and messages may arrive out of order. */
  private applyList (summary: FleetListSummary): void {
    if (summary.asOfMs < this.listSummary.asOfMs) return
    const previous = this.listSummary
    this.listSummary = summary
    for (const vmId of summary.leaving) {
      if (!previous.leaving.has(vmId)) this.options.log.write(EventCode.EndpointLeaving, { vmId, source: 'fleet-list' })
    }
    if (!isSameSet(previous.leaving, summary.leaving)) this.notify()
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
