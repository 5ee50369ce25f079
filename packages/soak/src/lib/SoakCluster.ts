/**
 * All processes of a soak: the store, the VMs and the daemons, with the links between them.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { VmEntry } from '@vanillathread/model'
import { encodeRegistration, STANDBY_POOL } from './FleetServer.js'
import { Link } from './Link.js'
import type { StoreCommand, StoreEvent, VmCommand, VmEvent } from './messages.js'
import { SoakDaemon } from './SoakDaemon.js'
import { SoakProcess } from './SoakProcess.js'

/** Pools with VMs, each with a queue of the same name. */
export const POOLS = ['checks', 'certificates'] as const

/** Host name of all queues. */
export const QUEUE_HOST = 'soak'

/** Attempts that a task may use up before its job fails. */
export const MAX_ATTEMPTS = 2

const MACHINES = 12
const READY_LIMIT_MS = 15_000
const READY_CHECK_MS = 100

/** Distance between the prefixes of two soaks of one process. */
const NETWORK_STEP = 60

/** Number of soaks that this process has created. */
let clusterCount = 0

/** Faults that are planted to test the checker. */
export interface PlantedFaults {
  /** Fault of every daemon's owner: a value of `NaiveOwner`. */
  readonly naive?: string
  /** Runs go on after the lease of their VM has expired. */
  readonly ignoresLease?: boolean
}

/** Options of {@link SoakCluster.start}. */
export interface SoakClusterOptions {
  readonly seed: number
  readonly daemons: number
  readonly planted: PlantedFaults
  /** Resources of each daemon's VM, see {@link SoakDaemonOptions}. */
  readonly resources?: Readonly<Record<string, number>>
  /** Limits of the configuration. */
  readonly limits?: Readonly<Record<string, number>>
  /** Called with each event of the VMs, in order, and with the folder of the logs. */
  readonly onVmEvent: (event: VmEvent, folder: string) => void
  readonly onWaveState: (wave: number, complete: boolean) => void
}

/** The processes and links of a soak. */
export class SoakCluster {
  /** Folder with settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), 'vanillathread-soak-'))
  readonly daemons: SoakDaemon[] = []
  /** Links to VMs, by VM. */
  readonly vmLinks = new Map<string, Link>()
  readonly store: SoakProcess
  /** Owner of the shard by the store, if there is one. */
  owner: SoakDaemon | undefined
  private readonly vms: SoakProcess
  private readonly barriers = new Map<number, () => void>()
  private readonly deadVms = new Set<string>()
  /** Callbacks that take the port of a stand-in that has started. */
  private readonly ports = new Map<SoakProcess, (port: number) => void>()
  /** Registrations in the order of their events. */
  private registrations: Promise<void> = Promise.resolve()
  private nextBarrier = 1
  private nextMachine = 0
  /** Prefix of the loopback addresses of this soak, so that soaks at the same time do not use the same, in this process or in others. */
  private readonly network = `127.${1 + ((process.pid >> 8) + NETWORK_STEP * clusterCount++) % 250}.${process.pid % 256}`

  private constructor (private readonly options: SoakClusterOptions) {
    const { planted, seed } = options
    this.store = this.createStandIn('storeMain', [String(seed)], (event) => this.handleStoreEvent(event as StoreEvent))
    this.vms = this.createStandIn('vmsMain', planted.ignoresLease === true ? ['ignores-lease'] : [], (event) => this.handleVmEvent(event as VmEvent))
  }

  /** Starts all processes and waits until the daemons are ready. */
  static async start (options: SoakClusterOptions): Promise<SoakCluster> {
    const cluster = new SoakCluster(options)
    try {
      await cluster.startAll()
    } catch (err) {
      await cluster.stop()
      throw err
    }
    return cluster
  }

  sendToStore (command: StoreCommand): void {
    this.store.send(command)
  }

  sendToVms (command: VmCommand): void {
    this.vms.send(command)
  }

  /** Adds a machine with a VM. */
  addMachine (pool: string): void {
    this.sendToVms({ kind: 'add', machine: `m-${this.nextMachine++}`, pool })
  }

  /** Resolves when all events that VMs have sent until now have been handled. */
  async waitForVmEvents (): Promise<void> {
    const number = this.nextBarrier++
    await new Promise<void>((resolve) => {
      this.barriers.set(number, resolve)
      this.sendToVms({ kind: 'barrier', number })
    })
  }

  async stop (): Promise<void> {
    for (const link of this.vmLinks.values()) link.close()
    await Promise.all([...this.daemons.map((daemon) => daemon.stop()), this.store.kill(), this.vms.kill()])
  }

  private async startAll (): Promise<void> {
    const store = await this.startStandIn(this.store)
    const machines = await this.startStandIn(this.vms)
    this.sendToStore({ kind: 'put', table: 'op', key: 'config', value: createConfiguration(this.options.limits) })
    for (let index = 0; index < MACHINES; index++) this.addMachine([...POOLS, STANDBY_POOL][index % 3] ?? STANDBY_POOL)
    const host = `${this.network}.1`
    const peerLinksPath = join(this.folder, 'peer-links.json')
    for (let index = 0; index < this.options.daemons; index++) {
      const daemon = await SoakDaemon.create({
        name: `d-${index}`, ip: `${this.network}.${index + 10}`, linkHost: host, store: { host, port: store }, machines: { host, port: machines }, folder: this.folder, peerLinksPath, naive: this.options.planted.naive, resources: this.options.resources,
      })
      this.daemons.push(daemon)
    }
    writeFileSync(peerLinksPath, JSON.stringify(this.daemons.map(({ peer, links }) => [`${peer.host}:${peer.port}`, links.peers.address])))
    for (const daemon of this.daemons) daemon.process.start()
    await this.waitUntilReady()
  }

  private async waitUntilReady (): Promise<void> {
    const limit = performance.now() + READY_LIMIT_MS
    while (performance.now() < limit) {
      const ready = await Promise.all(this.daemons.map((daemon) => daemon.isReady()))
      if (ready.every(Boolean)) return
      await sleep(READY_CHECK_MS)
    }
    throw new Error(`the daemons are not ready after ${READY_LIMIT_MS} ms; logs in ${this.folder}`)
  }

  private createStandIn (program: string, args: readonly string[], onMessage: (message: unknown) => void): SoakProcess {
    const path = fileURLToPath(new URL(`../${program}.js`, import.meta.url))
    return SoakProcess.create({ args: [path, `${this.network}.1`, ...args], logPath: join(this.folder, `${program}.log`), onMessage })
  }

  /** Starts a stand-in and returns its port. */
  private startStandIn (standIn: SoakProcess): Promise<number> {
    return new Promise((resolve, reject) => {
      this.ports.set(standIn, resolve)
      standIn.start()
      standIn.waitForExit().then(() => reject(new Error(`a stand-in has exited; logs in ${this.folder}`)))
    })
  }

  private handleStoreEvent (event: StoreEvent): void {
    if (event.kind === 'ready') this.ports.get(this.store)?.(event.port)
    else if (event.kind === 'owner') this.owner = this.daemons.find(({ name }) => name === event.daemon)
    else this.options.onWaveState(event.wave, event.complete)
  }

  private handleVmEvent (event: VmEvent): void {
    switch (event.kind) {
      case 'ready':
        this.ports.get(this.vms)?.(event.port)
        return
      case 'barrier':
        this.barriers.get(event.number)?.()
        this.barriers.delete(event.number)
        return
      case 'registered':
        this.registrations = this.registrations.then(() => this.register(event.entry))
        break
      case 'unregistered':
        this.registrations = this.registrations.then(() => this.sendToStore({ kind: 'remove', table: 'servers', key: event.vm }))
        break
      case 'died':
        this.deadVms.add(event.vm)
        this.vmLinks.get(event.vm)?.close()
        this.vmLinks.delete(event.vm)
        break
    }
    this.options.onVmEvent(event, this.folder)
  }

  /** Writes the registration of a VM, with the address of the link to it. */
  async register (entry: VmEntry): Promise<void> {
    if (this.deadVms.has(entry.id)) return
    const link = this.vmLinks.get(entry.id) ?? await Link.open(`${this.network}.1`, entry.address)
    this.vmLinks.set(entry.id, link)
    if (this.deadVms.has(entry.id)) link.close()
    this.sendToStore({ kind: 'put', table: 'servers', key: entry.id, value: encodeRegistration({ ...entry, address: link.address }) })
  }
}

function createConfiguration (limits: Readonly<Record<string, number>> = {}): Record<string, unknown> {
  return {
    version: 1,
    routes: POOLS.map((pool) => ({
      name: pool, host: QUEUE_HOST, 'path-prefix': `/${pool}/`, service: pool, 'timeout-ms': 3_000, 'target-latency-ms': 600, priority: 0, 'max-attempts': MAX_ATTEMPTS, 'deadline-factor': 1.6,
    })),
    services: [...POOLS, STANDBY_POOL].map((name) => ({ name, standby: name === STANDBY_POOL, 'admission-check': false })),
    limits,
  }
}
