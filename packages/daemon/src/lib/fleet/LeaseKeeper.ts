/**
 * Which pools this daemon controls.
 *
 * A lease row names its holder. The holder's heartbeat counter is the one that membership follows
 * already: a holder that membership has given up, or that has started anew, has lost its leases.
 * Every write of a controller is conditional on the lease row, so a holder that was paused while
 * another daemon took over can change nothing.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { TableService } from '@vanillathread/ports'
import { createLeaseRecord, fleetKeys, getRendezvousOwner, type LeaseRecord, type Stored } from '@vanillathread/policy'
import type { DaemonState } from '../DaemonState.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { fleetOptions } from '../options.js'
import type { FleetRows } from './FleetRows.js'

/** Membership as far as leases need it. */
export type LeaseMembership = Pick<MembershipKeeper, 'listActiveIds' | 'listOthers' | 'isSynced'>

/** Options of {@link LeaseKeeper.create}. */
export interface LeaseKeeperOptions {
  readonly state: Pick<DaemonState, 'daemonId' | 'incarnation'>
  readonly table: TableService
  readonly rows: FleetRows
  readonly membership: LeaseMembership
  readonly timers: TimerService
}

/** Leases of one daemon. */
export class LeaseKeeper {
  /** Monotonic time since which another daemon is the first choice for a pool that this one holds. */
  private readonly misplacedSinceMs = new Map<string, number>()

  private choices: ReadonlyMap<string, string | undefined> = new Map()
  private choicesOf = ''

  private constructor (private readonly options: LeaseKeeperOptions) {}

  static create (options: LeaseKeeperOptions): LeaseKeeper {
    return new LeaseKeeper(options)
  }

  /** Finds out which daemon is the first choice for each pool, where the daemons or the pools have changed. */
  choose (poolIds: readonly string[]): void {
    const activeIds = this.options.membership.listActiveIds()
    const basis = [...activeIds, ...poolIds].join()
    if (basis === this.choicesOf) return
    this.choicesOf = basis
    this.choices = new Map(poolIds.map((poolId) => [poolId, getRendezvousOwner(fleetKeys.lease(poolId), activeIds)]))
  }

  /** Returns the lease row where this daemon holds it. */
  getHeld (poolId: string): Stored<LeaseRecord> | undefined {
    const lease = this.options.rows.getLease(poolId)
    return lease !== undefined && this.isOwn(lease.value) ? lease : undefined
  }

  /**
   * Takes a free lease that this daemon is the first choice for, or hands over one that it is not.
   *
   * @returns the lease where this daemon holds it now.
   */
  async settle (poolId: string): Promise<Stored<LeaseRecord> | undefined> {
    const { membership, rows } = this.options
    if (!membership.isSynced) return undefined
    const firstChoice = this.choices.get(poolId)
    const lease = rows.getLease(poolId)
    if (lease !== undefined && this.isOwn(lease.value)) return this.keepOrHandOver(poolId, lease, firstChoice)
    if (firstChoice !== this.options.state.daemonId || (lease !== undefined && !this.isFree(lease.value))) return undefined
    return this.write(poolId, lease, this.options.state.daemonId)
  }

  /** Hands back every lease, as the daemon stops. */
  async handBackAll (poolIds: readonly string[]): Promise<void> {
    for (const poolId of poolIds) {
      const lease = this.getHeld(poolId)
      if (lease !== undefined) await this.write(poolId, lease, '')
    }
  }

  private isOwn (lease: LeaseRecord): boolean {
    return lease.holder === this.options.state.daemonId && lease.incarnation === this.options.state.incarnation
  }

  /** A lease is free where it was handed back, or where its holder is no longer a member with that incarnation. */
  private isFree (lease: LeaseRecord): boolean {
    if (lease.holder === '' || lease.holder === this.options.state.daemonId) return true
    const holder = this.options.membership.listOthers().find(({ record }) => record.daemonId === lease.holder)
    return holder === undefined || holder.record.incarnation > lease.incarnation
  }

  private async keepOrHandOver (poolId: string, lease: Stored<LeaseRecord>, firstChoice: string | undefined): Promise<Stored<LeaseRecord> | undefined> {
    const nowMs = this.options.timers.now()
    if (firstChoice === this.options.state.daemonId) {
      this.misplacedSinceMs.delete(poolId)
      return lease
    }
    const sinceMs = this.misplacedSinceMs.get(poolId) ?? nowMs
    this.misplacedSinceMs.set(poolId, sinceMs)
    if (nowMs - sinceMs < fleetOptions.handOverAfterMs) return lease
    this.misplacedSinceMs.delete(poolId)
    await this.write(poolId, lease, '')
    return undefined
  }

  private async write (poolId: string, lease: Stored<LeaseRecord> | undefined, holder: string): Promise<Stored<LeaseRecord> | undefined> {
    const key = fleetKeys.lease(poolId)
    const change = {
      key,
      revision: lease?.revision ?? 0,
      value: createLeaseRecord(holder, this.options.state.incarnation, (lease?.value.epoch ?? 0) + 1),
    }
    const res = await this.options.table.transact({ conditions: [{ key, revision: change.revision }], writes: [{ key, value: change.value }] })
    // After a lost answer the row itself says who holds the lease, once it is read again.
    if (!res.ok) return undefined
    this.options.rows.noteWritten([change], res.value)
    return this.getHeld(poolId)
  }
}
