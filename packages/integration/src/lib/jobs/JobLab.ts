/**
 * A whole system in one process on a fake clock: daemons, store, machines, clients and faults.
 */
import { delay, FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { JobState, parseTaskName, PLAIN_STEP, type JobSpec, type OperatorConfiguration, type StepSpec } from '@vanillathread/model'
import { JobsDaemon, type JobsSettings } from '@vanillathread/daemon'
import { IngressAnswerKind, VmAnswerKind, type ClientApi, type VmClient, type VmClients } from '@vanillathread/ports'
import { RandomSource } from '@vanillathread/policy'
import { FleetFeedsStandIn, FleetStandIn, StoreStandIn, writeConfiguration, writeWave, type StoreClientStandIn, type TaskBehaviour } from '@vanillathread/stand-ins'
import { JobHistory, type SubmittedJob } from './JobHistory.js'
import { MemoryPeers } from './MemoryPeers.js'

/** Ways to break the owner on purpose, which the history must catch. */
export enum NaiveOwner {
  /** Takes a start without an answer for one that never happens. */
  RestartsOnSilence = 'restarts-on-silence',
  /** Orders without a fencing token. */
  WithoutFence = 'without-fence',
  /** Lets VMs forget ends before they are in the store. */
  NotesEarly = 'notes-early',
}

/** Options of {@link JobLab.create}. */
export interface JobLabOptions {
  readonly seed: number
  readonly daemons?: number
  readonly naive?: NaiveOwner
  /** Speeds of the daemons, in their order; 1 where left out. */
  readonly speeds?: readonly number[]
  /** Settings that differ from the lab's. */
  readonly settings?: Partial<JobsSettings>
}

/** One daemon with its way to the store. */
export interface LabDaemon {
  readonly name: string
  readonly address: { readonly host: string, readonly port: number }
  store: StoreClientStandIn
  daemon?: JobsDaemon
  api?: ClientApi
  log: MemoryEventLog
}

export const LAB_QUEUES = ['/checks/', '/certificates/'] as const
const POOLS = ['checks', 'certificates'] as const
const STANDBY = 'spare'
const MAX_ATTEMPTS = 2
const HOST = 'lab'
const START_GAP_MS = 11
const CLIENT_DEADLINE_MS = 3_000

/** Pause of a client whose attempt got no answer. */
const CLIENT_RETRY_MS = 300

/** Runs a whole system. */
export class JobLab {
  readonly timers = FakeTimerService.create({ wallClockStartMs: 1_700_000_000_000 })
  readonly random: RandomSource
  readonly store: StoreStandIn
  readonly fleet: FleetStandIn
  readonly peers: MemoryPeers
  readonly history: JobHistory
  readonly daemons: LabDaemon[] = []
  private readonly waves = new Map<number, readonly string[]>()
  private nextJob = 1

  private constructor (private readonly options: JobLabOptions) {
    this.random = RandomSource.create(options.seed)
    this.store = StoreStandIn.create({ timers: this.timers, random: this.random })
    this.peers = MemoryPeers.create(this.timers)
    this.history = JobHistory.create({ now: () => this.timers.now(), maxAttempts: MAX_ATTEMPTS })
    this.history.listUnmaintained = (wave) => (this.waves.get(wave) ?? []).filter((id) => this.fleet.machines.get(id)?.maintained.has(wave) === false)
    this.fleet = FleetStandIn.create({
      store: this.store,
      timers: this.timers,
      standbyPool: STANDBY,
      vmObserver: this.history,
      machineObserver: this.history,
      getBehaviour: (task) => this.getBehaviour(task),
    })
  }

  static create (options: JobLabOptions): JobLab {
    return new JobLab(options)
  }

  /** Starts everything and lets it settle. */
  async start (): Promise<void> {
    writeConfiguration(this.store, createConfiguration())
    const capacity = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }
    for (let index = 0; index < 12; index++) this.fleet.addMachine(`m-${index}`, [...POOLS, STANDBY][index % 3] ?? STANDBY, `r-${Math.floor(index / 4)}`, capacity)
    for (let index = 0; index < (this.options.daemons ?? 3); index++) {
      this.daemons.push({ name: `d-${index}`, address: { host: 'peer', port: index + 1 }, store: this.store.connect(), log: MemoryEventLog.create() })
      this.startDaemon(index)
      // Processes do not start in step, so their periods are apart. The first timers are set once the start has got that far.
      await this.timers.advance(0)
      await this.timers.advance(START_GAP_MS)
    }
    await this.timers.advance(3_000)
  }

  startDaemon (index: number): void {
    const lab = this.daemons[index]
    if (lab === undefined) return
    const { timers, store, fleet, history, peers } = this
    lab.store = store.connect()
    lab.daemon = JobsDaemon.create({
      settings: { ...createSettings(lab), speed: this.options.speeds?.[index] ?? 1, ...this.options.settings },
      timers,
      log: lab.log,
      platform: {
        rows: lab.store,
        feeds: FleetFeedsStandIn.create(lab.store, history),
        vms: this.breakOwner(fleet),
        machines: fleet,
        network: peers.connect(lab.address),
        openIngress: (api) => {
          lab.api = api
          return { listen: async () => {}, close: async () => {} }
        },
      },
    })
    lab.daemon.start()
  }

  /** Kills a daemon's process, and starts it again after a time. */
  async crashDaemon (index: number, downMs?: number): Promise<void> {
    const lab = this.daemons[index]
    const { daemon } = lab ?? {}
    if (lab === undefined || daemon === undefined) return
    lab.daemon = undefined
    lab.api = undefined
    await daemon.crash()
    if (downMs !== undefined) this.timers.after(downMs, () => this.startDaemon(index))
  }

  /** Index of the daemon that owns the shard, as its log says last. */
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

  /** Submits a job as a client does: again at another daemon where it got no answer. */
  async submit (spec: JobSpec, options: { poison?: boolean, queue?: number } = {}): Promise<SubmittedJob> {
    const id = (this.nextJob++).toString(16).padStart(16, '0')
    const job: SubmittedJob = { id, spec, poison: options.poison ?? false, accepted: false, refused: false, cancelled: false, submittedAtMs: this.timers.now() }
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
        // An earlier attempt without an answer may have stored the job, which this daemon cannot know.
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

  /** Asks for the state of every accepted job. */
  async lookAtJobs (): Promise<void> {
    for (const job of this.history.jobs.values()) {
      if (!job.accepted || job.shown === JobState.Complete || job.shown === JobState.Failed) continue
      this.pickApi()?.look({ host: HOST, path: `${LAB_QUEUES[0]}${job.id}`, deadlineMs: CLIENT_DEADLINE_MS }).then((answer) => {
        if (answer.kind === IngressAnswerKind.State) this.history.onShown(job, answer.state)
        else if (answer.kind === IngressAnswerKind.UnknownJob) this.history.onUnknown(job)
      })
    }
    await this.timers.advance(1)
  }

  countStandby (): number {
    return [...this.fleet.machines.values()].filter(({ machine }) => machine.pool === STANDBY).length
  }

  requestWave (number: number, machines: readonly string[], cap: number): void {
    this.history.caps.set(number, cap)
    this.waves.set(number, machines)
    writeWave(this.store, { number, machines, durationMs: 20_000, cap })
  }

  /** Lets time pass while clients look at their jobs. */
  async run (forMs: number): Promise<void> {
    for (let leftMs = forMs; leftMs > 0; leftMs -= 500) {
      await this.timers.advance(Math.min(500, leftMs))
      await this.lookAtJobs()
    }
  }

  /** Runs until everything has settled, judges, and stops. */
  async finish (settleMs = 15_000): Promise<void> {
    await this.run(settleMs)
    this.history.judgeEnd()
    for (const { daemon } of this.daemons) await daemon?.crash()
  }

  private pickApi (): ClientApi | undefined {
    const up = this.daemons.filter(({ api }) => api !== undefined)
    return up.length === 0 ? undefined : up[this.random.nextBelow(up.length)]?.api
  }

  private getBehaviour (task: string): TaskBehaviour {
    const name = parseTaskName(task)
    const job = this.history.jobs.get(name?.jobId ?? '')
    const step = job?.spec.steps[name?.step ?? 0]
    return {
      durationMs: step?.longRunning === true ? undefined : step?.estimateMs ?? 0,
      fails: job?.poison ?? false,
      cpuMillis: step?.need.cpuMillis ?? 0,
      memoryMb: step?.need.memoryMb ?? 0,
    }
  }

  private breakOwner (vms: VmClients): VmClients {
    const { naive } = this.options
    return naive === undefined ? vms : { open: (entry) => breakClient(vms.open(entry), naive) }
  }
}

function breakClient (client: VmClient, naive: NaiveOwner): VmClient {
  const token = (call: { fencingToken: number }): number => naive === NaiveOwner.WithoutFence ? 1 : call.fencingToken
  return {
    start: async (call) => {
      const answer = await client.start({ ...call, fencingToken: token(call) })
      if (naive !== NaiveOwner.RestartsOnSilence || answer.kind !== VmAnswerKind.Unknown) return answer
      return { kind: VmAnswerKind.Refused, refusal: 'unhealthy' as never }
    },
    stop: (call) => client.stop({ ...call, fencingToken: token(call) }),
    pace: (call) => client.pace({ ...call, fencingToken: token(call) }),
    renew: (call) => client.renew({
      ...call, fencingToken: token(call), notedEnd: naive === NaiveOwner.NotesEarly ? Number.MAX_SAFE_INTEGER : call.notedEnd,
    }),
    dispose: () => client.dispose(),
  }
}

/** A step of tasks that are alike; what is left out is plain. */
export function createStep (step: Partial<StepSpec> = {}): StepSpec {
  return {
    ...PLAIN_STEP,
    taskCount: 4,
    need: { cpuMillis: 2_000, memoryMb: 1_024, accelerators: 0 },
    estimateMs: 600,
    ...step,
  }
}

/** A job of steps. */
export function createJob (...steps: StepSpec[]): JobSpec {
  return { payload: 'text', steps: steps.length > 0 ? steps : [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 }
}

function createConfiguration (): OperatorConfiguration {
  return {
    version: 1,
    queues: LAB_QUEUES.map((pathPrefix, index) => ({
      name: POOLS[index] ?? '', host: HOST, pathPrefix, pool: POOLS[index] ?? '', timeoutMs: 3_000, targetLatencyMs: 600, priority: 0, maxAttempts: MAX_ATTEMPTS, deadlineFactor: 1.6,
    })),
    pools: [...POOLS.map((name) => ({ name, standby: false, checksAdmission: false })), { name: STANDBY, standby: true, checksAdmission: false }],
    maxBodyBytes: 262_144,
  }
}

function createSettings (lab: LabDaemon): JobsSettings {
  return {
    name: lab.name,
    zone: 'a',
    speed: 1,
    peer: lab.address,
    metrics: lab.address,
    maxLeaseMs: 6_000,
    orderLeaseMs: 3_000,
    fencingEnforced: true,
    graceMs: 6_000,
    maintenanceMs: 2_000,
    moveMs: 1_500,
    stateKeptMs: 120_000,
  }
}
