/**
 * Testbed of the load bench: processes for the platform, the endpoints, the daemons and the callers. {@link testbedSizes} has the numbers of each.
 */
import { inventorySchema, rulesSchema, type Declarations } from '@vanillathread/model'
import type { EndpointFault } from '@vanillathread/stand-ins'
import type { CallerPlan, CallerResult } from '../hosts/callerHost.js'
import type { DaemonAddresses, DaemonHostUsage } from '../hosts/daemonHost.js'
import type { EndpointCounts } from '../hosts/endpointHost.js'
import { acceptDeclarations } from './acceptDeclarations.js'
import { Host } from './Host.js'
import { HostRole } from './hostProtocol.js'
import { FRONT_PREFIX, Sharing } from './sharing.js'

/** Sizes of the testbed, as the requirements state them. */
export const testbedSizes = {
  services: ['listings', 'pedigrees', 'photographs', 'auctions', 'office'],
  endpointsPerService: 7,
  slots: 8,
  meanServiceMs: 80,
  daemons: 9,
  daemonProcesses: 3,
} as const

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const SERVICE_TIME_SEED = 11
const SETTLE_MS = 4_000

/** Requests per second that the slots of one service can serve. */
export const SERVICE_CAPACITY = testbedSizes.endpointsPerService * testbedSizes.slots / (testbedSizes.meanServiceMs / 1000)

/** The started processes of a testbed with one way of sharing slots. */
export class LoadTestbed {
  private readonly platform = Host.start(HostRole.Platform)
  private readonly endpoints = Host.start(HostRole.Endpoints)
  private readonly callers = Host.start(HostRole.Callers)
  private readonly daemonHosts: Host[] = []
  private addresses: DaemonAddresses[] = []
  /** Ports of the endpoints by id. */
  private ports: Record<string, number> = {}

  private constructor (private readonly sharing: Sharing) {}

  static async create (sharing: Sharing): Promise<LoadTestbed> {
    const testbed = new LoadTestbed(sharing)
    await testbed.start()
    return testbed
  }

  /** Returns the path of a service with this way of sharing slots. */
  getPath (service: string): string {
    return this.sharing === Sharing.Forward ? `/${FRONT_PREFIX}${service}/${service}` : `/${service}`
  }

  run (plan: Omit<CallerPlan, 'targets'>): Promise<CallerResult> {
    const targets = this.addresses.map(({ caller }) => `http://${caller.host}:${caller.port}`)
    return this.callers.call<CallerResult>('run', { ...plan, targets })
  }

  setFault (id: string, fault: EndpointFault): Promise<void> {
    return this.endpoints.call('setFault', { id, fault })
  }

  /** Kills the last daemon of the first process. Callers keep sending to it until the end of the run. */
  async killDaemon (): Promise<void> {
    const index = testbedSizes.daemons / testbedSizes.daemonProcesses - 1
    await this.daemonHosts[0]?.call('kill', index)
    this.addresses = this.addresses.filter((_address, position) => position !== index)
  }

  getEndpointCounts (): Promise<EndpointCounts[]> {
    return this.endpoints.call<EndpointCounts[]>('getCounts')
  }

  getUsages (): Promise<DaemonHostUsage[]> {
    return Promise.all(this.daemonHosts.map((host) => host.call<DaemonHostUsage>('getUsage')))
  }

  dispose (): void {
    for (const host of [this.platform, this.endpoints, this.callers, ...this.daemonHosts]) host.dispose()
  }

  private async start (): Promise<void> {
    const platformUrl = await this.platform.call<string>('getUrl')
    const ids = testbedSizes.services.flatMap((service) => Array.from({ length: testbedSizes.endpointsPerService }, (_, index) => `${service}-${index + 1}`))
    this.ports = await this.endpoints.call('start', { ids, slots: testbedSizes.slots, meanServiceMs: testbedSizes.meanServiceMs, seed: SERVICE_TIME_SEED })
    await this.startDaemons(platformUrl)
    await acceptDeclarations(this.platform, this.createDeclarations())
    await new Promise((resolve) => { setTimeout(resolve, SETTLE_MS) })
  }

  private async startDaemons (platformUrl: string): Promise<void> {
    for (let processIndex = 0; processIndex < testbedSizes.daemonProcesses; processIndex++) {
      const host = Host.start(HostRole.Daemons)
      const daemons = Array.from({ length: testbedSizes.daemons / testbedSizes.daemonProcesses }, (_, index) => ({
        id: `entry-${processIndex * 3 + index + 1}`, zone: ZONES[index % ZONES.length], platformUrl, seeds: this.addresses.slice(0, 1).map(({ peer }) => peer),
      }))
      this.addresses.push(...await host.call<DaemonAddresses[]>('start', { daemons, sharing: this.sharing }))
      this.daemonHosts.push(host)
    }
  }

  private createDeclarations (): Declarations {
    const vms = testbedSizes.services.flatMap((service) => Array.from({ length: testbedSizes.endpointsPerService }, (_, index) => ({
      id: `vm-${service}-${index + 1}`, zone: ZONES[index % ZONES.length], rack: `rack-${index % ZONES.length}`, pool: service,
    })))
    const services = testbedSizes.services.map((service) => ({ id: service, pool: service, endpoints: this.listEndpoints(service) }))
    const fronts = this.sharing === Sharing.Forward ? testbedSizes.services.map((service, index) => this.createFrontService(service, index)) : []
    return {
      inventory: inventorySchema.parse({ regions: [{ id: 'local', zones: ZONES }], pools: testbedSizes.services.map((id) => ({ id })), vms, services: [...services, ...fronts] }),
      rules: rulesSchema.parse({ budgets: testbedSizes.services.map((pool) => ({ pool, minAvailable: 0 })), weights: { bufferCost: 0.5, moves: 0.5 } }),
    }
  }

  private listEndpoints (service: string): object[] {
    return Array.from({ length: testbedSizes.endpointsPerService }, (_, index) => {
      const id = `${service}-${index + 1}`
      return { id, vm: `vm-${id}`, host: '127.0.0.1', port: this.ports[id], slots: testbedSizes.slots }
    })
  }

  /** Returns a front service, whose only endpoint is the daemon that owns the service behind it. */
  private createFrontService (service: string, index: number): object {
    const owner = this.addresses[index]?.caller
    return {
      id: FRONT_PREFIX + service,
      pool: service,
      queueLimit: 100_000,
      endpoints: [{ id: `owner-${service}`, vm: `vm-${service}-1`, host: owner?.host, port: owner?.port, slots: 1, connections: 100_000 }],
    }
  }
}
