/**
 * VMs that are evacuated, because they drain or because of an order for their machine.
 */
import type { TrackedVm } from '../vms/TrackedVm.js'
import { evacuateVm } from './evacuateVm.js'
import type { SchedulerState } from './SchedulerState.js'

/**
 * Time for which finite tasks run on when their VM drains: most of them end within it, and the VM leaves after two seconds
 * at the earliest.
 */
const DRAINING_TASK_GRACE_MS = 1_200

interface Evacuation {
  /** Time from which finite tasks are stopped. */
  readonly stopFiniteAtMs: number
  /** True if the VM is evacuated only because it drains. */
  readonly isDrain: boolean
}

/** Begins and ends the evacuations of one shard's VMs. */
export class Evacuations {
  /** By the id of the VM. */
  private readonly evacuations = new Map<string, Evacuation>()

  private constructor (private readonly state: SchedulerState) {}

  static create (state: SchedulerState): Evacuations {
    return new Evacuations(state)
  }

  /** Begins to evacuate a VM for an order. Finite tasks run on until `stopFiniteAtMs`, or the time set before. */
  begin (vmId: string, stopFiniteAtMs: number): void {
    this.set(vmId, { stopFiniteAtMs: this.evacuations.get(vmId)?.stopFiniteAtMs ?? stopFiniteAtMs, isDrain: false })
  }

  /** Begins to evacuate a VM that drains, unless it is evacuated already. */
  drain (vmId: string, nowMs: number): void {
    this.set(vmId, this.evacuations.get(vmId) ?? { stopFiniteAtMs: nowMs + DRAINING_TASK_GRACE_MS, isDrain: true })
  }

  /** Ends the evacuation of a VM that drained and does not any more, as it has started again under its id. */
  endDrain (vmId: string): void {
    if (this.evacuations.get(vmId)?.isDrain === true && this.findVm(vmId)?.entry.draining === false) this.end(vmId)
  }

  end (vmId: string): void {
    const vm = this.findVm(vmId)
    if (vm !== undefined) vm.evacuating = false
    this.evacuations.delete(vmId)
  }

  /**
   * Returns true while long-running tasks are evacuated from a VM of the pool. A task may have to wait until others of its
   * step are reported at full pace on other VMs.
   */
  concernsLongRunningTasks (pool: string): boolean {
    for (const vmId of this.evacuations.keys()) {
      const vm = this.findVm(vmId)
      if (vm?.entry.pool !== pool) continue
      for (const run of vm.runs.values()) {
        if (run.task.step.spec.longRunning) return true
      }
    }
    return false
  }

  /** Stops the runs that may be stopped now. */
  stopRuns (nowMs: number): void {
    for (const [vmId, { stopFiniteAtMs }] of this.evacuations) {
      const vm = this.findVm(vmId)
      if (vm !== undefined) evacuateVm(this.state, vm, nowMs, stopFiniteAtMs)
    }
  }

  private set (vmId: string, evacuation: Evacuation): void {
    const vm = this.findVm(vmId)
    if (vm === undefined) return
    vm.evacuating = true
    this.evacuations.set(vmId, evacuation)
  }

  private findVm (vmId: string): TrackedVm | undefined {
    return this.state.vms.get(vmId)
  }
}
