/**
 * The machines of a shard as the platform last listed them, and the VMs on them.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode, Result } from '@vanillathread/model'
import type { JobScheduler, TrackedVm } from '@vanillathread/policy'
import type { Machine, MachineService } from '@vanillathread/ports'

/** Options of {@link MachineDirectory.create}. */
export interface MachineDirectoryOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly machines: MachineService
  readonly scheduler: JobScheduler
  /** Called after each list that was read. */
  onList (): void
}

/** Reads the list of machines and finds machines and VMs. */
export class MachineDirectory {
  /** Machines by id, as of the last list; a finished move updates the pool. */
  private readonly machinesById = new Map<string, Machine>()
  /** The VM on each machine that answered last, see `indexVms`. */
  private readonly vmsByMachine = new Map<string, TrackedVm>()
  /** Time at which the last list was requested, or minus infinity before the first one. */
  listedAtMs = -Infinity
  private listInFlight = false
  private disposed = false

  private constructor (private readonly options: MachineDirectoryOptions) {}

  static create (options: MachineDirectoryOptions): MachineDirectory {
    return new MachineDirectory(options)
  }

  get isListed (): boolean {
    return this.listedAtMs >= 0
  }

  get machines (): Machine[] {
    return [...this.machinesById.values()]
  }

  dispose (): void {
    this.disposed = true
  }

  findMachine (id: string): Machine | undefined {
    return this.machinesById.get(id)
  }

  findVm (machine: string): TrackedVm | undefined {
    return this.vmsByMachine.get(machine)
  }

  /** Records that a machine has been moved, until the next list. */
  setPool (id: string, pool: string): void {
    const machine = this.machinesById.get(id)
    if (machine !== undefined) this.machinesById.set(id, { ...machine, pool })
  }

  /** Indexes the VMs by their machine. An index is used only in the call that made it, as VMs come and go. */
  indexVms (): void {
    this.vmsByMachine.clear()
    for (const vm of this.options.scheduler.state.vms.values()) {
      const { machine } = vm.entry
      const other = machine && this.vmsByMachine.get(machine)
      if (machine !== undefined && (!other || other.lastReportSentAtMs < vm.lastReportSentAtMs)) this.vmsByMachine.set(machine, vm)
    }
  }

  /** Reads the list if the last one was requested `periodMs` ago. */
  async refresh (periodMs: number): Promise<void> {
    const { timers, machines, log, onList } = this.options
    const nowMs = timers.now()
    if (this.listInFlight || nowMs - this.listedAtMs < periodMs) return
    this.listInFlight = true
    const res = await machines.list().catch((err: unknown) => Result.err(String(err)))
    this.listInFlight = false
    if (this.disposed) return
    if (!res.ok) {
      log.write(EventCode.StoreCallFailed, { call: 'list machines', reason: res.error })
      return
    }
    this.listedAtMs = nowMs
    this.machinesById.clear()
    for (const machine of res.value) this.machinesById.set(machine.id, machine)
    this.retireMovedVms()
    onList()
  }

  /**
   * Forgets VMs that ended when a previous owner moved their machine: they are not registered, have not answered this owner,
   * and the list shows their machine in another pool.
   */
  private retireMovedVms (): void {
    const { scheduler } = this.options
    for (const vm of [...scheduler.state.vms.values()]) {
      const machine = this.machinesById.get(vm.entry.machine ?? '')
      if (machine === undefined || vm.isReconciled || vm.registered || machine.vmId === vm.id) continue
      if (machine.pool !== vm.entry.pool) scheduler.retireVm(vm.id, 'the list has its machine in another pool')
    }
  }
}
