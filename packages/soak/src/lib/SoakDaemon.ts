/**
 * One daemon process with its settings file and the links to and from it.
 */
import { writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Address } from '@vanillathread/model'
import { request } from 'undici'
import { Link } from './Link.js'
import { SoakProcess } from './SoakProcess.js'

/** Time from SIGTERM to SIGKILL. */
export const GRACE_MS = 6_000

/** Time after which a daemon that was killed is started again. */
const RESTART_DELAY_MS = 400

const READY_TIMEOUT_MS = 500

const DAEMON_PROGRAM = fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url))
const NAIVE_PROGRAM = fileURLToPath(new URL('../naiveMain.js', import.meta.url))
const EXIT_WITH_PARENT = new URL('../exitWithParent.js', import.meta.url).href
const CONNECT_THROUGH_LINKS = new URL('../connectThroughLinks.js', import.meta.url).href

/** Options of {@link SoakDaemon.create}. */
export interface SoakDaemonOptions {
  readonly name: string
  /** Own loopback address of the daemon. */
  readonly ip: string
  /** Address for the links. */
  readonly linkHost: string
  readonly store: Address
  readonly machines: Address
  /** Folder of the settings file and the log. */
  readonly folder: string
  /** File with the links to the daemons, which is read at the start of the process. */
  readonly peerLinksPath: string
  /** Planted fault of the daemon's owner. */
  readonly naive?: string
  /** Resources of the daemon's VM, as the settings file states them under `limits`. */
  readonly resources?: Readonly<Record<string, number>>
}

/** A daemon of the soak. */
export class SoakDaemon {
  /** Time of the latest SIGTERM. */
  terminatedAtMs = -Infinity
  private isRestarting = false

  private constructor (
    readonly name: string,
    readonly process: SoakProcess,
    /** Links by what they connect. */
    readonly links: { readonly clients: Link, readonly store: Link, readonly machines: Link, readonly peers: Link },
    /** Addresses at which the daemon listens. The links lead to some of them. */
    readonly addresses: { readonly clients: Address, readonly readiness: Address, readonly peer: Address, readonly metrics: Address }
  ) {}

  /** Address at which the daemon listens for other daemons. */
  get peer (): Address {
    return this.addresses.peer
  }

  static async create (options: SoakDaemonOptions): Promise<SoakDaemon> {
    const { name, ip, linkHost, folder } = options
    const [clients, readiness, peer, last] = (await findFreePorts(ip, 4)).map((port) => ({ host: ip, port })) as [Address, Address, Address, Address]
    // The daemon serves metrics at the second port of the range.
    const metrics = { host: ip, port: Math.min(peer.port + 1, last.port) }
    const links = {
      clients: await Link.open(linkHost, clients),
      store: await Link.open(linkHost, options.store),
      machines: await Link.open(linkHost, options.machines),
      peers: await Link.open(linkHost, peer),
    }
    const settingsPath = join(folder, `${name}.yaml`)
    // JSON is valid YAML.
    writeFileSync(settingsPath, JSON.stringify({
      'node-name': name,
      ip,
      zone: 'a',
      'listen-addrs': { frontend: formatAddress(clients), readiness: formatAddress(readiness) },
      'internal-port-range': [peer.port, last.port],
      ...options.resources === undefined ? {} : { limits: options.resources },
      bounds: { 'lease-ms': 3_000, 'hold-max-ms': 6_000, 'grace-s': GRACE_MS / 1_000, status_s: 3_600, 'move-s': 1.5, 'upkeep-s': 2, 'fencing-enforced': true },
      platform: { address: formatAddress(links.store.address) },
      'cloud-api': { address: formatAddress(links.machines.address) },
    }))
    const program = options.naive === undefined ? [DAEMON_PROGRAM] : [NAIVE_PROGRAM, options.naive]
    const daemonProcess = SoakProcess.create({
      args: ['--max-old-space-size=160', '--max-semi-space-size=4', '--import', EXIT_WITH_PARENT, '--import', CONNECT_THROUGH_LINKS, ...program],
      env: { VANILLATHREAD_CONFIG: settingsPath, SOAK_DAEMON_IP: ip, SOAK_PEER_LINKS: options.peerLinksPath, CBOR_NATIVE_ACCELERATION_DISABLED: 'true' },
      logPath: join(folder, `${name}.log`),
    })
    return new SoakDaemon(name, daemonProcess, links, { clients, readiness, peer, metrics })
  }

  /** Returns true if the daemon answers the readiness check. */
  async isReady (): Promise<boolean> {
    if (!this.process.isRunning) return false
    try {
      const { host, port } = this.addresses.readiness
      const res = await request(`http://${host}:${port}/readyz`, { signal: AbortSignal.timeout(READY_TIMEOUT_MS) })
      await res.body.dump()
      return res.statusCode === 200
    } catch {
      return false
    }
  }

  /** Stops the daemon with SIGTERM, or kills it, and starts it again. Does nothing while it is restarting. */
  async restart (signal: 'SIGTERM' | 'SIGKILL', nowMs: number): Promise<void> {
    if (this.isRestarting) return
    this.isRestarting = true
    if (signal === 'SIGTERM') this.terminatedAtMs = nowMs
    this.process.signal(signal)
    await this.process.waitForExit(GRACE_MS)
    await sleep(RESTART_DELAY_MS)
    this.process.start()
    this.isRestarting = false
  }

  async stop (): Promise<void> {
    this.isRestarting = true
    for (const link of Object.values(this.links)) link.close()
    await this.process.kill()
  }
}

/** Returns ports that the system has just found to be free on an address that only this soak uses, in ascending order. */
async function findFreePorts (host: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports = await Promise.all(servers.map((server) => new Promise<number>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, host, () => {
      const address = server.address()
      resolve(address === null || typeof address === 'string' ? 0 : address.port)
    })
  })))
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports.sort((a, b) => a - b)
}

function formatAddress ({ host, port }: Address): string {
  return `${host}:${port}`
}
