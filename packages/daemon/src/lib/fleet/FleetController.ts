/**
 * Plans and controls the pools whose leases this daemon holds.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Declarations, type Vm } from '@vanillathread/model'
import type { Platform } from '@vanillathread/ports'
import { canStartMaintenance, decideWave, type DeclaredVm, type PoolView, type VmRecord, type WaveDecision } from '@vanillathread/policy'
import type { ConfigurationStore } from '../configuration/ConfigurationStore.js'
import type { DaemonState } from '../DaemonState.js'
import { endpointOptions, fleetOptions } from '../options.js'
import type { FleetWatch } from './FleetWatch.js'
import { PoolLeases, type LeaseMembership } from './PoolLeases.js'
import { PoolController, type PoolContext } from './PoolController.js'

/** Options of {@link FleetController.create}. */
export interface FleetControllerOptions {
  readonly state: Pick<DaemonState, 'daemonId' | 'incarnation'>
  readonly platform: Platform
  readonly configuration: Pick<ConfigurationStore, 'current'>
  readonly membership: LeaseMembership
  readonly watch: FleetWatch
  readonly timers: TimerService
  readonly log: EventLog
}

/** The declared VMs, indexed for the views of the pools. */
interface DeclaredIndex {
  readonly declarations: Declarations
  /** Number of changes to loan rows seen when the index was built. */
  readonly loans: number
  /** Declared VMs by id. */
  readonly declared: ReadonlyMap<string, DeclaredVm>
  /** Ids of the declared VMs by declared pool. */
  readonly byPool: ReadonlyMap<string, readonly string[]>
}

const MILLISECONDS_PER_DAY = 24 * 60 * 60 * 1000

/** The fleet controller of one daemon, with a pool controller for each pool. */
export class FleetController implements PoolContext {
  private readonly leases: PoolLeases
  private readonly controllers = new Map<string, PoolController>()
  private subscription: Subscription | undefined
  private wave: WaveDecision = { running: true }
  private index: DeclaredIndex | undefined
  /** True while {@link FleetController.tick} runs, so that two runs do not overlap. */
  private ticking = false

  private constructor (private readonly options: FleetControllerOptions) {
    this.leases = PoolLeases.create({ ...options, table: options.platform.table, rows: options.watch.rows })
  }

  static create (options: FleetControllerOptions): FleetController {
    return new FleetController(options)
  }

  start (): void {
    this.subscription = this.options.timers.every(fleetOptions.planPeriodMs, () => { this.tick() })
  }

  /** Acquires or releases the lease of each pool, and carries out the next steps of the pools whose leases this daemon holds. */
  async tick (): Promise<void> {
    const declarations = this.options.configuration.current?.declarations
    if (declarations === undefined || this.ticking || !this.options.watch.rows.isFilled) return
    this.ticking = true
    try {
      this.updateWave()
      const pools = this.listPools(declarations)
      this.leases.updateFirstChoices(pools)
      for (const poolId of pools) await this.getController(poolId).tick()
    } finally {
      this.ticking = false
    }
  }

  /** Returns the pools that this daemon controls. */
  listControlled (): string[] {
    const declarations = this.options.configuration.current?.declarations
    return declarations === undefined ? [] : this.listPools(declarations).filter((poolId) => this.leases.getHeld(poolId) !== undefined)
  }

  /** Decides whether the maintenance wave may continue. */
  getWave (): WaveDecision {
    const { watch, timers } = this.options
    const acknowledged = this.options.configuration.current?.declarations.rules.maintenance.acknowledgedUntil
    const vms = new Map([...watch.rows.listVms()].map(([vmId, { value }]): [string, VmRecord] => [vmId, value]))
    return decideWave(vms, timers.wallClock(), acknowledged === undefined ? 0 : Date.parse(acknowledged))
  }

  /** Builds the view of a pool from the declarations and the rows. */
  getView (poolId: string): Omit<PoolView, 'observations'> {
    const { configuration, watch, timers } = this.options
    const declarations = configuration.current?.declarations
    if (declarations === undefined) throw new Error('cannot plan a pool before a configuration is loaded')
    const rows = watch.rows.listVms()
    const { declared, byPool } = this.getIndex(declarations)
    return {
      poolId,
      nowMs: timers.wallClock(),
      minAvailable: declarations.rules.budgets.find((budget) => budget.pool === poolId)?.minAvailable ?? 0,
      declared,
      vms: watch.rows.listVmsOf(poolId),
      unrecorded: (byPool.get(poolId) ?? []).filter((vmId) => !rows.has(vmId)),
      budget: watch.rows.getBudget(poolId),
      maintenanceAllowed: this.isMaintenanceAllowed(declarations, poolId),
      maintenancePeriodMs: declarations.rules.maintenance.periodDays * MILLISECONDS_PER_DAY,
    }
  }

  /** Returns the declared VMs by id and by pool. The index is rebuilt only when the configuration or a loan has changed. */
  private getIndex (declarations: Declarations): DeclaredIndex {
    if (this.index?.declarations === declarations && this.index.loans === this.options.watch.rows.loanChanges) return this.index
    const declared = new Map<string, DeclaredVm>()
    const byPool = new Map<string, string[]>()
    for (const vm of declarations.inventory.vms) {
      declared.set(vm.id, this.describeVm(vm, declarations))
      byPool.set(vm.pool, [...byPool.get(vm.pool) ?? [], vm.id])
    }
    this.index = { declarations, loans: this.options.watch.rows.loanChanges, declared, byPool }
    return this.index
  }

  /**
   * Returns a declared VM with the pool that it should be in. A loan is in effect only while the VM's declared pool is a
   * spare pool and the borrowing pool is declared.
   */
  private describeVm (vm: Vm, { inventory }: Declarations): DeclaredVm {
    const borrowingPool = this.options.watch.rows.getLoan(vm.id)?.value.pool
    const lent = borrowingPool !== undefined && inventory.pools.some(({ id, spare }) => spare && id === vm.pool) && inventory.pools.some(({ id }) => id === borrowingPool)
    return { id: vm.id, wantedPool: lent ? borrowingPool : vm.pool, zone: vm.zone }
  }

  isListed (vmId: string, changedAtMs: number): boolean | undefined {
    return this.options.watch.isListed(vmId, changedAtMs)
  }

  getLongestAttemptMs (vmId: string): number {
    const services = this.options.configuration.current?.declarations.inventory.services ?? []
    const onVm = services.filter((service) => service.endpoints.some((endpoint) => endpoint.vm === vmId))
    if (onVm.length === 0) return 0
    return Math.max(...onVm.map((service) => service.attemptTimeoutMs)) + endpointOptions.timedOutSlotHoldMs
  }

  /** Releases every lease. Called when the daemon stops. */
  async drain (): Promise<void> {
    this.dispose()
    await this.leases.releaseAll(this.listControlled())
  }

  dispose (): void {
    this.subscription?.dispose()
  }

  /** Returns the pools that are declared or still have VMs. */
  private listPools (declarations: Declarations): string[] {
    return [...new Set([...declarations.inventory.pools.map((pool) => pool.id), ...this.options.watch.rows.listPools()])].sort()
  }

  private getController (poolId: string): PoolController {
    const existing = this.controllers.get(poolId)
    if (existing !== undefined) return existing
    const { platform, watch, timers, log } = this.options
    const controller = PoolController.create({ poolId, platform, rows: watch.rows, leases: this.leases, context: this, timers, log })
    this.controllers.set(poolId, controller)
    return controller
  }

  /**
   * Returns true if the wave is running, the rules do not halt the pool's maintenance, and either a maintenance window
   * of the pool is open or the rules let the pool ignore its windows (`hurried`).
   */
  private isMaintenanceAllowed ({ rules }: Declarations, poolId: string): boolean {
    const { halted, hurried } = rules.maintenance
    if (halted.includes(poolId) || !this.wave.running) return false
    return hurried.includes(poolId) || canStartMaintenance(rules.windows, poolId, this.options.timers.wallClock())
  }

  /** Updates the wave decision and logs when maintenance halts or resumes. */
  private updateWave (): void {
    const previous = this.wave
    this.wave = this.getWave()
    if (!this.wave.running && previous.running) this.options.log.write(EventCode.WaveHalted, { reason: this.wave.reason, vms: this.wave.failedVms.join(',') })
    if (this.wave.running && !previous.running) this.options.log.write(EventCode.WaveResumed, {})
  }
}
