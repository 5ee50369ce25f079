/**
 * Plays a crowd of clients that do not behave against a daemon process, and measures the process meanwhile.
 */
import { rmSync } from 'node:fs'
import { request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Address } from '@vanillathread/model'
import { POOLS, QUEUE_HOST, SoakCluster } from '../SoakCluster.js'
import type { SoakDaemon } from '../SoakDaemon.js'
import { CrowdConnection } from './CrowdConnection.js'
import { MAX_BODY_BYTES, MAX_HEADER_BYTES, type Member } from './members.js'
import { ProcessMeter, type ProcessPeaks } from './ProcessMeter.js'

/** Resources of the daemon's VM. */
export interface CrowdResources {
  readonly memoryMb: number
  readonly maxDescriptors: number
  /** Time after which a crowd whose members still wait until they can send counts as played. */
  readonly playLimitMs?: number
}

/** Clients that all do the same. */
export interface Crowd {
  readonly members: number
  readonly play: Member
  readonly readsAnswers?: boolean
  /** Server of the daemon to which the crowd connects; that for clients by default. */
  readonly server?: keyof SoakDaemon['addresses']
}

/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200

const PLAY_LIMIT_MS = 8_000

/** Time for which the process is measured once all members have sent what they could. */
const HOLD_MS = 1_000

/** Attempts and time limit of an ordinary request: those of the users' clients. */
const ATTEMPTS = 5
const ANSWER_LIMIT_MS = 3_000

/** One daemon and its stand-ins, a crowd, and what the daemon's process has reached. */
export class CrowdRun {
  private readonly pid: number
  private readonly meter: ProcessMeter
  private connections: CrowdConnection[] = []
  private nextJob = 1

  private constructor (readonly cluster: SoakCluster, private readonly daemon: SoakDaemon, private readonly resources: CrowdResources) {
    this.pid = daemon.process.pid ?? 0
    this.meter = ProcessMeter.start(this.pid, daemon.addresses.clients.host)
  }

  static async start (resources: CrowdResources): Promise<CrowdRun> {
    const cluster = await SoakCluster.start({
      seed: 1,
      daemons: 1,
      planted: {},
      resources: { 'cpu-shares': 0.675, 'cpu-cores': 1, 'memory-limit-mb': resources.memoryMb, 'max-fds': resources.maxDescriptors },
      limits: { 'max-header-bytes': MAX_HEADER_BYTES, 'max-body-bytes': MAX_BODY_BYTES, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000 },
      onVmEvent: () => {},
      onWaveState: () => {},
    })
    const [daemon] = cluster.daemons
    if (daemon === undefined) throw new Error('the cluster has no daemon')
    return new CrowdRun(cluster, daemon, resources)
  }

  /** Opens the connections of crowds, which stay open, and plays what their members send. */
  async play (...crowds: readonly Crowd[]): Promise<void> {
    const plays = crowds.flatMap((crowd) => Array.from({ length: crowd.members }, async (_unused, index) => {
      const connection = CrowdConnection.open(this.daemon.addresses[crowd.server ?? 'clients'], { readsAnswers: crowd.readsAnswers ?? true })
      this.connections.push(connection)
      await connection.waitUntilOpen()
      await crowd.play(connection, index)
    }))
    await Promise.race([Promise.all(plays), sleep(this.resources.playLimitMs ?? PLAY_LIMIT_MS)])
    await sleep(HOLD_MS)
    this.meter.sample()
  }

  /** Closes the connections of the crowds. */
  disperse (): void {
    for (const connection of this.connections) connection.close()
    this.connections = []
  }

  /** Sends a signal to the daemon's process. */
  signal (name: NodeJS.Signals): void {
    this.daemon.process.signal(name)
  }

  waitForExit (): Promise<void> {
    return this.daemon.process.waitForExit()
  }

  /** Returns what does not hold: an empty list if the process lives within the resources of its VM. */
  listFaults (): string[] {
    const { memoryMb, sockets } = this.peaks
    const { memoryMb: memoryLimitMb, maxDescriptors } = this.resources
    const faults = []
    if (this.daemon.process.pid !== this.pid) faults.push('the process has ended')
    if (memoryMb > memoryLimitMb) faults.push(`memory ${memoryMb} MB of ${memoryLimitMb} MB`)
    if (sockets > maxDescriptors - FILE_DESCRIPTORS) faults.push(`${sockets} sockets of ${maxDescriptors - FILE_DESCRIPTORS}`)
    return faults
  }

  get peaks (): ProcessPeaks {
    return this.meter.peaks
  }

  /** Reads the number of pending jobs as an ordinary client does, on a connection of its own. Returns the status, or undefined if no attempt is answered. */
  query (): Promise<number | undefined> {
    return this.attempt('GET', `/${POOLS[0]}/`)
  }

  /** Submits a small job as an ordinary client does. Returns the status, or undefined if no attempt is answered. */
  submit (): Promise<number | undefined> {
    const id = (0x5c0e7a21d94b0000n + BigInt(this.nextJob++)).toString(16)
    const spec = JSON.stringify({ steps: [{ durationMs: 10, cpuMillis: 100, memoryMb: 16 }], poison: false })
    return this.attempt('POST', `/${POOLS[0]}/${id}`, JSON.stringify({ spec, steps: [{ count: 1, cpu: 100, 'mem-mb': 16, 'estimate-ms': 10 }] }))
  }

  async stop (): Promise<void> {
    this.disperse()
    this.meter.stop()
    await this.cluster.stop()
    rmSync(this.cluster.folder, { recursive: true, force: true })
  }

  private async attempt (method: string, path: string, body?: string): Promise<number | undefined> {
    for (let attempt = 1; attempt <= ATTEMPTS; attempt++) {
      const status = await send(this.daemon.addresses.clients, method, path, body)
      if (status === 200) return status
      if (attempt === ATTEMPTS) return status
      await sleep(ANSWER_LIMIT_MS / ATTEMPTS)
    }
    return undefined
  }
}

/** Sends a request on a new connection. Returns the status of the answer, or undefined if there is none in time. */
function send (address: Address, method: string, path: string, body?: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request({ ...address, method, path, agent: false, headers: { host: QUEUE_HOST }, signal: AbortSignal.timeout(ANSWER_LIMIT_MS) }, (res) => {
      res.resume()
      res.once('end', () => resolve(res.statusCode))
      res.once('error', () => resolve(undefined))
    })
    req.once('error', () => resolve(undefined))
    req.end(body)
  })
}
