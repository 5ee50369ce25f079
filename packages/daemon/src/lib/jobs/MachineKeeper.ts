/**
 * Carries out what is planned with machines: moves between pools and maintenance.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type PoolRules } from '@vanillathread/model'
import { CapacityPlanner, planWave, WaveMachineState, type JobScheduler, type PlannedMachine, type TrackedVm, type WaveMachine } from '@vanillathread/policy'
import { MachineRefusal, MachineState, type FleetFeeds, type Machine, type MachineAnswer, type MachineService, type RowCondition, type RowStore, type Wave } from '@vanillathread/ports'
import { machineOptions } from './jobOptions.js'
import type { JobsSettings } from './JobsSettings.js'
import { WaveBook, type FormerVm, type WaveProgress } from './WaveBook.js'

/** Options of {@link MachineKeeper.create}. */
export interface MachineKeeperOptions {
  readonly shard: string
  readonly settings: JobsSettings
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly machines: MachineService
  readonly scheduler: JobScheduler
  readonly ownerRow: RowCondition
  /** Time from which orders may be given: a former owner's last one must be old enough. */
  readonly ordersFromMs: number
  getPools (): readonly PoolRules[]
  getWaves (): Iterable<Wave>
  onSuperseded (reason: string): void
  onChange (): void
}

/** What is done with a machine. */
interface MachineTask {
  readonly machine: string
  /** Wave of a maintenance, or undefined for a move. */
  readonly wave?: number
  /** Pool of a move, or undefined for a maintenance. */
  readonly toPool?: string
  vmId?: string
  former: FormerVm
  phase: 'evacuating' | 'ordering' | 'underway'
  orderedAtMs: number
}

/** Machines of a shard. */
export class MachineKeeper {
  private readonly listed = new Map<string, Machine>()
  private readonly tasks = new Map<string, MachineTask>()
  private readonly waves: WaveBook
  private readonly planner: CapacityPlanner
  private readonly timer: Subscription
  /** Lists in a row that lacked a machine of a wave. */
  private readonly missingLists = new Map<string, number>()
  private listedAtMs = -Infinity
  private listing = false
  private disposed = false

  private constructor (private readonly options: MachineKeeperOptions) {
    this.waves = WaveBook.create(options)
    this.planner = CapacityPlanner.create({ moveMs: options.settings.moveMs, ...machineOptions.capacity })
    this.timer = options.timers.every(machineOptions.periodMs, () => { this.work() })
    this.readList(options.timers.now())
  }

  static create (options: MachineKeeperOptions): MachineKeeper {
    return new MachineKeeper(options)
  }

  dispose (): void {
    this.disposed = true
    this.timer.dispose()
  }

  /** Empties VMs that have started on machines about to be taken down: an order ends whatever runs there by then. */
  noteVms (): void {
    const nowMs = this.options.timers.now()
    for (const task of this.tasks.values()) {
      const vm = this.findVm(task.machine)
      if (vm === undefined || vm.id === task.vmId || task.phase === 'underway') continue
      // An order that is under way may have been carried out before this VM began; its answer tells.
      if (task.phase === 'evacuating') {
        task.vmId = vm.id
        task.former = { vmId: vm.id, bornMs: vm.entry.bornMs }
      }
      this.options.scheduler.evacuate(vm.id, nowMs + machineOptions.shortTaskGraceMs)
    }
  }

  private work (): void {
    const nowMs = this.options.timers.now()
    this.readList(nowMs)
    if (this.listedAtMs < 0) return
    if (this.options.rows.silentForMs() > machineOptions.storeSilentMs) return
    this.planWaves(nowMs)
    this.planMoves(nowMs)
    this.noteVms()
    for (const task of [...this.tasks.values()]) this.advance(task, nowMs)
  }

  private async readList (nowMs: number): Promise<void> {
    const underway = [...this.tasks.values()].some((task) => task.phase === 'underway')
    const periodMs = underway ? machineOptions.busyListPeriodMs : machineOptions.listPeriodMs
    if (this.listing || nowMs - this.listedAtMs < periodMs) return
    this.listing = true
    const res = await this.options.machines.list()
    this.listing = false
    if (this.disposed) return
    if (!res.ok) {
      this.options.log.write(EventCode.StoreCallFailed, { call: 'list machines', reason: res.error })
      return
    }
    this.listedAtMs = nowMs
    this.listed.clear()
    for (const machine of res.value) this.listed.set(machine.id, machine)
    this.retireMovedVms()
    for (const wave of this.options.getWaves()) {
      for (const id of wave.machines) {
        if (!this.listed.has(id)) this.missingLists.set(id, (this.missingLists.get(id) ?? 0) + 1)
      }
    }
  }

  /** Forgets VMs that a former owner moved away: neither registered nor heard, and the list has their machine elsewhere. */
  private retireMovedVms (): void {
    const { scheduler } = this.options
    for (const vm of [...scheduler.state.vms.values()]) {
      const machine = this.listed.get(vm.entry.machine ?? '')
      if (machine === undefined || vm.heard || vm.registered || machine.vmId === vm.id) continue
      if (machine.pool !== vm.entry.pool) scheduler.retireVm(vm.id, 'the list has its machine in another pool')
    }
  }

  private planWaves (nowMs: number): void {
    for (const wave of this.options.getWaves()) {
      const record = this.waves.get(wave.number)
      if (record === undefined || record.complete) continue
      this.noteGone(wave)
      const machines = wave.machines.map((id) => this.viewWaveMachine(wave, id, record))
      if (machines.every((machine) => machine.state === WaveMachineState.Ended)) {
        this.waves.complete(wave)
        continue
      }
      if (nowMs < this.options.ordersFromMs) continue
      for (const id of this.listUnanswered(wave, record)) this.begin({ machine: id, wave: wave.number }, nowMs)
      for (const id of planWave({ cap: wave.cap, machines, servingByPool: this.countServing(nowMs) })) this.begin({ machine: id, wave: wave.number }, nowMs)
    }
  }

  private viewWaveMachine (wave: Wave, id: string, record: WaveProgress): WaveMachine {
    const machine = this.listed.get(id)
    const task = this.tasks.get(id)
    const vm = this.findVm(id)
    return {
      id,
      state: this.getWaveState(wave, id, record, task),
      pool: vm?.entry.pool ?? machine?.pool ?? '',
      lastingTasks: [...vm?.runs.values() ?? []].filter((run) => run.task.step.spec.longRunning).length,
      usedCpuMillis: vm === undefined ? 0 : vm.entry.capacity.cpuMillis - vm.freeCpuMillis,
      occupied: (task !== undefined && task.wave !== wave.number) || machine?.state === MachineState.Moving,
    }
  }

  /** Only an answer says that a maintenance has begun: a VM may also be new for other reasons. */
  private getWaveState (wave: Wave, id: string, record: WaveProgress, task: MachineTask | undefined): WaveMachineState {
    const { state } = this.listed.get(id) ?? {}
    if (task?.wave === wave.number) return task.phase === 'evacuating' && !record.ordered.has(id) ? WaveMachineState.Evacuating : WaveMachineState.Down
    if (state === MachineState.InMaintenance) return WaveMachineState.Down
    if (record.begun.has(id)) return WaveMachineState.Ended
    if (record.ordered.has(id)) return WaveMachineState.Down
    return WaveMachineState.Due
  }

  /** Machines whose maintenance a former owner may have ordered without an answer. */
  private listUnanswered (wave: Wave, record: WaveProgress): string[] {
    return wave.machines.filter((id) => record.ordered.has(id) && !record.begun.has(id) && !this.tasks.has(id) && this.listed.get(id)?.state === MachineState.Up)
  }

  /** Takes machines that the list lacks, again and again, for gone. */
  private noteGone (wave: Wave): void {
    for (const id of wave.machines) {
      if (this.listed.has(id) || this.findVm(id) !== undefined) this.missingLists.delete(id)
      else if ((this.missingLists.get(id) ?? 0) >= GONE_AFTER_LISTS) this.waves.noteBegun(wave.number, id)
    }
  }

  private countServing (nowMs: number): Map<string, number> {
    const serving = new Map<string, number>()
    for (const vm of this.options.scheduler.state.vms.values()) {
      if (vm.isUsable(nowMs)) serving.set(vm.entry.pool, (serving.get(vm.entry.pool) ?? 0) + 1)
    }
    return serving
  }

  private planMoves (nowMs: number): void {
    if (nowMs < this.options.ordersFromMs) return
    const moment = { nowMs, storeNowMs: this.options.rows.nowMs() }
    const pools = this.options.getPools().map((pool) => ({ standby: pool.standby, demand: this.options.scheduler.getDemand(pool.name, moment) }))
    const machines = [...this.listed.values()].map((machine) => this.viewMachine(machine, nowMs)).filter((machine) => machine !== undefined)
    for (const move of this.planner.plan(nowMs, pools, machines)) {
      this.options.log.write(EventCode.MoveOrdered, { machine: move.machine, fromPool: move.fromPool, toPool: move.toPool, reason: move.reason })
      this.begin({ machine: move.machine, toPool: move.toPool }, nowMs)
    }
  }

  /** A machine as capacity planning sees it, or undefined where it serves nobody for now. */
  private viewMachine (machine: Machine, nowMs: number): PlannedMachine | undefined {
    const { id, capacity } = machine
    const idle = { id, capacity, drainable: false, usedCpuMillis: 0 }
    const task = this.tasks.get(id)
    if (task?.toPool !== undefined) return { ...idle, pool: task.toPool, movable: false }
    const vm = this.findVm(id)
    const pool = vm?.entry.pool ?? machine.pool
    // A machine of a wave serves nobody until it is back, so its pool may be given another.
    if (task !== undefined) return undefined
    if (vm !== undefined) {
      const usable = vm.isUsable(nowMs)
      const drainable = usable && [...vm.runs.values()].every((run) => !run.task.step.spec.longRunning)
      return { id, capacity, pool, movable: usable && vm.runs.size === 0, drainable, usedCpuMillis: capacity.cpuMillis - vm.freeCpuMillis }
    }
    const standby = this.options.getPools().some((rules) => rules.standby && rules.name === machine.pool)
    if (standby) return { ...idle, pool, movable: machine.state === MachineState.Up || machine.state === MachineState.Down }
    return machine.state === MachineState.Moving || machine.state === MachineState.InMaintenance ? { ...idle, pool, movable: false } : undefined
  }

  private begin (plan: { machine: string, wave?: number, toPool?: string }, nowMs: number): void {
    const vm = this.findVm(plan.machine)
    this.tasks.set(plan.machine, { ...plan, vmId: vm?.id, former: { vmId: vm?.id ?? '', bornMs: vm?.entry.bornMs ?? 0 }, phase: 'evacuating', orderedAtMs: 0 })
    if (vm === undefined) return
    this.options.log.write(EventCode.EvacuationStarted, { vm: vm.id, machine: plan.machine, wave: plan.wave, toPool: plan.toPool, runs: vm.runs.size })
    this.options.scheduler.evacuate(vm.id, nowMs + machineOptions.shortTaskGraceMs)
    this.options.onChange()
  }

  private advance (task: MachineTask, nowMs: number): void {
    if (task.phase === 'evacuating') {
      if (task.vmId === undefined || this.options.scheduler.isEvacuated(task.vmId)) this.order(task)
    } else if (task.phase === 'underway') {
      this.checkReturn(task, nowMs)
    }
  }

  private async order (task: MachineTask): Promise<void> {
    const { machines, settings, ownerRow, timers, log, scheduler } = this.options
    task.phase = 'ordering'
    if (task.wave !== undefined && !await this.waves.noteOrdered(task.wave, task.machine, task.former)) {
      task.phase = 'evacuating'
      return
    }
    if (this.disposed) return
    if (task.wave !== undefined) log.write(EventCode.MaintenanceOrdered, { machine: task.machine, wave: task.wave, formerVm: task.former.vmId, listAgeMs: Math.round(timers.now() - this.listedAtMs) })
    const orderer = { holder: settings.name, fencingToken: ownerRow.version }
    const sentAtMs = timers.now()
    const answer = task.wave !== undefined
      ? await machines.maintain(task.machine, task.wave, orderer)
      : await machines.move(task.machine, task.toPool ?? '', orderer)
    if (this.disposed) return
    log.write(task.wave === undefined ? EventCode.MoveAnswered : EventCode.MaintenanceAnswered, {
      machine: task.machine, wave: task.wave, toPool: task.toPool, outcome: answer.kind, reason: describeAnswer(answer), tookMs: Math.round(timers.now() - sentAtMs),
    })
    if (answer.kind === 'done') {
      if (task.vmId !== undefined) scheduler.retireVm(task.vmId, task.wave === undefined ? 'its machine was moved' : 'its machine is in maintenance')
      if (task.wave !== undefined) this.waves.noteBegun(task.wave, task.machine)
      task.phase = 'underway'
      task.orderedAtMs = timers.now()
      this.options.onChange()
      return
    }
    this.applyRefusal(task, answer)
  }

  private applyRefusal (task: MachineTask, answer: MachineAnswer): void {
    const refusal = answer.kind === 'refused' ? answer.refusal : undefined
    if (refusal === MachineRefusal.Fenced) {
      this.options.onSuperseded(`machine ${task.machine} has seen a higher fencing token`)
      return
    }
    if (task.wave !== undefined && (refusal === MachineRefusal.NotInWave || refusal === MachineRefusal.Unknown)) {
      this.waves.noteBegun(task.wave, task.machine)
      this.finish(task)
      return
    }
    // A move that was refused is planned anew; everything else is tried again, as it may have been carried out.
    if (task.wave === undefined && answer.kind === 'refused') this.finish(task)
    else this.options.timers.after(machineOptions.orderRetryMs, () => { task.phase = 'evacuating' })
  }

  /** A machine is back once its new VM is registered, or the list shows it as up after the time that the work takes. */
  private checkReturn (task: MachineTask, nowMs: number): void {
    const { settings } = this.options
    const takesMs = task.wave === undefined ? settings.moveMs : settings.maintenanceMs
    const vm = this.findVm(task.machine)
    const machine = this.listed.get(task.machine)
    const listedLater = this.listedAtMs > task.orderedAtMs + takesMs
    const settled = machine === undefined || (machine.state !== MachineState.Moving && machine.state !== MachineState.InMaintenance)
    if (vm === undefined && !(listedLater && settled)) return
    if (task.toPool !== undefined && machine !== undefined) this.listed.set(task.machine, { ...machine, pool: task.toPool })
    this.finish(task)
  }

  private finish (task: MachineTask): void {
    this.tasks.delete(task.machine)
    const vm = this.findVm(task.machine)
    if (vm !== undefined) this.options.scheduler.endEvacuation(vm.id)
    if (task.vmId !== undefined) this.options.scheduler.endEvacuation(task.vmId)
    this.options.onChange()
  }

  private findVm (machine: string): TrackedVm | undefined {
    for (const vm of this.options.scheduler.state.vms.values()) {
      if (vm.entry.machine === machine) return vm
    }
    return undefined
  }
}

function describeAnswer (answer: MachineAnswer): string | undefined {
  if (answer.kind === 'refused') return answer.refusal
  return answer.kind === 'unknown' ? answer.reason : undefined
}

/** Lists in a row that must lack a machine before it counts as gone: one may be read while the machine changes its pool. */
const GONE_AFTER_LISTS = 2
