/**
 * Decides which VMs of spare pools are lent to other pools.
 *
 * The daemon that lends the slots of a service knows the service's demand, and reports it to the daemon
 * that holds the lease of a spare pool. That daemon writes the loans. The pool controllers move the VMs.
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

/** Latest demand that was reported for a service. */
interface ReportedDemand {
  readonly slots: number
  /** Monotonic time of the report. */
  readonly atMs: number
}

/** Plans the loans of the spare pools that this daemon controls. */
export class LoanPlanner {
  private readonly reportedDemand = new Map<string, ReportedDemand>()
  private policy: CapacityPolicy | undefined
  private policyOptions: CapacityPolicyOptions | undefined
  private subscription: Subscription | undefined
  /** True while {@link LoanPlanner.tick} runs, so that two runs do not overlap. */
  private busy = false

  private constructor (private readonly options: LoanPlannerOptions) {}

  static create (options: LoanPlannerOptions): LoanPlanner {
    return new LoanPlanner(options)
  }

  start (): void {
    this.options.network.on(PeerMessageKind.Demand, (message) => this.recordDemand(message))
    this.subscription = this.options.timers.every(fleetOptions.demandPeriodMs, () => { this.tick() })
  }

  dispose (): void {
    this.subscription?.dispose()
  }

  /** Plans the loans of each spare pool whose lease this daemon holds, and reports demand to the daemons that hold the other leases. */
  async tick (): Promise<void> {
    const declarations = this.options.configuration.current?.declarations
    if (declarations === undefined || this.busy) return
    this.busy = true
    try {
      for (const pool of declarations.inventory.pools.filter(({ spare }) => spare)) await this.reportDemandOrPlan(pool.id, declarations)
    } finally {
      this.busy = false
    }
  }

  private async reportDemandOrPlan (poolId: string, declarations: Declarations): Promise<void> {
    const lease = this.options.rows.getLease(poolId)
    if (lease === undefined) return
    const { membership, network, credits } = this.options
    const message: DemandMessage = { kind: PeerMessageKind.Demand, services: credits.listLentDemand() }
    const self = membership.getSelf()
    // An earlier incarnation of this daemon may still plan under a lease that it holds, until this one has acquired the lease.
    if (lease.value.holder === self.daemonId && lease.value.incarnation === self.incarnation) {
      this.recordDemand(message)
      await this.plan(poolId, declarations, lease.revision)
      return
    }
    const holder = membership.listOthers().find(({ record }) => record.daemonId === lease.value.holder)
    if (holder !== undefined && message.services.length > 0) network.send(holder.record.peer, message)
  }

  private recordDemand (message: DemandMessage): void {
    const atMs = this.options.timers.now()
    for (const { service, slots } of message.services) this.reportedDemand.set(service, { slots, atMs })
  }

  private async plan (poolId: string, declarations: Declarations, leaseRevision: number): Promise<void> {
    const demands = this.getDemands(declarations)
    // A plan based on incomplete demand could move VMs away from a pool only because its demand was not reported.
    if (demands === undefined) return
    const nowMs = this.options.timers.now()
    const policy = this.getPolicy(declarations)
    policy.recordDeficits(demands, nowMs)
    const decision = policy.decide(demands, this.listLendable(poolId, declarations), nowMs)
    if (decision !== undefined) await this.writeLoan(decision, poolId, leaseRevision)
  }

  /** Returns the capacity policy. It is replaced, and loses the recorded deficits, only when its options change. */
  private getPolicy ({ inventory, rules }: Declarations): CapacityPolicy {
    const longestMs = Math.max(0, ...inventory.services.map((service) => service.attemptTimeoutMs))
    const options: CapacityPolicyOptions = { weights: rules.weights, moveMs: fleetOptions.drainNoticeMs + longestMs + endpointOptions.timedOutSlotHoldMs }
    if (this.policy === undefined || !isDeepStrictEqual(options, this.policyOptions)) {
      this.policy = CapacityPolicy.create(options)
      this.policyOptions = options
    }
    return this.policy
  }

  /** Returns the demand of every pool, or undefined if the demand of a service has not been reported recently. */
  private getDemands (declarations: Declarations): PoolDemand[] | undefined {
    const nowMs = this.options.timers.now()
    const { inventory, rules } = declarations
    const demandVmsByPool = new Map<string, number>()
    for (const service of inventory.services) {
      const reported = this.reportedDemand.get(service.id)
      if (reported === undefined || nowMs - reported.atMs > fleetOptions.demandMaxAgeMs) return undefined
      const slotsPerVm = Math.max(...service.endpoints.map(({ slots }) => slots))
      demandVmsByPool.set(service.pool, (demandVmsByPool.get(service.pool) ?? 0) + reported.slots / slotsPerVm)
    }
    const incoming = this.countIncoming(inventory)
    return inventory.pools.map(({ id }) => ({
      poolId: id,
      demandVms: demandVmsByPool.get(id) ?? 0,
      members: [...this.options.rows.listVmsOf(id).values()].filter(({ value }) => value.state === VmState.Active).length,
      incoming: incoming.get(id) ?? 0,
      minAvailable: rules.budgets.find((budget) => budget.pool === id)?.minAvailable ?? 0,
    }))
  }

  /** Returns, by pool, the number of VMs that are lent to the pool and have not moved there yet. */
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

  /**
   * Returns the VMs of a spare pool that may be lent or returned now: those that are active in the pool
   * that they are lent to, or in the spare pool if they are not lent.
   */
  private listLendable (home: string, { inventory }: Declarations): LendableVm[] {
    const { rows } = this.options
    return inventory.vms.filter((vm) => vm.pool === home).flatMap((vm) => {
      const row = rows.listVms().get(vm.id)?.value
      const settled = row?.state === VmState.Active && row.pool === (rows.getLoan(vm.id)?.value.pool ?? home)
      return settled && row !== undefined ? [{ vmId: vm.id, pool: row.pool, home }] : []
    })
  }

  /** Writes a loan, or deletes it if the VM returns to `home`, the spare pool that it belongs to. */
  private async writeLoan ({ vmId, pool }: LoanDecision, home: string, leaseRevision: number): Promise<void> {
    const { rows, table, log } = this.options
    const change = { key: fleetKeys.loan(vmId), revision: rows.getLoan(vmId)?.revision ?? 0, ...pool === home ? {} : { value: { format: 1, pool } } }
    const res = await table.transact({
      conditions: [{ key: fleetKeys.lease(home), revision: leaseRevision }, { key: change.key, revision: change.revision }],
      writes: [{ key: change.key, value: change.value }],
    })
    if (!res.ok) return
    rows.applyOwnWrites([change], res.value)
    log.write(EventCode.VmLent, { vmId, pool, home })
  }
}
