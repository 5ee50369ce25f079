/**
 * Acquires and releases the leases of pools. The daemon that holds a pool's lease controls the pool.
 *
 * A lease row holds the id and the incarnation of its holder. Membership already follows the heartbeats of
 * the holder, so leases need none of their own: a holder loses its leases when membership no longer lists
 * it, or lists a newer incarnation of it.
 *
 * Each write of a pool controller is conditional on the revision of the lease row, so that a holder
 * that was paused during a takeover by another daemon can change nothing.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { TableService } from '@vanillathread/ports'
import { createLeaseRecord, fleetKeys, getRendezvousOwner, type LeaseRecord, type Stored } from '@vanillathread/policy'
import type { DaemonState } from '../DaemonState.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { fleetOptions } from '../options.js'
import type { FleetRows } from './FleetRows.js'

/** The part of membership that leases depend on. */
export type LeaseMembership = Pick<MembershipKeeper, 'listActiveIds' | 'listOthers' | 'isSynced'>

/** Options of {@link PoolLeases.create}. */
export interface PoolLeasesOptions {
  readonly state: Pick<DaemonState, 'daemonId' | 'incarnation'>
  readonly table: TableService
  readonly rows: FleetRows
  readonly membership: LeaseMembership
  readonly timers: TimerService
}

/** The pool leases of one daemon. */
export class PoolLeases {
  /** Monotonic time since which another daemon has been the first choice for a pool whose lease this daemon holds. */
  private readonly misplacedSinceMs = new Map<string, number>()

  /** Daemon that should hold the lease, by pool. */
  private firstChoices: ReadonlyMap<string, string | undefined> = new Map()
  /** Daemons and pools that {@link PoolLeases.firstChoices} was computed from. */
  private firstChoicesBasis = ''

  private constructor (private readonly options: PoolLeasesOptions) {}

  static create (options: PoolLeasesOptions): PoolLeases {
    return new PoolLeases(options)
  }

  /** Determines by rendezvous hashing which daemon is the first choice for each pool, if the daemons or the pools have changed. */
  updateFirstChoices (poolIds: readonly string[]): void {
    const activeIds = this.options.membership.listActiveIds()
    const basis = [...activeIds, ...poolIds].join()
    if (basis === this.firstChoicesBasis) return
    this.firstChoicesBasis = basis
    this.firstChoices = new Map(poolIds.map((poolId) => [poolId, getRendezvousOwner(fleetKeys.lease(poolId), activeIds)]))
  }

  /** Returns the lease row if this daemon holds the lease. */
  getHeld (poolId: string): Stored<LeaseRecord> | undefined {
    const lease = this.options.rows.getLease(poolId)
    return lease !== undefined && this.isOwn(lease.value) ? lease : undefined
  }

  /**
   * Acquires a free lease if this daemon is the first choice for the pool. Releases a held lease if another
   * daemon has been the first choice for some time.
   *
   * @returns the lease if this daemon holds it now.
   */
  async acquireOrRelease (poolId: string): Promise<Stored<LeaseRecord> | undefined> {
    const { membership, rows } = this.options
    if (!membership.isSynced) return undefined
    const firstChoice = this.firstChoices.get(poolId)
    const lease = rows.getLease(poolId)
    if (lease !== undefined && this.isOwn(lease.value)) return this.keepOrRelease(poolId, lease, firstChoice)
    if (firstChoice !== this.options.state.daemonId || (lease !== undefined && !this.isFree(lease.value))) return undefined
    return this.write(poolId, lease, this.options.state.daemonId)
  }

  /** Releases every lease that this daemon holds. Called when the daemon stops. */
  async releaseAll (poolIds: readonly string[]): Promise<void> {
    for (const poolId of poolIds) {
      const lease = this.getHeld(poolId)
      if (lease !== undefined) await this.write(poolId, lease, '')
    }
  }

  private isOwn (lease: LeaseRecord): boolean {
    return lease.holder === this.options.state.daemonId && lease.incarnation === this.options.state.incarnation
  }

  /**
   * Returns true if a lease that this incarnation does not hold is free: it was released, its holder was an
   * earlier incarnation of this daemon, or membership no longer lists its holder or lists a newer incarnation of it.
   */
  private isFree (lease: LeaseRecord): boolean {
    if (lease.holder === '' || lease.holder === this.options.state.daemonId) return true
    const holder = this.options.membership.listOthers().find(({ record }) => record.daemonId === lease.holder)
    return holder === undefined || holder.record.incarnation > lease.incarnation
  }

  /**
   * Keeps a held lease, or releases it once another daemon has been the first choice for `releaseAfterMs`.
   *
   * @returns the lease if it is kept.
   */
  private async keepOrRelease (poolId: string, lease: Stored<LeaseRecord>, firstChoice: string | undefined): Promise<Stored<LeaseRecord> | undefined> {
    const nowMs = this.options.timers.now()
    if (firstChoice === this.options.state.daemonId) {
      this.misplacedSinceMs.delete(poolId)
      return lease
    }
    const sinceMs = this.misplacedSinceMs.get(poolId) ?? nowMs
    this.misplacedSinceMs.set(poolId, sinceMs)
    if (nowMs - sinceMs < fleetOptions.releaseAfterMs) return lease
    this.misplacedSinceMs.delete(poolId)
    await this.write(poolId, lease, '')
    return undefined
  }

  /** Writes the lease row. An empty `holder` releases the lease. @returns the lease if this daemon holds it now. */
  private async write (poolId: string, lease: Stored<LeaseRecord> | undefined, holder: string): Promise<Stored<LeaseRecord> | undefined> {
    const key = fleetKeys.lease(poolId)
    const change = {
      key,
      revision: lease?.revision ?? 0,
      value: createLeaseRecord(holder, this.options.state.incarnation, (lease?.value.epoch ?? 0) + 1),
    }
    const res = await this.options.table.transact({ conditions: [{ key, revision: change.revision }], writes: [{ key, value: change.value }] })
    // If the answer was lost, the next refresh of the rows shows who holds the lease.
    if (!res.ok) return undefined
    this.options.rows.applyOwnWrites([change], res.value)
    return this.getHeld(poolId)
  }
}
