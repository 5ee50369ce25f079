/**
 * Simulation of a whole system in one process on a fake clock: daemons, store, machines, clients and faults.
 */
import { delay, FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { JobState, parseTaskName, STEP_DEFAULTS, type JobSpec, type OperatorConfiguration, type StepSpec } from '@vanillathread/model'
import { JobsDaemon, type JobsSettings } from '@vanillathread/daemon'
import { IngressAnswerKind, type ClientApi, type VmClients } from '@vanillathread/ports'
import { RandomSource } from '@vanillathread/policy'
import { FleetFeedsStandIn, FleetStandIn, StoreFault, StoreStandIn, putOperatorConfiguration, putWaveRequest, type StoreClientStandIn, type TaskBehaviour } from '@vanillathread/stand-ins'
import { countCalls, createNaiveClients, cutCalls, type NaiveOwner } from './labVmClients.js'
import { createSettings } from './labSettings.js'
import { JobHistory } from './JobHistory.js'
import { LabPartition } from './LabPartition.js'
import type { SubmittedJob } from './SubmittedJob.js'
import { MemoryPeerNetwork } from './MemoryPeerNetwork.js'

/** Options of {@link JobLab.create}. */
export interface JobLabOptions {
  readonly seed: number
  /** Number of daemons; 3 if not given. */
  readonly daemons?: number
  readonly naive?: NaiveOwner
  /** Replaces the clients of the VMs of all daemons. */
  wrapVms? (vms: VmClients): VmClients
  /** Number of machines, a third of them in each pool and in standby; 12 if not given. */
  readonly machines?: number
  /** Speeds of the daemons, in their order; 1 if not given. */
  readonly speeds?: readonly number[]
  /** Settings of all daemons that differ from the lab's defaults. */
  readonly settings?: Partial<JobsSettings>
}

/** One daemon with its address, store client, client API and log. */
export interface LabDaemon {
  readonly name: string
  readonly address: { readonly host: string, readonly port: number }
  store: StoreClientStandIn
  /** Undefined before the start and from a crash to the restart; still set after a planned stop. */
  daemon?: JobsDaemon
  /** The daemon's API for clients; undefined from a crash to the restart, and before the start. */
  api?: ClientApi
  log: MemoryEventLog
}

/** Path prefixes of the queues. */
export const LAB_QUEUES = ['/checks/', '/certificates/'] as const
const POOLS = ['checks', 'certificates'] as const
const STANDBY_POOL = 'spare'
const MAX_ATTEMPTS = 2
const HOST = 'lab'
/** Time between the starts of two daemons. */
const START_GAP_MS = 11
const CLIENT_DEADLINE_MS = 3_000

/** Delay before a client retries after an attempt without an answer. */
const CLIENT_RETRY_MS = 300

/** A simulated system with its clients, faults and history. */
export class JobLab {
  readonly timers = FakeTimerService.create({ wallClockStartMs: 1_700_000_000_000 })
  readonly random: RandomSource
  readonly store: StoreStandIn
  readonly fleet: FleetStandIn
  readonly peers: MemoryPeerNetwork
  readonly history: JobHistory
  readonly partition: LabPartition
  readonly daemons: LabDaemon[] = []
  /** Number of calls to VMs by the daemon that made them. */
  readonly vmCalls = new Map<string, number>()
  private readonly waves = new Map<number, readonly string[]>()
  private nextJobNumber = 1

  private constructor (private readonly options: JobLabOptions) {
    this.random = RandomSource.create(options.seed)
    this.store = StoreStandIn.create({ timers: this.timers, random: this.random })
    this.peers = MemoryPeerNetwork.create(this.timers)
    this.history = JobHistory.create({ now: () => this.timers.now(), maxAttempts: MAX_ATTEMPTS })
    this.history.listUnmaintained = (wave) => (this.waves.get(wave) ?? []).filter((id) => this.fleet.machines.get(id)?.maintainedWaves.has(wave) === false)
    this.fleet = FleetStandIn.create({
      store: this.store,
      timers: this.timers,
      standbyPool: STANDBY_POOL,
      vmObserver: this.history,
      machineObserver: this.history,
      getBehaviour: (task) => this.getBehaviour(task),
      onResize: (vm, former) => this.history.recordResize(vm, former),
      onCrash: (runs, cause) => this.history.recordCrash(runs, cause),
    })
    this.partition = LabPartition.create(this)
  }

  static create (options: JobLabOptions): JobLab {
    return new JobLab(options)
  }

  /** Starts the machines and the daemons, and runs until they have settled. */
  async start (): Promise<void> {
    putOperatorConfiguration(this.store, createConfiguration())
    const capacity = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }
    for (let index = 0; index < (this.options.machines ?? 12); index++) this.fleet.addMachine(`m-${index}`, [...POOLS, STANDBY_POOL][index % 3] ?? STANDBY_POOL, `r-${Math.floor(index / 4)}`, capacity)
    for (let index = 0; index < (this.options.daemons ?? 3); index++) {
      this.addDaemon()
      // As with real processes, the periodic timers of the daemons are offset. The advance by 0 lets the daemon set its first timers.
      await this.timers.advance(0)
      await this.timers.advance(START_GAP_MS)
    }
    await this.timers.advance(3_000)
  }

  /** Adds a daemon under a new name and starts it. */
  addDaemon (): void {
    const index = this.daemons.length
    this.daemons.push({ name: `d-${index}`, address: { host: 'peer', port: index + 1 }, store: this.store.connect(), log: MemoryEventLog.create() })
    this.startDaemon(index)
  }

  startDaemon (index: number): void {
    const entry = this.daemons[index]
    if (entry === undefined) return
    const { timers, store, fleet, history, peers } = this
    entry.store = store.connect()
    if (this.partition.isIsolated(entry.name)) entry.store.fault = StoreFault.Unresponsive
    entry.daemon = JobsDaemon.create({
      settings: { ...createSettings(entry), speed: this.options.speeds?.[index] ?? 1, ...this.options.settings },
      timers,
      log: entry.log,
      platform: {
        rows: entry.store,
        feeds: FleetFeedsStandIn.create(entry.store, history),
        openFeeds: (rows) => FleetFeedsStandIn.create(rows, history),
        vms: cutCalls(countCalls(this.wrapVms(), () => this.countCall(entry.name)), timers, (vm) => this.partition.isCut(entry.name, vm)),
        machines: fleet,
        network: peers.connect(entry.address),
        openIngress: (api) => {
          entry.api = api
          return { listen: async () => {}, close: async () => {} }
        },
      },
    })
    entry.daemon.start()
  }

  /** Kills a daemon, and restarts it after `downMs` if that is given. */
  async crashDaemon (index: number, downMs?: number): Promise<void> {
    const entry = this.daemons[index]
    const { daemon } = entry ?? {}
    if (entry === undefined || daemon === undefined) return
    entry.daemon = undefined
    entry.api = undefined
    await daemon.kill()
    if (downMs !== undefined) this.timers.after(downMs, () => this.startDaemon(index))
  }

  /** Returns the index of the daemon in the store's latest shard row, which is the owner, or -1 if there is none. */
  findOwner (): number {
    let owner = -1
    let highest = 0
    for (const row of this.store.rows.values()) {
      if (row.table !== 'shards' || row.version < highest) continue
      highest = row.version
      owner = this.daemons.findIndex(({ name }) => Buffer.from(row.value).includes(name))
    }
    return owner
  }

  /** Submits a job as a client does: after an attempt without an answer, it retries with a random daemon. */
  async submit (spec: JobSpec, options: { poison?: boolean, deadlyTask?: number, queue?: number } = {}): Promise<SubmittedJob> {
    const id = (this.nextJobNumber++).toString(16).padStart(16, '0')
    const job: SubmittedJob = { id, spec, poison: options.poison ?? false, deadlyTask: options.deadlyTask, accepted: false, refused: false, cancelled: false, submittedAtMs: this.timers.now(), queue: options.queue ?? 0 }
    this.history.jobs.set(id, job)
    const path = `${LAB_QUEUES[options.queue ?? 0]}${id}`
    let unanswered = false
    for (let attempt = 0; attempt < 4; attempt++) {
      const api = this.pickApi()
      const answer = await api?.submit({ host: HOST, path, deadlineMs: CLIENT_DEADLINE_MS }, spec)
      if (answer?.kind === IngressAnswerKind.Accepted) {
        job.accepted = true
        return job
      }
      if (answer?.kind === IngressAnswerKind.Refused) {
        // An earlier attempt that got no answer may have stored the job, and this daemon cannot know that.
        job.refused = !unanswered
        return job
      }
      unanswered = true
      await delay(this.timers, CLIENT_RETRY_MS)
    }
    return job
  }

  async cancel (job: SubmittedJob, queue = 0): Promise<boolean> {
    job.cancelled = true
    const answer = await this.pickApi()?.cancel({ host: HOST, path: `${LAB_QUEUES[queue]}${job.id}`, deadlineMs: CLIENT_DEADLINE_MS })
    return answer?.kind === IngressAnswerKind.Cancelled
  }

  /** Requests the state of every accepted job that is not yet shown as complete or failed. */
  async pollJobs (): Promise<void> {
    for (const job of this.history.jobs.values()) {
      if (!job.accepted || job.shownState === JobState.Complete || job.shownState === JobState.Failed) continue
      this.pickApi()?.query({ host: HOST, path: `${LAB_QUEUES[0]}${job.id}`, deadlineMs: CLIENT_DEADLINE_MS }).then((answer) => {
        if (answer.kind === IngressAnswerKind.State) this.history.recordShownState(job, answer.state)
        else if (answer.kind === IngressAnswerKind.UnknownJob) this.history.recordUnknownJob(job)
      })
    }
    await this.timers.advance(1)
  }

  getPool (job: SubmittedJob): string | undefined {
    return POOLS[job.queue]
  }

  /** Returns true if a wave that is not reported as complete contains the machine. */
  isInWave (machine: string): boolean {
    return [...this.waves].some(([wave, machines]) => !this.history.completeWaves.has(wave) && machines.includes(machine))
  }

  private wrapVms (): VmClients {
    const { naive, wrapVms } = this.options
    const vms = naive === undefined ? this.fleet : createNaiveClients(this.fleet, naive)
    return wrapVms?.(vms) ?? vms
  }

  private countCall (daemon: string): void {
    this.vmCalls.set(daemon, (this.vmCalls.get(daemon) ?? 0) + 1)
  }

  countStandbyMachines (): number {
    return [...this.fleet.machines.values()].filter(({ machine }) => machine.pool === STANDBY_POOL).length
  }

  /** Requests a maintenance wave; at most `cap` of its machines may be down at the same time. */
  requestWave (number: number, machines: readonly string[], cap: number): void {
    this.history.caps.set(number, cap)
    this.waves.set(number, machines)
    putWaveRequest(this.store, { number, machines, durationMs: 20_000, cap })
  }

  /** Advances the clock while clients poll their jobs. */
  async run (forMs: number): Promise<void> {
    for (let leftMs = forMs; leftMs > 0; leftMs -= 500) {
      await this.timers.advance(Math.min(500, leftMs))
      await this.pollJobs()
    }
  }

  /** Runs for the settling time, checks the final state, and stops the daemons. */
  async finish (settleMs = 15_000): Promise<void> {
    await this.run(settleMs)
    this.history.checkFinalState()
    for (const { daemon } of this.daemons) await daemon?.kill()
  }

  private pickApi (): ClientApi | undefined {
    const running = this.daemons.filter(({ api }) => api !== undefined)
    return running.length === 0 ? undefined : running[this.random.nextBelow(running.length)]?.api
  }

  private getBehaviour (task: string): TaskBehaviour {
    const name = parseTaskName(task)
    const job = this.history.jobs.get(name?.jobId ?? '')
    const step = job?.spec.steps[name?.step ?? 0]
    return {
      durationMs: step?.longRunning === true ? undefined : step?.estimateMs ?? 0,
      fails: job?.poison ?? false,
      crashesVm: job?.deadlyTask !== undefined && name?.step === 0 && name.index === job.deadlyTask,
      cpuMillis: step?.need.cpuMillis ?? 0,
      memoryMb: step?.need.memoryMb ?? 0,
    }
  }
}

/** Builds a step. Fields that are not given get default values. */
export function createStep (step: Partial<StepSpec> = {}): StepSpec {
  return {
    ...STEP_DEFAULTS,
    taskCount: 4,
    need: { cpuMillis: 2_000, memoryMb: 1_024, accelerators: 0 },
    estimateMs: 600,
    ...step,
  }
}

/** Builds a job from steps; without steps it gets one default step. */
export function createJob (...steps: StepSpec[]): JobSpec {
  return { payload: 'text', steps: steps.length > 0 ? steps : [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 }
}

/** Builds the configuration that the lab starts with. */
export function createConfiguration (): OperatorConfiguration {
  return {
    version: 1,
    queues: LAB_QUEUES.map((pathPrefix, index) => ({
      name: POOLS[index] ?? '', host: HOST, pathPrefix, pool: POOLS[index] ?? '', timeoutMs: 3_000, targetLatencyMs: 600, priority: 0, maxAttempts: MAX_ATTEMPTS, deadlineFactor: 1.6, isPublic: true,
    })),
    pools: [...POOLS.map((name) => ({ name, standby: false, checksAdmission: false })), { name: STANDBY_POOL, standby: true, checksAdmission: false }],
    teams: [],
    maxBodyBytes: 262_144,
  }
}
