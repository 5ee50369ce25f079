/**
 * Brings one pool to its declared state, step by step.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { PlatformErrorKind, VmPowerState, type Platform } from '@vanillathread/ports'
import {
  buildStepChanges, FleetStepKind, planPool, VmState,
  type FleetStep, type LeaseRecord, type PoolView, type RowChange, type Stored, type VmRecord, type VmObservation, fleetKeys,
} from '@vanillathread/policy'
import { fleetOptions } from '../options.js'
import type { FleetRows } from './FleetRows.js'
import type { PoolLeases } from './PoolLeases.js'

/** The inputs of a pool's plan that come from the declarations and from the fleet list. */
export interface PoolContext {
  /** Builds the view of a pool without the observed states of its VMs. */
  getView (poolId: string): Omit<PoolView, 'observations'>
  /** Returns true unless the fleet list lacks the VM, or undefined if the list may be older than the VM's last change. */
  isListed (vmId: string, changedAtMs: number): boolean | undefined
  /** Returns the longest time for which an attempt can occupy a slot on a VM, in milliseconds. */
  getLongestAttemptMs (vmId: string): number
}

/** Options of {@link PoolController.create}. */
export interface PoolControllerOptions {
  readonly poolId: string
  readonly platform: Platform
  readonly rows: FleetRows
  readonly leases: PoolLeases
  readonly context: PoolContext
  readonly timers: TimerService
  readonly log: EventLog
}

/** A drain of a VM as observed by this controller. */
interface ObservedDrain {
  /** Epoch of the VM's row during the drain. */
  readonly epoch: number
  /** Monotonic time at which this controller first observed the drain. */
  readonly sinceMs: number
}

/** Result of a step. */
enum StepResult {
  Done = 'done',
  /** The rows have changed; the pool must be planned again. */
  Stale = 'stale',
  /** No further step can be taken in this period. */
  Stop = 'stop',
}

/** Controls one pool while this daemon holds its lease. */
export class PoolController {
  /** Drains in progress, by VM id. */
  private readonly drains = new Map<string, ObservedDrain>()
  /** True while {@link PoolController.tick} runs, so that two runs do not overlap. */
  private busy = false

  private constructor (private readonly options: PoolControllerOptions) {}

  static create (options: PoolControllerOptions): PoolController {
    return new PoolController(options)
  }

  /** Carries out the pool's next steps if this daemon controls the pool. */
  async tick (): Promise<void> {
    if (this.busy) return
    this.busy = true
    try {
      await this.runSteps()
    } finally {
      this.busy = false
    }
  }

  /** Takes up to `stepsPerPlan` steps, and plans the pool again before each of them. */
  private async runSteps (): Promise<void> {
    // VMs whose reboot was called already. The call is repeated only in a later period.
    const skipped = new Set<string>()
    for (let count = 0; count < fleetOptions.stepsPerPlan; count++) {
      const lease = await this.options.leases.acquireOrRelease(this.options.poolId)
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
    const base = this.options.context.getView(this.options.poolId)
    const observations = new Map<string, VmObservation>()
    for (const [vmId, { value }] of base.vms) observations.set(vmId, await this.observeVm(vmId, value))
    return { ...base, observations }
  }

  private async observeVm (vmId: string, vm: VmRecord): Promise<VmObservation> {
    const listed = this.options.context.isListed(vmId, vm.sinceMs)
    const drained = this.isDrained(vmId, vm)
    // Only VMs that are rebooting, lost or missing from the list are looked up on the platform, as these are few.
    const listSuffices = vm.state !== VmState.Rebooting && vm.state !== VmState.Lost && listed !== false
    if (listSuffices) return { alive: listed, drained }
    const res = await this.options.platform.vms.readState(vmId)
    if (!res.ok || res.value === undefined) return { alive: res.ok ? false : undefined, drained }
    const running = res.value.power === VmPowerState.Running
    const { lastOperationId } = res.value
    return { alive: this.isAlive(running, listed), running, drained, ...lastOperationId === undefined ? {} : { lastOperationId } }
  }

  /** Returns false if the VM is not running, true if it runs and the fleet list contains it, and undefined if neither is certain. */
  private isAlive (running: boolean, listed: boolean | undefined): boolean | undefined {
    if (!running) return false
    return listed === true ? true : undefined
  }

  /**
   * Returns true if a draining VM has no attempts left: enough time has passed for every daemon to learn of
   * the drain and for the last attempt to end or time out.
   */
  private isDrained (vmId: string, vm: VmRecord): boolean {
    if (vm.state !== VmState.Draining) {
      this.drains.delete(vmId)
      return false
    }
    const nowMs = this.options.timers.now()
    let drain = this.drains.get(vmId)
    if (drain === undefined || drain.epoch !== vm.epoch) {
      drain = { epoch: vm.epoch, sinceMs: nowMs }
      this.drains.set(vmId, drain)
    }
    return nowMs - drain.sinceMs >= fleetOptions.drainNoticeMs + this.options.context.getLongestAttemptMs(vmId)
  }

  /** Carries out a step: calls the platform if the step is the call of a reboot, otherwise writes the row changes of the step. */
  private async execute (step: FleetStep, view: PoolView, lease: Stored<LeaseRecord>): Promise<StepResult> {
    if (step.kind === FleetStepKind.CallReboot) return this.callReboot(step.vmId, step.operationId)
    const vm = view.vms.get(step.vmId)?.value
    const changes = buildStepChanges(step, {
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
      rows.applyOwnWrites(changes, res.value)
      return StepResult.Done
    }
    // If the answer was lost, the next plan starts from the rows, which show whether the write took effect.
    return res.error.kind === PlatformErrorKind.Unavailable ? StepResult.Stop : StepResult.Stale
  }

  /**
   * Calls the platform to carry out the reboot that the VM's row records. The lease and the row are read again
   * immediately before the call, so that a controller that was paused does not act on outdated rows. If that takes
   * `leaseCheckMaxAgeMs` or longer, the call is not made.
   */
  private async callReboot (vmId: string, operationId: string): Promise<StepResult> {
    const { platform, rows, leases, timers, poolId, log } = this.options
    const checkStartedMs = timers.now()
    if (!await rows.refresh()) return StepResult.Stop
    const row = rows.listVms().get(vmId)?.value
    const stillWanted = leases.getHeld(poolId) !== undefined && row?.state === VmState.Rebooting && row.operationId === operationId
    if (!stillWanted || timers.now() - checkStartedMs >= fleetOptions.leaseCheckMaxAgeMs) return StepResult.Stale
    const res = await platform.vms.reboot(vmId, operationId)
    log.write(EventCode.RebootRequested, { vmId, operationId, answered: res.ok })
    return StepResult.Done
  }
}
