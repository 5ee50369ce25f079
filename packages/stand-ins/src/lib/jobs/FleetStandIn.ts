/**
 * In-memory machines, their VMs and the registrations of the VMs, on a fake clock.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { Result, type VmEntry } from '@vanillathread/model'
import { MachineRefusal, MachineState, VmAnswerKind, type Machine, type MachineAnswer, type MachineOrderer, type MachineService, type VmClient, type VmClients } from '@vanillathread/ports'
import { encodeStandInRow, VMS_TABLE } from './FleetFeedsStandIn.js'
import type { StoreStandIn } from './StoreStandIn.js'
import { VmStandIn, type VmObserver, type VmStandInOptions, type VmStandInRun } from './VmStandIn.js'

/** Durations of a move and of maintenance. */
const MOVE_MS = 1_500
const MAINTENANCE_MS = 2_000

/** Time from the crash of a VM by a task until its machine has a new VM. */
const CRASHED_VM_DOWN_MS = 3_000

/** Time from the end of a VM until its registration expires. */
const REGISTRATION_TTL_MS = 4_500

/** Observes the orders that machines carry out, and the completion of waves. @public */
export interface MachineObserver {
  /** Called before maintenance; `downBefore` is the number of machines that are already down for the wave. */
  onMaintenance (machine: string, wave: number, downBefore: number): void
  /** Called when a daemon has stored that a wave is complete. */
  onWaveComplete (wave: number): void
  /** Called before an order ends the VM of a machine and the VM's runs. */
  onBeforeTakeDown (machine: string, runs: readonly VmStandInRun[]): void
}

/** Options of {@link FleetStandIn.create}. @public */
export interface FleetStandInOptions {
  /** Store in which VMs are registered. */
  readonly store: Pick<StoreStandIn, 'put' | 'remove'>
  readonly timers: TimerService
  /** Pool whose machines run no VM. */
  readonly standbyPool: string
  readonly vmObserver: VmObserver
  readonly machineObserver: MachineObserver
  getBehaviour: VmStandInOptions['getBehaviour']
  /** Called before the capacity of a VM changes. */
  onResize? (vm: VmStandIn, former: VmEntry['capacity']): void
  /** Called before a VM with the given runs crashes; `cause` is the run that crashes it, if one does. */
  onCrash? (runs: readonly VmStandInRun[], cause?: VmStandInRun): void
  readonly ignoresLease?: boolean
}

/** A machine, its VM, and the orders that were recorded for it. */
interface StandInMachine {
  machine: Machine
  vm?: VmStandIn
  highestFencingToken: number
  /** Numbers of the waves whose maintenance of the machine has begun. */
  maintainedWaves: Set<number>
  /** Number of the wave for which the machine is down. */
  downForWave?: number
}

/** In-memory machines, each with at most one VM. @public */
export class FleetStandIn implements MachineService, VmClients {
  readonly machines = new Map<string, StandInMachine>()
  /** True if orders are not carried out and have an unknown outcome. */
  ignoresOrders = false
  /** Time from the sending of an order until it is carried out and answered. */
  orderDelayMs = 0
  /** True if the registration of a VM that an order has ended stays for as long as that of one that has crashed. */
  keepsRegistrations = false
  /** Number of orders that were sent, whatever their outcome. */
  ordersReceived = 0
  private nextVmNumber = 1

  private constructor (private readonly options: FleetStandInOptions) {}

  static create (options: FleetStandInOptions): FleetStandIn {
    return new FleetStandIn(options)
  }

  get vms (): VmStandIn[] {
    return [...this.machines.values()].map(({ vm }) => vm).filter((vm) => vm !== undefined)
  }

  addMachine (id: string, pool: string, rack: string, capacity: VmEntry['capacity']): void {
    const machine: Machine = { id, pool, state: MachineState.Up, zone: 'a', labels: ['k', rack], capacity }
    this.machines.set(id, { machine, highestFencingToken: 0, maintainedWaves: new Set() })
    this.startVm(id)
  }

  /** Kills a machine's VM; a new VM with another id starts after `downMs`. */
  crash (id: string, downMs: number, cause?: VmStandInRun): void {
    const standInMachine = this.machines.get(id)
    const vm = standInMachine?.vm
    if (standInMachine === undefined || vm === undefined) return
    this.options.onCrash?.([...vm.runs.values()], cause)
    vm.kill()
    standInMachine.vm = undefined
    this.options.timers.after(REGISTRATION_TTL_MS, () => this.unregister(vm))
    this.options.timers.after(downMs, () => { if (standInMachine.vm === undefined && standInMachine.machine.state === MachineState.Up) this.startVm(id) })
  }

  /** Starts a VM on a machine whose VM has crashed. */
  recover (id: string): void {
    const standInMachine = this.machines.get(id)
    if (standInMachine?.vm === undefined && standInMachine?.machine.state === MachineState.Up) this.startVm(id)
  }

  /** Removes a machine from the list and kills its VM. */
  remove (id: string): void {
    const vm = this.machines.get(id)?.vm
    this.machines.delete(id)
    if (vm === undefined) return
    vm.kill()
    this.options.timers.after(REGISTRATION_TTL_MS, () => this.unregister(vm))
  }

  /** Removes a machine from the list, and ends its VM as one that has drained: its registration is removed at once. */
  leave (id: string): void {
    const vm = this.machines.get(id)?.vm
    this.machines.delete(id)
    if (vm === undefined) return
    vm.kill()
    this.unregister(vm)
  }

  /** Changes the capacity of a machine's VM while it runs; its registration says so. */
  resize (id: string, capacity: VmEntry['capacity']): void {
    const vm = this.machines.get(id)?.vm
    if (vm === undefined) return
    this.options.onResize?.(vm, vm.entry.capacity)
    vm.entry = { ...vm.entry, capacity }
    this.register(vm)
  }

  /**
   * Starts a machine's VM again under the id that it had: it holds no runs, and has seen no fencing token.
   *
   * @param registerDelayMs - time until its registration shows the restart.
   */
  restart (id: string, registerDelayMs = 0): void {
    const standInMachine = this.machines.get(id)
    const former = standInMachine?.vm
    if (standInMachine === undefined || former === undefined) return
    former.kill()
    const vm = this.createVm({ ...former.entry, bornMs: Math.round(this.options.timers.wallClock()) })
    standInMachine.vm = vm
    if (registerDelayMs === 0) this.register(vm)
    else this.options.timers.after(registerDelayMs, () => { if (vm.alive) this.register(vm) })
  }

  /** Removes the registration of a partitioned VM, which can't renew it in the store. */
  expireRegistration (vm: VmStandIn): void {
    this.unregister(vm)
  }

  register (vm: VmStandIn): void {
    this.options.store.put({ table: VMS_TABLE, part: '', key: vm.id }, encodeStandInRow(vm.entry))
  }

  open (entry: VmEntry): VmClient {
    const unreachable = createUnreachableClient()
    let vm: VmStandIn | undefined
    // A VM that starts again under its id is reached by the same client, and one that has ended refuses its calls.
    const connect = (): VmClient => {
      vm = this.vms.find((each) => each.id === entry.id) ?? vm
      return vm?.connect() ?? unreachable
    }
    connect()
    return {
      start: (call) => connect().start(call),
      stop: (call) => connect().stop(call),
      pace: (call) => connect().pace(call),
      renew: (call) => connect().renew(call),
      dispose: () => {},
    }
  }

  async list (): Promise<Result<Machine[], string>> {
    return Result.ok([...this.machines.values()].map(({ machine, vm }) => ({ ...machine, vmId: vm?.id })))
  }

  async move (id: string, pool: string, orderer: MachineOrderer): Promise<MachineAnswer> {
    this.ordersReceived += 1
    if (this.orderDelayMs > 0) await delay(this.options.timers, this.orderDelayMs)
    if (this.ignoresOrders) return { kind: 'unknown', reason: 'no answer' }
    const standInMachine = this.machines.get(id)
    const refusal = this.checkOrder(standInMachine, orderer)
    if (standInMachine === undefined || refusal !== undefined) return { kind: 'refused', refusal: refusal ?? MachineRefusal.UnknownMachine }
    if (standInMachine.machine.pool === pool) return { kind: 'done' }
    this.takeDown(standInMachine, MachineState.Moving, MOVE_MS)
    standInMachine.machine = { ...standInMachine.machine, pool }
    return { kind: 'done' }
  }

  async maintain (id: string, wave: number, orderer: MachineOrderer): Promise<MachineAnswer> {
    this.ordersReceived += 1
    if (this.orderDelayMs > 0) await delay(this.options.timers, this.orderDelayMs)
    if (this.ignoresOrders) return { kind: 'unknown', reason: 'no answer' }
    const standInMachine = this.machines.get(id)
    if (standInMachine?.maintainedWaves.has(wave) === true) return { kind: 'done' }
    const refusal = this.checkOrder(standInMachine, orderer)
    if (standInMachine === undefined || refusal !== undefined) return { kind: 'refused', refusal: refusal ?? MachineRefusal.UnknownMachine }
    const downBefore = [...this.machines.values()].filter((each) => each.downForWave === wave).length
    this.options.machineObserver.onMaintenance(id, wave, downBefore)
    standInMachine.maintainedWaves.add(wave)
    standInMachine.downForWave = wave
    this.takeDown(standInMachine, MachineState.InMaintenance, MAINTENANCE_MS)
    return { kind: 'done' }
  }

  /** Returns the reason for which an order is refused, or undefined if it is accepted. Records the fencing token of the order. */
  private checkOrder (standInMachine: StandInMachine | undefined, orderer: MachineOrderer): MachineRefusal | undefined {
    if (standInMachine === undefined) return MachineRefusal.UnknownMachine
    if (orderer.fencingToken < standInMachine.highestFencingToken) return MachineRefusal.Fenced
    standInMachine.highestFencingToken = orderer.fencingToken
    // A crashed machine accepts no order until it has a VM again; a machine in standby has no VM and accepts orders.
    const crashed = standInMachine.vm === undefined && standInMachine.machine.pool !== this.options.standbyPool
    return standInMachine.machine.state === MachineState.Up && !crashed ? undefined : MachineRefusal.Busy
  }

  /** Ends the VM of a machine and sets the machine's state. After `downMs` the machine is up again and starts a new VM. */
  private takeDown (standInMachine: StandInMachine, state: MachineState, downMs: number): void {
    const { vm } = standInMachine
    this.options.machineObserver.onBeforeTakeDown(standInMachine.machine.id, [...vm?.runs.values() ?? []])
    vm?.kill()
    if (vm !== undefined) this.options.timers.after(this.keepsRegistrations ? REGISTRATION_TTL_MS : 0, () => this.unregister(vm))
    standInMachine.vm = undefined
    standInMachine.machine = { ...standInMachine.machine, state }
    this.options.timers.after(downMs, () => {
      standInMachine.machine = { ...standInMachine.machine, state: MachineState.Up }
      standInMachine.downForWave = undefined
      this.startVm(standInMachine.machine.id)
    })
  }

  private startVm (id: string): void {
    const standInMachine = this.machines.get(id)
    if (standInMachine === undefined || standInMachine.machine.pool === this.options.standbyPool) return
    const { machine } = standInMachine
    const vmNumber = this.nextVmNumber++
    const vm = this.createVm({
      id: `vm-${vmNumber}`,
      machine: id,
      pool: machine.pool,
      address: { host: '127.0.0.1', port: vmNumber },
      zone: machine.zone,
      capacity: machine.capacity,
      labels: machine.labels,
      draining: false,
      bornMs: Math.round(this.options.timers.wallClock()),
    })
    standInMachine.vm = vm
    this.register(vm)
  }

  private createVm (entry: VmEntry): VmStandIn {
    const { timers, vmObserver, getBehaviour, ignoresLease } = this.options
    return VmStandIn.create({
      entry,
      timers,
      observer: vmObserver,
      getBehaviour,
      ignoresLease,
      onCrash: (run) => this.crash(entry.machine ?? '', CRASHED_VM_DOWN_MS, run),
    })
  }

  private unregister (vm: VmStandIn): void {
    this.options.store.remove({ table: VMS_TABLE, part: '', key: vm.id })
  }
}

/** Returns a client of a VM that no longer exists; every call has an unknown outcome. */
function createUnreachableClient (): VmClient {
  const loseAnswer = async () => ({ kind: VmAnswerKind.Unknown, reason: 'no answer' } as const)
  return { start: loseAnswer, stop: loseAnswer, pace: loseAnswer, renew: loseAnswer, dispose: () => {} }
}
