/**
 * Carries out machine operations: moves between pools, and maintenance in waves.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type PoolRules } from '@vanillathread/model'
import type { JobScheduler, PlannedMachine } from '@vanillathread/policy'
import { MachineRefusal, MachineState, type FleetFeeds, type Machine, type MachineAnswer, type MachineService, type RowCondition, type RowStore, type MaintenanceWave } from '@vanillathread/ports'
import { machineOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import { MachineDirectory } from './MachineDirectory.js'
import { createMachineOperation, describeAnswer, type MachineOperation, type MachineOperationPlan } from './MachineOperation.js'
import { MovePlanner } from './MovePlanner.js'
import { readMoment } from './OwnershipProver.js'
import { MoveRecords } from './MoveRecords.js'
import type { OrderedMachines } from './loadOrderedMachines.js'
import type { StoredTurnHistory } from './TurnHistoryStore.js'
import { WavePlanner } from './WavePlanner.js'
import { WaveProgressStore } from './WaveProgressStore.js'

/** What previous owners have recorded about the shard's machines. */
export interface MachineContent {
  /** Orders of earlier owners that may still be carried out. */
  readonly orderedMachines: OrderedMachines
  readonly turnHistory: StoredTurnHistory
}

/** Options of {@link MachineController.create}. */
export interface MachineControllerOptions extends MachineContent {
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
  private readonly directory: MachineDirectory
  /** Operations in progress, by machine. */
  private readonly operations = new Map<string, MachineOperation>()
  private readonly waves: WaveProgressStore
  private readonly moves: MoveRecords
  private readonly planner: MovePlanner
  private readonly timer: Subscription
  private readonly wavePlanner: WavePlanner
  private disposed = false

  private constructor (private readonly options: MachineControllerOptions) {
    this.directory = MachineDirectory.create({ ...options, onList: () => this.wavePlanner.recordList() })
    this.waves = WaveProgressStore.create(options)
    this.moves = MoveRecords.create({ ...options, versions: new Map(options.orderedMachines.moves.map(({ machine, version }) => [machine, version])) })
    this.wavePlanner = WavePlanner.create({
      ...options,
      waves: this.waves,
      findMachine: (id) => this.directory.findMachine(id),
      findOperation: (id) => this.operations.get(id),
      findVm: (id) => this.directory.findVm(id),
    })
    this.planner = MovePlanner.create({ ...options, capacity: { moveMs: options.settings.moveMs, ...machineOptions.capacity }, nowMs: options.timers.now() })
    this.timer = options.timers.every(machineOptions.periodMs, () => { this.runCycle() })
    this.adoptOrders(options.timers.now())
    this.directory.refresh(machineOptions.listPeriodMs)
  }

  static create (options: MachineControllerOptions): MachineController {
    return new MachineController(options)
  }

  dispose (): void {
    this.disposed = true
    this.directory.dispose()
    this.timer.dispose()
  }

  /**
   * Keeps tasks away from machines with orders of earlier owners. Moves are ordered again, so that the platform refuses a late copy
   * of the former order; the wave planner does so for maintenance once it has read the wave.
   */
  private adoptOrders (nowMs: number): void {
    const { moves, maintenances } = this.options.orderedMachines
    this.directory.indexVms()
    for (const { machine, toPool, vmId, bornMs } of moves) {
      // A VM in the target pool shows that the machine was moved, so that a late copy of the order has no effect.
      if (this.directory.findVm(machine)?.entry.pool === toPool) {
        this.moves.remove(machine)
        continue
      }
      this.beginOperation({ machine, toPool }, nowMs)
      const operation = this.operations.get(machine)
      if (operation === undefined) continue
      operation.sent = true
      operation.mayBeCarriedOut = true
      operation.mayPrecedeVm = operation.former.vmId !== vmId || operation.former.bornMs !== bornMs
    }
    for (const { machine, wave } of maintenances) {
      const vm = this.directory.findVm(machine)
      const isRequested = [...this.options.getWaves()].some(({ number }) => number === wave)
      if (vm !== undefined && isRequested) this.options.scheduler.evacuate(vm.id, nowMs + machineOptions.finiteTaskGraceMs)
    }
  }

  /** Evacuates VMs that have started on machines with a pending operation, as its order ends every run on the machine. */
  evacuateNewVms (): void {
    const nowMs = this.options.timers.now()
    this.directory.indexVms()
    for (const operation of this.operations.values()) {
      const vm = this.directory.findVm(operation.machine)
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
   * first list, while the store does not answer, or without a proof of the ownership: answers to reads are none.
   */
  private runCycle (): void {
    const { timers, rows, scheduler } = this.options
    const nowMs = timers.now()
    const underway = [...this.operations.values()].some((operation) => operation.phase === 'underway')
    this.directory.refresh(underway ? machineOptions.busyListPeriodMs : machineOptions.listPeriodMs)
    if (!this.directory.isListed) return
    if (rows.getTimeSinceAnswerMs() > machineOptions.storeSilentMs || !scheduler.ownership.mayAct(readMoment(timers))) return
    this.directory.indexVms()
    for (const { machine, wave } of this.wavePlanner.plan(nowMs)) this.beginOperation({ machine, wave }, nowMs)
    this.planMoves(nowMs)
    this.evacuateNewVms()
    if (nowMs >= this.options.ordersAllowedFromMs) for (const operation of [...this.operations.values()]) this.advance(operation, nowMs)
    this.moves.flush()
  }

  private planMoves (nowMs: number): void {
    if (nowMs < this.options.ordersAllowedFromMs) return
    const clocks = { nowMs, storeNowMs: this.options.rows.getStoreClockMs() }
    const pools = this.options.getPools().map((pool) => ({ standby: pool.standby, demand: this.options.scheduler.getDemand(pool.name, clocks) }))
    const machines = this.directory.machines.map((machine) => this.describeMachine(machine, nowMs)).filter((machine) => machine !== undefined)
    for (const move of this.planner.plan(nowMs, pools, machines)) {
      this.options.log.write(EventCode.MoveOrdered, { machine: move.machine, fromPool: move.fromPool, toPool: move.toPool, reason: move.reason })
      this.beginOperation({ machine: move.machine, toPool: move.toPool }, nowMs)
    }
  }

  /** Describes a machine for capacity planning. Returns undefined if the machine currently provides no capacity. */
  private describeMachine (machine: Machine, nowMs: number): PlannedMachine | undefined {
    const { id } = machine
    const idle = { id, capacity: machine.capacity, drainable: false, usedCpuMillis: 0 }
    const operation = this.operations.get(id)
    if (operation?.toPool !== undefined) return { ...idle, pool: operation.toPool, movable: false }
    const vm = this.directory.findVm(id)
    const pool = vm?.entry.pool ?? machine.pool
    // A machine of a wave, or one whose VM leaves, provides no capacity, so its pool may get another machine.
    if (operation !== undefined || vm?.isLeaving === true) return undefined
    if (vm !== undefined) {
      const usable = vm.isUsable(nowMs)
      const drainable = usable && [...vm.runs.values()].every((run) => !run.task.step.spec.longRunning)
      // The list may show another size than the VM has at present.
      const { capacity } = vm.entry
      return { id, capacity, pool, movable: usable && vm.runs.size === 0, drainable, usedCpuMillis: capacity.cpuMillis - vm.freeCpuMillis }
    }
    const standby = this.options.getPools().some((rules) => rules.standby && rules.name === machine.pool)
    if (standby) return { ...idle, pool, movable: machine.state === MachineState.Up || machine.state === MachineState.Down }
    return machine.state === MachineState.Moving || machine.state === MachineState.InMaintenance ? { ...idle, pool, movable: false } : undefined
  }

  private beginOperation (plan: MachineOperationPlan, nowMs: number): void {
    const vm = this.directory.findVm(plan.machine)
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

  /** Sends the order for an evacuated machine. It is stored first, so that a successor knows of it. */
  private async sendOrder (operation: MachineOperation): Promise<void> {
    const { machines, settings, ownerRow, timers, log } = this.options
    operation.phase = 'ordering'
    if (operation.wave !== undefined) operation.mayPrecedeVm ||= this.waves.isRecordedForOtherVm(operation.wave, operation.machine, operation.former)
    if (!await this.recordOrder(operation)) {
      operation.phase = 'evacuating'
      return
    }
    if (this.disposed) return
    if (operation.wave !== undefined) log.write(EventCode.MaintenanceOrdered, { machine: operation.machine, wave: operation.wave, formerVm: operation.former.vmId, listAgeMs: Math.round(timers.now() - this.directory.listedAtMs) })
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

  /** Stores the order. Returns false if that could not be stored. */
  private recordOrder ({ machine, wave, toPool, former }: MachineOperation): Promise<boolean> {
    return wave === undefined ? this.moves.record(machine, { ...former, toPool: toPool ?? '' }) : this.waves.recordOrder(wave, machine, former)
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
    if (answer.kind === 'unknown') operation.mayBeCarriedOut = true
    // A refused move is planned anew. Any other order is sent again, as it, or an earlier one, may have been carried out or may still be.
    const isOver = refusal === MachineRefusal.UnknownMachine || (answer.kind === 'refused' && !operation.mayBeCarriedOut)
    if (operation.wave === undefined && isOver) this.finish(operation)
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
    const vm = this.directory.findVm(operation.machine)
    const machine = this.directory.findMachine(operation.machine)
    const { former } = operation
    if (operation.mayPrecedeVm && vm?.id === former.vmId && vm.entry.bornMs === former.bornMs) {
      if (this.directory.listedAtMs <= operation.confirmedAtMs) return
      if (machine?.state !== MachineState.Up || machine.vmId !== vm.id) {
        this.retireFormerVm(operation)
        return
      }
    }
    // A VM that registers earlier had started before the order was carried out, which ended it.
    if (nowMs < operation.confirmedAtMs + takesMs) return
    const listedLater = this.directory.listedAtMs > operation.confirmedAtMs + takesMs
    const settled = machine === undefined || (machine.state !== MachineState.Moving && machine.state !== MachineState.InMaintenance)
    if (vm === undefined && !(listedLater && settled)) return
    if (operation.toPool !== undefined) this.directory.setPool(operation.machine, operation.toPool)
    this.finish(operation)
  }

  private finish (operation: MachineOperation): void {
    this.operations.delete(operation.machine)
    if (operation.wave === undefined) this.moves.remove(operation.machine)
    const vms = [...this.options.scheduler.state.vms.values()].filter((vm) => vm.entry.machine === operation.machine)
    for (const { id } of vms) this.options.scheduler.endEvacuation(id)
    if (operation.vmId !== undefined) this.options.scheduler.endEvacuation(operation.vmId)
    this.options.onChange()
  }
}
