/**
 * Lends VMs of spare pools, where this daemon controls the spare pool.
 *
 * Lenders of slots know the demand of their services and report it to the daemon that holds the
 * lease of a spare pool. That daemon writes loans; the controllers of the pools carry them out.
 */
import { isDeepStrictEqual } from 'node:util'
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Declarations } from '@vanillathread/model'
import type { TableService } from '@vanillathread/ports'
import { CapacityPolicy, fleetKeys, VmState, type CapacityPolicyOptions, type LendableVm, type LoanDecision, type PoolDemand } from '@vanillathread/policy'
import type { ConfigurationStore } from '../configuration/ConfigurationStore.js'
import type { CreditExchange } from '../credits/CreditExchange.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { endpointOptions, fleetOptions } from '../options.js'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import type { FleetRows } from './FleetRows.js'

/** Options of {@link LoanPlanner.create}. */
export interface LoanPlannerOptions {
  readonly configuration: Pick<ConfigurationStore, 'current'>
  readonly credits: Pick<CreditExchange, 'listLentDemand'>
  readonly membership: Pick<MembershipKeeper, 'getSelf' | 'listOthers'>
  readonly network: Pick<PeerNetwork, 'on' | 'send'>
  readonly rows: FleetRows
  readonly table: TableService
  readonly timers: TimerService
  readonly log: EventLog
}

type DemandMessage = PeerMessageOf<PeerMessageKind.Demand>

interface ReportedDemand {
  readonly slots: number
  readonly atMs: number
}

/** Plans loans of one daemon's spare pools. */
export class LoanPlanner {
  private readonly reported = new Map<string, ReportedDemand>()
  private policy: CapacityPolicy | undefined
  private policyOptions: CapacityPolicyOptions | undefined
  private subscription: Subscription | undefined
  private busy = false

  private constructor (private readonly options: LoanPlannerOptions) {}

  static create (options: LoanPlannerOptions): LoanPlanner {
    return new LoanPlanner(options)
  }

  start (): void {
    this.options.network.on(PeerMessageKind.Demand, (message) => this.takeIn(message))
    this.subscription = this.options.timers.every(fleetOptions.demandPeriodMs, () => { this.tick() })
  }

  dispose (): void {
    this.subscription?.dispose()
  }

  /** Reports demand, and decides loans where this daemon controls a spare pool. */
  async tick (): Promise<void> {
    const declarations = this.options.configuration.current?.declarations
    if (declarations === undefined || this.busy) return
    this.busy = true
    try {
      for (const pool of declarations.inventory.pools.filter(({ spare }) => spare)) await this.serveSparePool(pool.id, declarations)
    } finally {
      this.busy = false
    }
  }

  private async serveSparePool (poolId: string, declarations: Declarations): Promise<void> {
    const lease = this.options.rows.getLease(poolId)
    if (lease === undefined) return
    const { membership, network, credits } = this.options
    const message: DemandMessage = { kind: PeerMessageKind.Demand, services: credits.listLentDemand() }
    if (lease.value.holder === membership.getSelf().daemonId) {
      this.takeIn(message)
      await this.plan(poolId, declarations, lease.revision)
      return
    }
    const holder = membership.listOthers().find(({ record }) => record.daemonId === lease.value.holder)
    if (holder !== undefined && message.services.length > 0) network.send(holder.record.peer, message)
  }

  private takeIn (message: DemandMessage): void {
    const atMs = this.options.timers.now()
    for (const { service, slots } of message.services) this.reported.set(service, { slots, atMs })
  }

  private async plan (poolId: string, declarations: Declarations, leaseRevision: number): Promise<void> {
    const demands = this.getDemands(declarations)
    // A plan on part of the demand would move VMs away from pools that merely were not heard of.
    if (demands === undefined) return
    const nowMs = this.options.timers.now()
    const policy = this.getPolicy(declarations)
    policy.observe(demands, nowMs)
    const decision = policy.decide(demands, this.listLendable(poolId, declarations), nowMs)
    if (decision !== undefined) await this.writeLoan(decision, poolId, leaseRevision)
  }

  /** Keeps what was learned over changes of the configuration that do not concern it. */
  private getPolicy ({ inventory, rules }: Declarations): CapacityPolicy {
    const longestMs = Math.max(0, ...inventory.services.map((service) => service.attemptTimeoutMs))
    const options: CapacityPolicyOptions = { weights: rules.weights, moveMs: fleetOptions.noticeMs + longestMs + endpointOptions.abandonedHoldMs }
    if (this.policy === undefined || !isDeepStrictEqual(options, this.policyOptions)) {
      this.policy = CapacityPolicy.create(options)
      this.policyOptions = options
    }
    return this.policy
  }

  /** Returns the demand of every pool, or undefined while a service was not heard of lately. */
  private getDemands (declarations: Declarations): PoolDemand[] | undefined {
    const nowMs = this.options.timers.now()
    const { inventory, rules } = declarations
    const slotsByPool = new Map<string, number>()
    for (const service of inventory.services) {
      const reported = this.reported.get(service.id)
      if (reported === undefined || nowMs - reported.atMs > fleetOptions.demandKeptMs) return undefined
      const slotsPerVm = Math.max(...service.endpoints.map(({ slots }) => slots))
      slotsByPool.set(service.pool, (slotsByPool.get(service.pool) ?? 0) + reported.slots / slotsPerVm)
    }
    const incoming = this.countIncoming(inventory)
    return inventory.pools.map(({ id }) => ({
      poolId: id,
      demandVms: slotsByPool.get(id) ?? 0,
      members: [...this.options.rows.listVmsOf(id).values()].filter(({ value }) => value.state === VmState.Active).length,
      incoming: incoming.get(id) ?? 0,
      minAvailable: rules.budgets.find((budget) => budget.pool === id)?.minAvailable ?? 0,
    }))
  }

  /** Counts the VMs that are lent to each pool and not there yet. */
  private countIncoming ({ vms }: Declarations['inventory']): Map<string, number> {
    const { rows } = this.options
    const counts = new Map<string, number>()
    for (const { id } of vms) {
      const target = rows.getLoan(id)?.value.pool
      const row = rows.listVms().get(id)
      if (target === undefined || row === undefined || row.value.pool === target) continue
      counts.set(target, (counts.get(target) ?? 0) + 1)
    }
    return counts
  }

  /** Returns the VMs of a spare pool that serve where their loan says, and so may be lent anew. */
  private listLendable (home: string, { inventory }: Declarations): LendableVm[] {
    const { rows } = this.options
    return inventory.vms.filter((vm) => vm.pool === home).flatMap((vm) => {
      const row = rows.listVms().get(vm.id)?.value
      const settled = row?.state === VmState.Active && row.pool === (rows.getLoan(vm.id)?.value.pool ?? home)
      return settled && row !== undefined ? [{ vmId: vm.id, pool: row.pool, home }] : []
    })
  }

  private async writeLoan ({ vmId, pool }: LoanDecision, home: string, leaseRevision: number): Promise<void> {
    const { rows, table, log } = this.options
    const change = { key: fleetKeys.loan(vmId), revision: rows.getLoan(vmId)?.revision ?? 0, ...pool === home ? {} : { value: { format: 1, pool } } }
    const res = await table.transact({
      conditions: [{ key: fleetKeys.lease(home), revision: leaseRevision }, { key: change.key, revision: change.revision }],
      writes: [{ key: change.key, value: change.value }],
    })
    if (!res.ok) return
    rows.noteWritten([change], res.value)
    log.write(EventCode.VmLent, { vmId, pool, home })
  }
}
