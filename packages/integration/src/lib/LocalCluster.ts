/**
 * Several daemons and endpoints with one platform in one process, for tests and benchmarks.
 */
import { randomUUID } from 'node:crypto'
import { MemoryEventLog } from '@vanillathread/kernel'
import { inventorySchema, rulesSchema, type Declarations } from '@vanillathread/model'
import { applyDeclarations, FleetVmState, MemoryPlatform, readConfigurationHead, type Platform } from '@vanillathread/ports'
import { Daemon, type SlotSourceFactory } from '@vanillathread/daemon'
import { EndpointStandIn, FaultyPlatform, PlatformFaults } from '@vanillathread/stand-ins'
import { createSettings } from './createSettings.js'
import { waitUntil } from './waitUntil.js'

/** Options of {@link LocalCluster.create}. */
export interface LocalClusterOptions {
  /** Number of daemons. */
  readonly daemons: number
  /** Number of endpoints. */
  readonly endpoints: number
  /** Number of slots of each endpoint. */
  readonly slots?: number
  /** Returns the time that a request takes at an endpoint, in milliseconds. */
  readonly serviceTimeMs?: () => number
  /** True if endpoints refuse requests above their slots as not run, instead of running them. */
  readonly refuseAboveSlots?: boolean
  /** Fields of the service that differ from the defaults. */
  readonly service?: { attemptTimeoutMs?: number, deadlineMs?: number, queueLimit?: number }
  /** Creates the slot sources of the daemons; the daemon's own default if not given. */
  readonly slotSources?: SlotSourceFactory
}

/** Id of the only service of a local cluster. */
export const SERVICE = 'listings'
const POOL = 'listings'
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const DEFAULT_SLOTS = 8
/** Time during which a daemon that has begun to stop still accepts requests from callers. */
const BALANCER_DELAY_MS = 100
const DEFAULT_SERVICE_TIME_MS = 5

/** A cluster that runs on this machine. */
export class LocalCluster {
  readonly memory = MemoryPlatform.create()
  readonly faults = PlatformFaults.create()
  readonly log = MemoryEventLog.create()
  readonly platform: Platform
  readonly daemons: Daemon[] = []
  /** Daemons that were stopped or killed; their journals can still be read. */
  readonly retired: Daemon[] = []
  readonly endpoints: EndpointStandIn[] = []
  private nextDaemonNumber = 1

  private constructor (private readonly options: LocalClusterOptions) {
    this.platform = FaultyPlatform.create({
      platform: this.memory,
      faults: this.faults,
      delay: (delayMs) => new Promise((resolve) => { setTimeout(resolve, delayMs) }),
    })
  }

  /** Starts endpoints and daemons, and waits until the configuration is in force everywhere. */
  static async create (options: LocalClusterOptions): Promise<LocalCluster> {
    const cluster = new LocalCluster(options)
    await cluster.startEndpoints()
    const declarations = cluster.createDeclarations()
    for (const { id } of declarations.inventory.vms) cluster.memory.fleet.setVm(id, FleetVmState.Live)
    await cluster.apply(declarations)
    for (let index = 0; index < options.daemons; index++) await cluster.addDaemon()
    await cluster.waitForMembers()
    return cluster
  }

  /** Starts one more daemon. */
  async addDaemon (): Promise<Daemon> {
    const number = this.nextDaemonNumber++
    const daemon = Daemon.create({
      settings: createSettings({ id: `entry-${number}`, zone: ZONES[number % ZONES.length] ?? '', seeds: this.daemons.map((other) => other.getAddress('peer')), balancerDelayMs: BALANCER_DELAY_MS }),
      platform: this.platform,
      log: this.log,
      ...this.options.slotSources === undefined ? {} : { slotSources: this.options.slotSources },
    })
    await daemon.start()
    this.daemons.push(daemon)
    return daemon
  }

  /** Kills a daemon, without a planned stop. */
  async killDaemon (index: number): Promise<void> {
    await this.retire(index)?.kill()
  }

  /** Performs a planned stop of a daemon. Callers no longer get its URL, as if a load balancer had removed it. */
  async stopDaemon (index: number): Promise<void> {
    await this.retire(index)?.stop()
  }

  /** Applies declarations, based on the current version, and returns the new version. */
  async apply (declarations: Declarations): Promise<number> {
    const head = await readConfigurationHead(this.memory)
    if (!head.ok) throw new Error('platform failed to return the configuration head')
    const res = await applyDeclarations(this.memory, { declarations, basedOn: head.value.head.version, applyId: randomUUID() })
    if (!res.ok) throw new Error(`apply failed with code ${res.error.code}`)
    return res.value.version
  }

  /** Waits until every daemon lists all daemons of the cluster as active. */
  async waitForMembers (): Promise<void> {
    await waitUntil('all daemons list each other as active', () =>
      this.daemons.every((daemon) => daemon.parts.membership.listActiveIds().length === this.daemons.length))
  }

  /** Returns the caller URL of a daemon, including the service. */
  getUrl (index: number): string {
    const { host, port } = this.getDaemon(index).getAddress('caller')
    return `http://${host}:${port}/${SERVICE}`
  }

  getDaemon (index: number): Daemon {
    const daemon = this.daemons[index]
    if (daemon === undefined) throw new Error(`no daemon ${index}`)
    return daemon
  }

  getEndpoint (index: number): EndpointStandIn {
    const endpoint = this.endpoints[index]
    if (endpoint === undefined) throw new Error(`no endpoint ${index}`)
    return endpoint
  }

  /** Builds declarations with the cluster's only pool and service. */
  createDeclarations (): Declarations {
    const vms = this.endpoints.map((_endpoint, index) => ({ id: `vm-${index + 1}`, zone: ZONES[index % ZONES.length], rack: `rack-${index % ZONES.length}`, pool: POOL }))
    const endpoints = this.endpoints.map((endpoint, index) => ({
      id: endpoint.id, vm: `vm-${index + 1}`, host: '127.0.0.1', port: endpoint.port, slots: this.options.slots ?? DEFAULT_SLOTS,
    }))
    return {
      inventory: inventorySchema.parse({
        regions: [{ id: 'local', zones: ZONES }],
        pools: [{ id: POOL }],
        vms,
        services: [{ id: SERVICE, pool: POOL, endpoints, ...this.options.service }],
      }),
      rules: rulesSchema.parse({ budgets: [{ pool: POOL, minAvailable: 0 }], weights: { bufferCost: 0.5, moves: 0.5 } }),
    }
  }

  async dispose (): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()))
    await Promise.all(this.endpoints.map((endpoint) => endpoint.dispose()))
  }

  private retire (index: number): Daemon | undefined {
    const [daemon] = this.daemons.splice(index, 1)
    if (daemon !== undefined) this.retired.push(daemon)
    return daemon
  }

  private async startEndpoints (): Promise<void> {
    for (let index = 0; index < this.options.endpoints; index++) {
      this.endpoints.push(await EndpointStandIn.create({
        id: `${SERVICE}-${index + 1}`,
        slots: this.options.slots ?? DEFAULT_SLOTS,
        serviceTimeMs: this.options.serviceTimeMs ?? (() => DEFAULT_SERVICE_TIME_MS),
        ...this.options.refuseAboveSlots === undefined ? {} : { refuseAboveSlots: this.options.refuseAboveSlots },
      }))
    }
  }
}
