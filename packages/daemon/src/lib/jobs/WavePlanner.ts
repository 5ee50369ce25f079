/**
 * Plans the maintenance of the machines of waves.
 */
import { planWave, WaveMachineState, type JobScheduler, type TrackedVm, type WaveMachine } from '@vanillathread/policy'
import { MachineState, type Machine, type MaintenanceWave } from '@vanillathread/ports'
import type { WaveProgress, WaveProgressStore } from './WaveProgressStore.js'

/** A move or maintenance in progress, as far as waves need to know it. */
export interface OperationView {
  /** Wave of a maintenance, or undefined for a move. */
  readonly wave?: number
  readonly phase: 'evacuating' | 'ordering' | 'underway'
}

/** Options of {@link WavePlanner.create}. */
export interface WavePlannerOptions {
  readonly waves: WaveProgressStore
  readonly scheduler: JobScheduler
  /** Time from which orders for machines may be given. */
  readonly ordersAllowedFromMs: number
  getWaves (): Iterable<MaintenanceWave>
  /** Returns a machine as last listed. */
  findMachine (id: string): Machine | undefined
  findOperation (machine: string): OperationView | undefined
  findVm (machine: string): TrackedVm | undefined
}

/** A machine whose maintenance is to begin. */
export interface DueMaintenance {
  readonly machine: string
  readonly wave: number
}

/** Follows the waves and chooses the machines whose maintenance begins. */
export class WavePlanner {
  /** Number of consecutive lists that lacked a machine of a wave, by machine. */
  private readonly missingListCounts = new Map<string, number>()

  private constructor (private readonly options: WavePlannerOptions) {}

  static create (options: WavePlannerOptions): WavePlanner {
    return new WavePlanner(options)
  }

  /** Records that the list of machines was read, and which machines of waves it lacks. */
  recordList (): void {
    for (const wave of this.options.getWaves()) {
      for (const id of wave.machines) {
        if (this.options.findMachine(id) === undefined) this.missingListCounts.set(id, (this.missingListCounts.get(id) ?? 0) + 1)
      }
    }
  }

  /** Returns the machines whose maintenance begins now, and reports complete waves. */
  plan (nowMs: number): DueMaintenance[] {
    const { waves, getWaves, ordersAllowedFromMs } = this.options
    const due: DueMaintenance[] = []
    for (const wave of getWaves()) {
      const record = waves.get(wave)
      if (record === undefined || record.complete) continue
      this.markRemovedMachines(wave)
      const machines = wave.machines.map((id) => this.describe(wave, id, record))
      if (machines.every((machine) => machine.state === WaveMachineState.Ended)) {
        waves.complete(wave)
        continue
      }
      if (nowMs < ordersAllowedFromMs) continue
      const chosen = planWave({ cap: wave.cap, machines, usableVmsByPool: this.countUsableVms(nowMs) })
      for (const machine of [...this.listUnansweredOrders(wave, record), ...chosen]) due.push({ machine, wave: wave.number })
    }
    return due
  }

  private describe (wave: MaintenanceWave, id: string, record: WaveProgress): WaveMachine {
    const machine = this.options.findMachine(id)
    const operation = this.options.findOperation(id)
    const vm = this.options.findVm(id)
    return {
      id,
      state: this.getState(wave, id, record, operation),
      pool: vm?.entry.pool ?? machine?.pool ?? '',
      longRunningTasks: [...vm?.runs.values() ?? []].filter((run) => run.task.step.spec.longRunning).length,
      usedCpuMillis: vm === undefined ? 0 : vm.entry.capacity.cpuMillis - vm.freeCpuMillis,
      occupied: (operation !== undefined && operation.wave !== wave.number) || machine?.state === MachineState.Moving,
    }
  }

  /**
   * Returns a machine's state in a wave. Only the platform's answer proves that a maintenance has begun, as a new VM may
   * have other causes.
   */
  private getState (wave: MaintenanceWave, id: string, record: WaveProgress, operation: OperationView | undefined): WaveMachineState {
    const { state } = this.options.findMachine(id) ?? {}
    if (operation?.wave === wave.number) return operation.phase === 'evacuating' && !record.ordered.has(id) ? WaveMachineState.Evacuating : WaveMachineState.Down
    if (state === MachineState.InMaintenance) return WaveMachineState.Down
    if (record.begun.has(id)) return WaveMachineState.Ended
    if (record.ordered.has(id)) return WaveMachineState.Down
    return WaveMachineState.Due
  }

  /** Lists the machines whose maintenance a previous owner may have ordered without receiving the answer. */
  private listUnansweredOrders (wave: MaintenanceWave, record: WaveProgress): string[] {
    const { findMachine, findOperation } = this.options
    return wave.machines.filter((id) => record.ordered.has(id) && !record.begun.has(id) && findOperation(id) === undefined && findMachine(id)?.state === MachineState.Up)
  }

  /** Marks a machine as begun in a wave if it has no VM and several consecutive lists lacked it, as it no longer exists. */
  private markRemovedMachines (wave: MaintenanceWave): void {
    const { waves, findMachine, findVm } = this.options
    for (const id of wave.machines) {
      if (findMachine(id) !== undefined || findVm(id) !== undefined) this.missingListCounts.delete(id)
      else if ((this.missingListCounts.get(id) ?? 0) >= REMOVED_AFTER_LISTS) waves.markBegun(wave.number, id)
    }
  }

  /** Counts the VMs that may get new tasks, by pool. */
  private countUsableVms (nowMs: number): Map<string, number> {
    const usableByPool = new Map<string, number>()
    for (const vm of this.options.scheduler.state.vms.values()) {
      if (vm.isUsable(nowMs)) usableByPool.set(vm.entry.pool, (usableByPool.get(vm.entry.pool) ?? 0) + 1)
    }
    return usableByPool
  }
}

/**
 * Number of consecutive lists that must lack a machine before it counts as removed: one list may be read while the machine
 * changes its pool.
 */
const REMOVED_AFTER_LISTS = 2
