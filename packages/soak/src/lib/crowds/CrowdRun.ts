/**
 * Plays a crowd of clients that do not behave against a daemon process, and measures the process meanwhile.
 */
import { rmSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { POOLS, QUEUE_HOST, SoakCluster } from '../SoakCluster.js'
import type { SoakDaemon } from '../SoakDaemon.js'
import { CrowdConnection } from './CrowdConnection.js'
import { MAX_BODY_BYTES, MAX_HEADER_BYTES, type Member } from './members.js'
import { ProcessMeter, type ProcessResources } from './ProcessMeter.js'
import { sendRequest } from './sendRequest.js'

/** Resources of the daemon's VM, and the time for a crowd. */
export interface CrowdResources extends ProcessResources {
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

const PLAY_LIMIT_MS = 8_000

/** Time for which the process is measured once all members have sent what they could. */
const HOLD_MS = 1_000

/** One daemon and its stand-ins, a crowd, and what the daemon's process has reached. */
export class CrowdRun {
  private readonly meter: ProcessMeter
  private connections: CrowdConnection[] = []
  private nextJob = 1

  private constructor (readonly cluster: SoakCluster, private readonly daemon: SoakDaemon, private readonly resources: CrowdResources) {
    this.meter = ProcessMeter.start({ pid: daemon.process.pid ?? 0, ip: daemon.addresses.clients.host, resources })
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
    return this.meter.listFaults(this.daemon.process.pid)
  }

  /** Reads the number of pending jobs as an ordinary client does, on a connection of its own. Returns the status, or undefined if no attempt is answered. */
  query (): Promise<number | undefined> {
    return this.send('GET', '')
  }

  /** Submits a small job as an ordinary client does. Returns the status, or undefined if no attempt is answered. */
  submit (): Promise<number | undefined> {
    const id = (0x5c0e7a21d94b0000n + BigInt(this.nextJob++)).toString(16)
    const spec = JSON.stringify({ steps: [{ durationMs: 10, cpuMillis: 100, memoryMb: 16 }], poison: false })
    return this.send('POST', id, JSON.stringify({ spec, steps: [{ count: 1, cpu: 100, 'mem-mb': 16, 'estimate-ms': 10 }] }))
  }

  /** Ends the daemon and its stand-ins. Keeps their logs if something did not hold, and returns the folder. */
  async stop ({ keepsLogs }: { keepsLogs: boolean }): Promise<string> {
    this.disperse()
    this.meter.stop()
    await this.cluster.stop()
    const { folder } = this.cluster
    if (!keepsLogs) rmSync(folder, { recursive: true, force: true })
    return folder
  }

  private send (method: string, rest: string, body?: string): Promise<number | undefined> {
    return sendRequest(this.daemon.addresses.clients, { method, path: `/${POOLS[0]}/${rest}`, host: QUEUE_HOST, body, expectedStatus: 200 })
  }
}
