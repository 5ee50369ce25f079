/**
 * Plug-ins of a daemon that serves jobs.
 */
import { delay, ServiceKey, type Kernel, type Plugin, type PluginCatalogue } from '@vanillathread/kernel'
import type { Ingress } from '@vanillathread/ports'
import { PeerNetwork } from '../peer/PeerNetwork.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { ConfigurationWatch } from './ConfigurationWatch.js'
import { JobGateway } from './JobGateway.js'
import { JOBS_PLATFORM, JOBS_SETTINGS, METRICS_TEXT } from './JobsDaemon.js'
import { stopAfterMs } from './jobOptions.js'
import { MetricsServer } from './MetricsServer.js'
import { Members } from './Members.js'
import { ShardWatch } from './ShardWatch.js'
import { StoreWatch } from './StoreWatch.js'

enum JobPluginId {
  Peers = 'jobs-peers',
  Configuration = 'jobs-configuration',
  Shard = 'jobs-shard',
  Clients = 'jobs-clients',
  Metrics = 'jobs-metrics',
}

const NETWORK = ServiceKey.create<PeerTransport>('jobs-network')
const MEMBERS = ServiceKey.create<Members>('jobs-members')
const CONFIGURATION = ServiceKey.create<ConfigurationWatch>('jobs-configuration')
const SHARD = ServiceKey.create<ShardWatch>('jobs-shard')

/** The one shard of a small deployment. */
const SHARD_NAME = 'main'

/** Share of the time between the signal and the kill in which an owner may write what is left. */
const FLUSH_SHARE = 0.2

class PeersPlugin implements Plugin {
  private readonly network: PeerTransport
  private readonly members: Members

  constructor (kernel: Kernel) {
    const settings = kernel.get(JOBS_SETTINGS)
    this.network = kernel.get(JOBS_PLATFORM).network ?? PeerNetwork.create({ listen: settings.peer, timers: kernel.timers, log: kernel.log })
    this.members = Members.create({ settings, timers: kernel.timers, rows: kernel.get(JOBS_PLATFORM).rows, network: this.network })
    kernel.provide(NETWORK, this.network)
    kernel.provide(MEMBERS, this.members)
  }

  async start (): Promise<void> {
    await this.network.listen()
    this.members.join()
  }

  async dispose (): Promise<void> {
    this.members.dispose()
    await this.network.dispose()
  }
}

class ConfigurationPlugin implements Plugin {
  private readonly watch: ConfigurationWatch
  private readonly store: StoreWatch

  constructor (kernel: Kernel) {
    this.store = StoreWatch.create({ rows: kernel.get(JOBS_PLATFORM).rows, timers: kernel.timers, log: kernel.log, metrics: kernel.metrics })
    this.watch = ConfigurationWatch.create({ feeds: kernel.get(JOBS_PLATFORM).feeds, timers: kernel.timers, log: kernel.log })
    kernel.provide(CONFIGURATION, this.watch)
  }

  async start (): Promise<void> {
    this.watch.run()
  }

  dispose (): void {
    this.watch.dispose()
    this.store.dispose()
  }
}

class ShardPlugin implements Plugin {
  private readonly watch: ShardWatch

  constructor (private readonly kernel: Kernel) {
    const { rows, feeds, vms, advisor, machines } = kernel.get(JOBS_PLATFORM)
    this.watch = ShardWatch.create({
      shard: SHARD_NAME,
      context: { settings: kernel.get(JOBS_SETTINGS), timers: kernel.timers, log: kernel.log, rows, feeds, vms, advisor, machines, configuration: kernel.get(CONFIGURATION) },
      network: kernel.get(NETWORK),
      members: kernel.get(MEMBERS),
    })
    kernel.provide(SHARD, this.watch)
  }

  async drain (): Promise<void> {
    await this.watch.stop(this.kernel.get(JOBS_SETTINGS).graceMs * FLUSH_SHARE)
  }

  dispose (): void {
    this.watch.dispose()
  }
}

class ClientsPlugin implements Plugin {
  private readonly gateway: JobGateway
  private readonly ingress: Ingress

  constructor (private readonly kernel: Kernel) {
    const platform = kernel.get(JOBS_PLATFORM)
    this.gateway = JobGateway.create({
      timers: kernel.timers,
      log: kernel.log,
      rows: platform.rows,
      configuration: kernel.get(CONFIGURATION),
      shard: kernel.get(SHARD),
      shardName: SHARD_NAME,
      network: kernel.get(NETWORK),
      metrics: kernel.metrics,
      members: kernel.get(MEMBERS),
    })
    this.ingress = platform.openIngress(this.gateway)
  }

  async start (): Promise<void> {
    await this.ingress.listen()
  }

  /** Hands the shard over at once, and serves clients until the balancer sends none any more. */
  async drain (): Promise<void> {
    const { graceMs } = this.kernel.get(JOBS_SETTINGS)
    this.gateway.beginStop()
    const handedOver = this.kernel.get(SHARD).stop(graceMs * FLUSH_SHARE)
    await delay(this.kernel.timers, Math.min(stopAfterMs, graceMs / 2))
    await handedOver
    await this.ingress.close(graceMs / 4)
  }
}

class MetricsPlugin implements Plugin {
  private readonly server: MetricsServer | undefined

  constructor (kernel: Kernel) {
    const render = kernel.get(METRICS_TEXT)
    if (render === undefined) return
    this.server = MetricsServer.create({
      address: kernel.get(JOBS_SETTINGS).metrics,
      timers: kernel.timers,
      log: kernel.log,
      metrics: kernel.metrics,
      rows: kernel.get(JOBS_PLATFORM).rows,
      shard: kernel.get(SHARD),
      configuration: kernel.get(CONFIGURATION),
      render,
    })
  }

  async start (): Promise<void> {
    await this.server?.listen()
  }

  async dispose (): Promise<void> {
    await this.server?.dispose()
  }
}

/** Registers every plug-in. */
export function registerJobPlugins (catalogue: PluginCatalogue): void {
  catalogue.register({ id: JobPluginId.Peers, requires: [], create: (kernel) => new PeersPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Configuration, requires: [], create: (kernel) => new ConfigurationPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Shard, requires: [JobPluginId.Peers, JobPluginId.Configuration], create: (kernel) => new ShardPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Clients, requires: [JobPluginId.Shard], create: (kernel) => new ClientsPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Metrics, requires: [JobPluginId.Shard], create: (kernel) => new MetricsPlugin(kernel) })
}
