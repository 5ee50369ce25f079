/**
 * Simulation of several fleet controllers on one platform and a fake clock, with random faults from a seed.
 */
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { inventorySchema, rulesSchema, Weekday, type Declarations } from '@vanillathread/model'
import { FleetVmState, MemoryPlatform, VmPowerState, type Platform, type TableTransaction } from '@vanillathread/ports'
import { MemberPhase, MemberState, RandomSource, type MemberRecord } from '@vanillathread/policy'
import { FleetController, FleetWatch } from '@vanillathread/daemon'
import { RandomFaultPlatform, type FaultProbabilities } from '@vanillathread/stand-ins'
import { FleetHistory } from './FleetHistory.js'

/** Options of {@link FleetRun.create}. */
export interface FleetRunOptions {
  readonly seed: number
  /** Number of controllers. */
  readonly controllers: number
  /** Probabilities of the faults in each controller's calls to the platform. */
  readonly probabilities: FaultProbabilities
  /** True if the conditions of every transaction are dropped, which simulates a naive controller. */
  readonly dropsConditions?: boolean
}

/** A controller with its own view of the platform. */
interface Participant {
  readonly daemonId: string
  readonly platform: RandomFaultPlatform
  readonly controller: FleetController
  readonly watch: FleetWatch
  /** Time at which the controller was paused; undefined if it is not paused. */
  pausedSinceMs: number | undefined
}

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const POOLS = [{ id: 'listings', vms: 8, minAvailable: 6 }, { id: 'auctions', vms: 7, minAvailable: 5 }, { id: 'office', vms: 6, minAvailable: 4 }]
const REBOOT_DURATION_MS = 60_000
/** Length of a pause after which the other controllers' membership no longer lists the paused one. */
const MEMBER_TIMEOUT_MS = 20_000
const STEP_MS = 1_000
const WALL_CLOCK_START_MS = Date.UTC(2026, 11, 4)

/** Controllers, platform and clock of one simulation run. */
export class FleetRun {
  readonly timers = FakeTimerService.create({ wallClockStartMs: WALL_CLOCK_START_MS })
  readonly memory = MemoryPlatform.create({ wallClock: () => this.timers.wallClock() })
  readonly log = MemoryEventLog.create()
  readonly history: FleetHistory
  /** Declarations that every controller reads. */
  declarations: Declarations
  private readonly random: RandomSource
  private readonly participants: Participant[] = []
  private readonly rebootingUntilMs = new Map<string, number>()
  /** Ids of the VMs that fail when they are rebooted. */
  readonly failingRebootVmIds = new Set<string>()

  private constructor (private readonly options: FleetRunOptions) {
    this.random = RandomSource.create(options.seed)
    this.declarations = createFleetDeclarations()
    this.history = FleetHistory.create(this.memory.table, () => this.getMinimums())
  }

  static async create (options: FleetRunOptions): Promise<FleetRun> {
    const run = new FleetRun(options)
    for (const { id } of run.declarations.inventory.vms) run.memory.fleet.setVm(id, FleetVmState.Live)
    for (let index = 0; index < options.controllers; index++) await run.addController(`entry-${index + 1}`)
    return run
  }

  /** Advances the clock. `faults` holds the chances, per second, that a VM fails and that a controller is paused. */
  async advance (forMs: number, faults: { vmFailure: number, pause: number } = { vmFailure: 0, pause: 0 }): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
      this.finishReboots()
      if (this.random.nextFloat() < faults.vmFailure) this.failRandomVm()
      if (this.random.nextFloat() < faults.pause) this.pauseRandomController()
      this.resumeRandomControllers()
      await this.timers.advance(STEP_MS)
    }
  }

  /** Ends the faults and pauses of the controllers' platforms, and restores all VMs. */
  endFaults (): void {
    for (const participant of this.participants) {
      participant.platform.injectsFaults = false
      participant.platform.resume()
      participant.pausedSinceMs = undefined
    }
    for (const { id } of this.declarations.inventory.vms) this.restoreVm(id)
  }

  restoreVm (vmId: string): void {
    this.memory.fleet.setVm(vmId, FleetVmState.Live)
    this.memory.fleet.setPower(vmId, VmPowerState.Running)
  }

  failVm (vmId: string): void {
    this.memory.fleet.removeVm(vmId)
    this.memory.fleet.setPower(vmId, VmPowerState.Failed)
  }

  /** Assigns a VM to another pool in the declarations. */
  declareMove (vmId: string, pool: string): void {
    const vms = this.declarations.inventory.vms.map((vm) => vm.id === vmId ? { ...vm, pool } : vm)
    this.declarations = { ...this.declarations, inventory: { ...this.declarations.inventory, vms } }
  }

  setMaintenance (maintenance: Partial<Declarations['rules']['maintenance']>): void {
    const { rules } = this.declarations
    this.declarations = { ...this.declarations, rules: { ...rules, maintenance: { ...rules.maintenance, ...maintenance } } }
  }

  private async addController (daemonId: string): Promise<void> {
    const platform = RandomFaultPlatform.create({
      platform: this.createRecordedPlatform(daemonId),
      probabilities: this.options.probabilities,
      random: () => this.random.nextFloat(),
      delay: (delayMs) => new Promise((resolve) => { this.timers.after(delayMs, resolve) }),
    })
    const membership = {
      isSynced: true,
      listActiveIds: () => this.listActiveIds(daemonId),
      listOthers: () => this.listActiveIds(daemonId).filter((id) => id !== daemonId).map((id) => ({ record: createMemberRecord(id), state: MemberState.Live })),
      getSelf: () => createMemberRecord(daemonId),
      listPeerAddresses: () => [],
    }
    const shared = { platform, membership, timers: this.timers, log: this.log }
    // Every controller is the only member that its own fleet watch sees, so it reads the fleet list itself and needs no network.
    const watch = FleetWatch.create({
      ...shared,
      membership: { ...membership, listActiveIds: () => [daemonId] },
      network: { on: () => {}, send: () => {} },
      listDeclared: () => this.declarations.inventory.vms.map((vm) => vm.id),
    })
    const controller = FleetController.create({ ...shared, watch, state: { daemonId, incarnation: 1 }, configuration: this.createConfiguration() })
    this.participants.push({ daemonId, platform, controller, watch, pausedSinceMs: undefined })
    watch.start()
    controller.start()
  }

  private createConfiguration (): { readonly current: { head: { version: number, manifestDigest: string, applyId: string }, declarations: Declarations } } {
    const head = { version: 1, manifestDigest: '', applyId: '' }
    const getDeclarations = (): Declarations => this.declarations
    return { get current () { return { head, declarations: getDeclarations() } } }
  }

  /** Creates one controller's access to the platform, which records its transactions and reboots. */
  private createRecordedPlatform (daemonId: string): Platform {
    const { memory, history } = this
    const stripConditions = (transaction: TableTransaction): TableTransaction => this.options.dropsConditions === true ? { ...transaction, conditions: [] } : transaction
    return {
      objects: memory.objects,
      fleet: memory.fleet,
      table: {
        read: (key) => memory.table.read(key),
        readChanges: (prefix, since) => memory.table.readChanges(prefix, since),
        transact: (transaction) => history.transact(daemonId, stripConditions(transaction)),
      },
      vms: {
        readState: (vmId) => memory.vms.readState(vmId),
        reboot: (vmId, operationId) => {
          history.recordReboot(daemonId, vmId, operationId)
          this.startReboot(vmId)
          return memory.vms.reboot(vmId, operationId)
        },
      },
    }
  }

  private startReboot (vmId: string): void {
    this.rebootingUntilMs.set(vmId, this.timers.now() + REBOOT_DURATION_MS)
  }

  private finishReboots (): void {
    for (const [vmId, untilMs] of this.rebootingUntilMs) {
      if (this.timers.now() < untilMs) continue
      this.rebootingUntilMs.delete(vmId)
      this.memory.fleet.setPower(vmId, this.failingRebootVmIds.has(vmId) ? VmPowerState.Failed : VmPowerState.Running)
    }
  }

  private failRandomVm (): void {
    const { vms } = this.declarations.inventory
    const vm = vms[this.random.nextBelow(vms.length)]
    if (vm === undefined) return
    this.failVm(vm.id)
    this.timers.after(60_000, () => this.restoreVm(vm.id))
  }

  private pauseRandomController (): void {
    const participant = this.participants[this.random.nextBelow(this.participants.length)]
    if (participant === undefined || participant.pausedSinceMs !== undefined) return
    participant.pausedSinceMs = this.timers.now()
    participant.platform.pause()
  }

  private resumeRandomControllers (): void {
    for (const participant of this.participants) {
      if (participant.pausedSinceMs === undefined || this.random.nextFloat() > 0.02) continue
      participant.pausedSinceMs = undefined
      participant.platform.resume()
    }
  }

  /** Lists the daemons that the observer sees. After a long pause a daemon is missing from the others' views, but not from its own. */
  private listActiveIds (observer: string): string[] {
    const nowMs = this.timers.now()
    return this.participants
      .filter(({ daemonId, pausedSinceMs }) => daemonId === observer || pausedSinceMs === undefined || nowMs - pausedSinceMs < MEMBER_TIMEOUT_MS)
      .map(({ daemonId }) => daemonId)
  }

  private getMinimums (): ReadonlyMap<string, number> {
    return new Map(this.declarations.rules.budgets.map(({ pool, minAvailable }) => [pool, minAvailable]))
  }
}

function createMemberRecord (daemonId: string): MemberRecord {
  return { daemonId, incarnation: 1, beat: 0, region: 'local', zone: 'zone-a', peer: { host: '127.0.0.1', port: 1 }, version: 1, phase: MemberPhase.Serving }
}

/** Builds declarations with three pools over three zones and maintenance windows that are always open. */
function createFleetDeclarations (): Declarations {
  const vms = POOLS.flatMap(({ id, vms: count }) => Array.from({ length: count }, (_, index) => ({
    id: `${id}-${index + 1}`, zone: ZONES[index % ZONES.length], rack: `rack-${index % ZONES.length}`, pool: id,
  })))
  return {
    inventory: inventorySchema.parse({ regions: [{ id: 'local', zones: ZONES }], pools: POOLS.map(({ id }) => ({ id, spare: id === 'office' })), vms }),
    rules: rulesSchema.parse({
      budgets: POOLS.map(({ id, minAvailable }) => ({ pool: id, minAvailable })),
      windows: [{ pools: POOLS.map(({ id }) => id), days: Object.values(Weekday), from: '00:00', to: '00:00', vmMinutes: 1 }],
      weights: { bufferCost: 0.5, moves: 0.5 },
    }),
  }
}
