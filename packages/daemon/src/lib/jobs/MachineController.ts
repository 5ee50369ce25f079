/**
 * Carries out machine operations: moves between pools, and maintenance in waves.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type PoolRules } from '@vanillathread/model'
import { CapacityPlanner, type JobScheduler, type PlannedMachine, type TrackedVm } from '@vanillathread/policy'
import { MachineRefusal, MachineState, type FleetFeeds, type Machine, type MachineAnswer, type MachineService, type RowCondition, type RowStore, type MaintenanceWave } from '@vanillathread/ports'
import { machineOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import { createMachineOperation, type MachineOperation, type MachineOperationPlan } from './MachineOperation.js'
import { WavePlanner } from './WavePlanner.js'
import { WaveProgressStore } from './WaveProgressStore.js'

/** Options of {@link MachineController.create}. */
export interface MachineControllerOptions {
  readonly shard: string
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly machines: MachineService
  readonly scheduler: JobScheduler
  readonly ownerRow: RowCondition
  /**
   * Time from which orders for machines may be given. If the platform does not check fencing tokens, the last order of a
   * previous owner is older than the order lease by then.
   */
  readonly ordersAllowedFromMs: number
  getPools (): readonly PoolRules[]
  getWaves (): Iterable<MaintenanceWave>
  /** Called if a machine or the store shows that another daemon owns the shard. */
  onSuperseded (reason: string): void
  /** Called after a change that planning may act on. */
  onChange (): void
}

/** Plans operations on a shard's machines, evacuates their VMs and gives the orders. */
export class MachineController {
  /** Machines by id, as of the last list; a finished move updates the pool. */
  private readonly machinesById = new Map<string, Machine>()
  /** Operations in progress, by machine. */
  private readonly operations = new Map<string, MachineOperation>()
  private readonly waves: WaveProgressStore
  private readonly planner: CapacityPlanner
  private readonly timer: Subscription
  private readonly wavePlanner: WavePlanner
  /** First VM on each machine, see `indexVms`. */
  private readonly vmsByMachine = new Map<string, TrackedVm>()
  /** Time at which the last list was requested, or minus infinity before the first one. */
  private listedAtMs = -Infinity
  private listInFlight = false
  private disposed = false

  private constructor (private readonly options: MachineControllerOptions) {
    this.waves = WaveProgressStore.create(options)
    this.wavePlanner = WavePlanner.create({
      ...options,
      waves: this.waves,
      findMachine: (id) => this.machinesById.get(id),
      findOperation: (id) => this.operations.get(id),
      findVm: (id) => this.findVm(id),
    })
    this.planner = CapacityPlanner.create({ moveMs: options.settings.moveMs, ...machineOptions.capacity })
    this.timer = options.timers.every(machineOptions.periodMs, () => { this.runCycle() })
    this.refreshMachines(options.timers.now())
  }

  static create (options: MachineControllerOptions): MachineController {
    return new MachineController(options)
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
  }

  /** Evacuates VMs that have started on machines with a pending operation, as its order ends every run on the machine. */
  evacuateNewVms (): void {
    const nowMs = this.options.timers.now()
    this.indexVms()
    for (const operation of this.operations.values()) {
      const vm = this.findVm(operation.machine)
      if (vm === undefined || vm.id === operation.vmId || operation.phase === 'underway') continue
      // An order in flight may have been carried out before this VM started. The operation therefore keeps the VM that the
      // order was sent for, which is retired if the answer shows that the order was carried out.
      if (operation.phase === 'evacuating') {
        operation.mayPrecedeVm ||= operation.sent
        operation.vmId = vm.id
        operation.former = { vmId: vm.id, bornMs: vm.entry.bornMs }
      }
      this.options.scheduler.evacuate(vm.id, nowMs + machineOptions.finiteTaskGraceMs)
    }
  }

  /**
   * Reads the list of machines if it is due, then plans operations and advances those in progress. Plans nothing before the
   * first list, or while the store does not answer.
   */
  private runCycle (): void {
    const nowMs = this.options.timers.now()
    this.refreshMachines(nowMs)
    if (this.listedAtMs < 0) return
    if (this.options.rows.getTimeSinceAnswerMs() > machineOptions.storeSilentMs) return
    this.indexVms()
    for (const { machine, wave } of this.wavePlanner.plan(nowMs)) this.beginOperation({ machine, wave }, nowMs)
    this.planMoves(nowMs)
    this.evacuateNewVms()
    for (const operation of [...this.operations.values()]) this.advance(operation, nowMs)
  }

  /** Reads the list of machines if it is due, which it is more often while an operation is underway. */
  private async refreshMachines (nowMs: number): Promise<void> {
    const underway = [...this.operations.values()].some((operation) => operation.phase === 'underway')
    const periodMs = underway ? machineOptions.busyListPeriodMs : machineOptions.listPeriodMs
    if (this.listInFlight || nowMs - this.listedAtMs < periodMs) return
    this.listInFlight = true
    const res = await this.options.machines.list()
    this.listInFlight = false
    if (this.disposed) return
    if (!res.ok) {
      this.options.log.write(EventCode.StoreCallFailed, { call: 'list machines', reason: res.error })
      return
    }
    this.listedAtMs = nowMs
    this.machinesById.clear()
    for (const machine of res.value) this.machinesById.set(machine.id, machine)
    this.retireMovedVms()
    this.wavePlanner.recordList()
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

  private planMoves (nowMs: number): void {
    if (nowMs < this.options.ordersAllowedFromMs) return
    const clocks = { nowMs, storeNowMs: this.options.rows.getStoreClockMs() }
    const pools = this.options.getPools().map((pool) => ({ standby: pool.standby, demand: this.options.scheduler.getDemand(pool.name, clocks) }))
    const machines = [...this.machinesById.values()].map((machine) => this.describeMachine(machine, nowMs)).filter((machine) => machine !== undefined)
    for (const move of this.planner.plan(nowMs, pools, machines)) {
      this.options.log.write(EventCode.MoveOrdered, { machine: move.machine, fromPool: move.fromPool, toPool: move.toPool, reason: move.reason })
      this.beginOperation({ machine: move.machine, toPool: move.toPool }, nowMs)
    }
  }

  /** Describes a machine for capacity planning. Returns undefined if the machine currently provides no capacity. */
  private describeMachine (machine: Machine, nowMs: number): PlannedMachine | undefined {
    const { id, capacity } = machine
    const idle = { id, capacity, drainable: false, usedCpuMillis: 0 }
    const operation = this.operations.get(id)
    if (operation?.toPool !== undefined) return { ...idle, pool: operation.toPool, movable: false }
    const vm = this.findVm(id)
    const pool = vm?.entry.pool ?? machine.pool
    // A machine of a wave, or one whose VM leaves, provides no capacity, so its pool may get another machine.
    if (operation !== undefined || vm?.isLeaving === true) return undefined
    if (vm !== undefined) {
      const usable = vm.isUsable(nowMs)
      const drainable = usable && [...vm.runs.values()].every((run) => !run.task.step.spec.longRunning)
      return { id, capacity, pool, movable: usable && vm.runs.size === 0, drainable, usedCpuMillis: capacity.cpuMillis - vm.freeCpuMillis }
    }
    const standby = this.options.getPools().some((rules) => rules.standby && rules.name === machine.pool)
    if (standby) return { ...idle, pool, movable: machine.state === MachineState.Up || machine.state === MachineState.Down }
    return machine.state === MachineState.Moving || machine.state === MachineState.InMaintenance ? { ...idle, pool, movable: false } : undefined
  }

  private beginOperation (plan: MachineOperationPlan, nowMs: number): void {
    const vm = this.findVm(plan.machine)
    this.operations.set(plan.machine, createMachineOperation(plan, vm))
    if (vm === undefined) return
    this.options.log.write(EventCode.EvacuationStarted, { vm: vm.id, machine: plan.machine, wave: plan.wave, toPool: plan.toPool, runs: vm.runs.size })
    this.options.scheduler.evacuate(vm.id, nowMs + machineOptions.finiteTaskGraceMs)
    this.options.onChange()
  }

  private advance (operation: MachineOperation, nowMs: number): void {
    if (operation.phase === 'evacuating') {
      if (operation.vmId === undefined || this.options.scheduler.isEvacuated(operation.vmId)) this.sendOrder(operation)
    } else if (operation.phase === 'underway') {
      this.checkReturn(operation, nowMs)
    }
  }

  /** Sends the order for an evacuated machine. A maintenance order is stored first, so that a successor knows of it. */
  private async sendOrder (operation: MachineOperation): Promise<void> {
    const { machines, settings, ownerRow, timers, log } = this.options
    operation.phase = 'ordering'
    if (operation.wave !== undefined) operation.mayPrecedeVm ||= this.waves.isRecordedForOtherVm(operation.wave, operation.machine, operation.former)
    if (operation.wave !== undefined && !await this.waves.recordOrder(operation.wave, operation.machine, operation.former)) {
      operation.phase = 'evacuating'
      return
    }
    if (this.disposed) return
    if (operation.wave !== undefined) log.write(EventCode.MaintenanceOrdered, { machine: operation.machine, wave: operation.wave, formerVm: operation.former.vmId, listAgeMs: Math.round(timers.now() - this.listedAtMs) })
    const orderer = { holder: settings.name, fencingToken: ownerRow.version }
    const sentAtMs = timers.now()
    operation.sent = true
    const answer = operation.wave !== undefined
      ? await machines.maintain(operation.machine, operation.wave, orderer)
      : await machines.move(operation.machine, operation.toPool ?? '', orderer)
    if (this.disposed) return
    log.write(operation.wave === undefined ? EventCode.MoveAnswered : EventCode.MaintenanceAnswered, {
      machine: operation.machine, wave: operation.wave, toPool: operation.toPool, outcome: answer.kind, reason: describeAnswer(answer), tookMs: Math.round(timers.now() - sentAtMs),
    })
    if (answer.kind === 'done') {
      if (!operation.mayPrecedeVm) this.retireFormerVm(operation)
      if (operation.wave !== undefined) this.waves.markBegun(operation.wave, operation.machine)
      operation.phase = 'underway'
      operation.confirmedAtMs = timers.now()
      this.options.onChange()
      return
    }
    this.applyFailure(operation, answer)
  }

  /** Handles an order that was refused or has an unknown outcome. */
  private applyFailure (operation: MachineOperation, answer: MachineAnswer): void {
    const refusal = answer.kind === 'refused' ? answer.refusal : undefined
    if (refusal === MachineRefusal.Fenced) {
      this.options.onSuperseded(`machine ${operation.machine} has seen a higher fencing token`)
      return
    }
    if (operation.wave !== undefined && (refusal === MachineRefusal.NotInWave || refusal === MachineRefusal.UnknownMachine)) {
      // This order will never be carried out. The machine counts as begun, so that the wave can be completed.
      this.waves.markBegun(operation.wave, operation.machine)
      this.finish(operation)
      return
    }
    // A refused move is planned anew. Any other order is sent again, as it may have been carried out.
    if (operation.wave === undefined && answer.kind === 'refused') this.finish(operation)
    else this.options.timers.after(machineOptions.orderRetryMs, () => { operation.phase = 'evacuating' })
  }

  private retireFormerVm ({ vmId, wave }: MachineOperation): void {
    if (vmId !== undefined) this.options.scheduler.retireVm(vmId, wave === undefined ? 'its machine was moved' : 'its machine is in maintenance')
  }

  /**
   * Finishes an operation once the machine is back: its new VM is registered, or a list read after the operation's normal
   * duration shows the machine neither moving nor in maintenance, or lacks it.
   */
  private checkReturn (operation: MachineOperation, nowMs: number): void {
    const { settings } = this.options
    const takesMs = operation.wave === undefined ? settings.moveMs : settings.maintenanceMs
    const vm = this.findVm(operation.machine)
    const machine = this.machinesById.get(operation.machine)
    const { former } = operation
    if (operation.mayPrecedeVm && vm?.id === former.vmId && vm.entry.bornMs === former.bornMs) {
      if (this.listedAtMs <= operation.confirmedAtMs) return
      if (machine?.state !== MachineState.Up || machine.vmId !== vm.id) {
        this.retireFormerVm(operation)
        return
      }
    }
    const listedLater = this.listedAtMs > operation.confirmedAtMs + takesMs
    const settled = machine === undefined || (machine.state !== MachineState.Moving && machine.state !== MachineState.InMaintenance)
    if (vm === undefined && !(listedLater && settled)) return
    if (operation.toPool !== undefined && machine !== undefined) this.machinesById.set(operation.machine, { ...machine, pool: operation.toPool })
    this.finish(operation)
  }

  private finish (operation: MachineOperation): void {
    this.operations.delete(operation.machine)
    const vms = [...this.options.scheduler.state.vms.values()].filter((vm) => vm.entry.machine === operation.machine)
    for (const { id } of vms) this.options.scheduler.endEvacuation(id)
    if (operation.vmId !== undefined) this.options.scheduler.endEvacuation(operation.vmId)
    this.options.onChange()
  }

  /** Indexes the VMs by their machine. An index is used only in the call that made it, as VMs come and go. */
  private indexVms (): void {
    this.vmsByMachine.clear()
    for (const vm of this.options.scheduler.state.vms.values()) {
      const { machine } = vm.entry
      if (machine !== undefined && !this.vmsByMachine.has(machine)) this.vmsByMachine.set(machine, vm)
    }
  }

  private findVm (machine: string): TrackedVm | undefined {
    return this.vmsByMachine.get(machine)
  }
}

function describeAnswer (answer: MachineAnswer): string | undefined {
  if (answer.kind === 'refused') return answer.refusal
  return answer.kind === 'unknown' ? answer.reason : undefined
}
