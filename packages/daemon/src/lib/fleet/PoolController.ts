/**
 * Brings one pool, step by step, to what is declared.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { PlatformErrorKind, VmPowerState, type Platform } from '@vanillathread/ports'
import {
  buildStep, FleetStepKind, planPool, VmState,
  type FleetStep, type LeaseRecord, type PoolView, type RowChange, type Stored, type VmRecord, type VmSighting, fleetKeys,
} from '@vanillathread/policy'
import { fleetOptions } from '../options.js'
import type { FleetRows } from './FleetRows.js'
import type { LeaseKeeper } from './LeaseKeeper.js'

/** The declared side of a pool's view, and what the fleet list says. */
export interface PoolSurroundings {
  /** Builds the view without sightings. */
  getView (poolId: string): Omit<PoolView, 'sightings'>
  isListed (vmId: string, changedAtMs: number): boolean | undefined
  /** Longest time for which a request can be in flight on a VM, in milliseconds. */
  getLongestAttemptMs (vmId: string): number
}

/** Options of {@link PoolController.create}. */
export interface PoolControllerOptions {
  readonly poolId: string
  readonly platform: Platform
  readonly rows: FleetRows
  readonly leases: LeaseKeeper
  readonly surroundings: PoolSurroundings
  readonly timers: TimerService
  readonly log: EventLog
}

interface DrainWatch {
  readonly epoch: number
  /** Monotonic time at which this controller first saw the drain. */
  readonly sinceMs: number
}

/** Outcome of a step. */
enum StepResult {
  Done = 'done',
  /** The rows have changed; the plan is made anew. */
  Stale = 'stale',
  /** Nothing more can be done now. */
  Stop = 'stop',
}

/** Controls one pool while this daemon holds its lease. */
export class PoolController {
  private readonly drains = new Map<string, DrainWatch>()
  private busy = false

  private constructor (private readonly options: PoolControllerOptions) {}

  static create (options: PoolControllerOptions): PoolController {
    return new PoolController(options)
  }

  /** Takes the pool's next steps, where this daemon controls it. */
  async tick (): Promise<void> {
    if (this.busy) return
    this.busy = true
    try {
      await this.runSteps()
    } finally {
      this.busy = false
    }
  }

  private async runSteps (): Promise<void> {
    const skipped = new Set<string>()
    for (let count = 0; count < fleetOptions.stepsPerPlan; count++) {
      const lease = await this.options.leases.settle(this.options.poolId)
      if (lease === undefined) return
      const view = await this.createView()
      const step = planPool(view).find(({ vmId }) => !skipped.has(vmId))
      if (step === undefined) return
      const result = await this.execute(step, view, lease)
      if (result === StepResult.Stop) return
      if (result === StepResult.Stale) await this.options.rows.refresh()
      else if (step.kind === FleetStepKind.CallReboot) skipped.add(step.vmId)
    }
  }

  private async createView (): Promise<PoolView> {
    const base = this.options.surroundings.getView(this.options.poolId)
    const sightings = new Map<string, VmSighting>()
    for (const [vmId, { value }] of base.vms) sightings.set(vmId, await this.getSighting(vmId, value))
    return { ...base, sightings }
  }

  private async getSighting (vmId: string, vm: VmRecord): Promise<VmSighting> {
    const listed = this.options.surroundings.isListed(vmId, vm.sinceMs)
    const drained = this.isDrained(vmId, vm)
    // The platform is asked about the few VMs that a reboot, a loss or the list makes uncertain.
    const certain = vm.state !== VmState.Rebooting && vm.state !== VmState.Lost && listed !== false
    if (certain) return { alive: listed, drained }
    const res = await this.options.platform.vms.observe(vmId)
    if (!res.ok || res.value === undefined) return { alive: res.ok ? false : undefined, drained }
    const running = res.value.power === VmPowerState.Running
    const { lastOperationId } = res.value
    return { alive: this.isAlive(running, listed), running, drained, ...lastOperationId === undefined ? {} : { lastOperationId } }
  }

  /** A VM that the list lacks and the platform sees running is neither alive nor lost for certain. */
  private isAlive (running: boolean, listed: boolean | undefined): boolean | undefined {
    if (!running) return false
    return listed === true ? true : undefined
  }

  /** A drain ends when every daemon has learned of it and the last attempt has ended or timed out. */
  private isDrained (vmId: string, vm: VmRecord): boolean {
    if (vm.state !== VmState.Draining) {
      this.drains.delete(vmId)
      return false
    }
    const nowMs = this.options.timers.now()
    let watch = this.drains.get(vmId)
    if (watch === undefined || watch.epoch !== vm.epoch) {
      watch = { epoch: vm.epoch, sinceMs: nowMs }
      this.drains.set(vmId, watch)
    }
    return nowMs - watch.sinceMs >= fleetOptions.noticeMs + this.options.surroundings.getLongestAttemptMs(vmId)
  }

  private async execute (step: FleetStep, view: PoolView, lease: Stored<LeaseRecord>): Promise<StepResult> {
    if (step.kind === FleetStepKind.CallReboot) return this.callReboot(step.vmId, step.operationId)
    const vm = view.vms.get(step.vmId)?.value
    const changes = buildStep(step, {
      view,
      operationId: `${step.vmId}:${(vm?.epoch ?? 0) + 1}`,
      ...step.kind === FleetStepKind.FinishMove ? { targetBudget: this.options.rows.getBudget(step.target) } : {},
    })
    if (changes === undefined) return StepResult.Stop
    const result = await this.commit(changes, lease)
    if (result === StepResult.Done) this.options.log.write(EventCode.FleetStepTaken, { pool: view.poolId, vmId: step.vmId, step: step.kind })
    return result
  }

  private async commit (changes: readonly RowChange[], lease: Stored<LeaseRecord>): Promise<StepResult> {
    const { platform, rows, poolId } = this.options
    const res = await platform.table.transact({
      conditions: [{ key: fleetKeys.lease(poolId), revision: lease.revision }, ...changes.map(({ key, revision }) => ({ key, revision }))],
      writes: changes.map(({ key, value }) => ({ key, value })),
    })
    if (res.ok) {
      rows.noteWritten(changes, res.value)
      return StepResult.Done
    }
    // After a lost answer the rows say what happened; the next plan starts from them.
    return res.error.kind === PlatformErrorKind.Unavailable ? StepResult.Stop : StepResult.Stale
  }

  /**
   * Asks the platform for a recorded reboot. The lease and the VM's row are read again right before,
   * so that a controller that was paused does not act on what it knew earlier.
   */
  private async callReboot (vmId: string, operationId: string): Promise<StepResult> {
    const { platform, rows, leases, timers, poolId, log } = this.options
    const verifiedMs = timers.now()
    if (!await rows.refresh()) return StepResult.Stop
    const row = rows.listVms().get(vmId)?.value
    const stillWanted = leases.getHeld(poolId) !== undefined && row?.state === VmState.Rebooting && row.operationId === operationId
    if (!stillWanted || timers.now() - verifiedMs >= fleetOptions.fenceMs) return StepResult.Stale
    const res = await platform.vms.reboot(vmId, operationId)
    log.write(EventCode.RebootRequested, { vmId, operationId, answered: res.ok })
    return StepResult.Done
  }
}
