/**
 * Plug-ins of a daemon that serves jobs.
 */
import { delay, ServiceKey, type Kernel, type Plugin, type PluginCatalogue } from '@vanillathread/kernel'
import type { FleetFeeds, Ingress, RowStore } from '@vanillathread/ports'
import { PeerNetwork } from '../peer/PeerNetwork.js'
import type { ServerContext } from '../server/ConnectionGuard.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { ConfigurationWatcher } from './ConfigurationWatcher.js'
import { GuardedVmClients } from './GuardedVmClients.js'
import { HedgedRowStore } from './HedgedRowStore.js'
import { JobGateway } from './JobGateway.js'
import { DIRECT_ROWS, JOBS_PLATFORM, JOBS_SETTINGS, METRICS_TEXT } from './JobsDaemon.js'
import { getResources } from './JobsSettings.js'
import { stopServingAfterMs } from './jobOptions.js'
import { MetricsServer } from './MetricsServer.js'
import { MemberDirectory } from './MemberDirectory.js'
import { RelayedRowStore } from './RelayedRowStore.js'
import { ShardOwnership } from './ShardOwnership.js'
import { StoreOutageMonitor } from './StoreOutageMonitor.js'
import { StoreRelay } from './StoreRelay.js'
import { VmCallRelay } from './VmCallRelay.js'

enum JobPluginId {
  Peers = 'jobs-peers',
  Configuration = 'jobs-configuration',
  Shard = 'jobs-shard',
  Clients = 'jobs-clients',
  Metrics = 'jobs-metrics',
}

const NETWORK = ServiceKey.create<PeerTransport>('jobs-network')
const MEMBERS = ServiceKey.create<MemberDirectory>('jobs-members')
const CONFIGURATION = ServiceKey.create<ConfigurationWatcher>('jobs-configuration')
/** Paths to the store of the daemon as an owner. */
const OWNER_PATHS = ServiceKey.create<RelayedRowStore>('jobs-owner-paths')
/** Store client of the daemon as an owner, and the feeds that are read through it. */
const OWNER_ROWS = ServiceKey.create<RowStore>('jobs-owner-rows')
const OWNER_FEEDS = ServiceKey.create<FleetFeeds>('jobs-owner-feeds')
const SHARD = ServiceKey.create<ShardOwnership>('jobs-shard')

/** The only shard; its name is also the part of its rows in the store. */
const SHARD_NAME = 'main'

/** Share of the time between the stop signal and the kill in which an owner may commit its remaining changes. */
const FLUSH_SHARE = 0.2

class PeersPlugin implements Plugin {
  private readonly network: PeerTransport
  private readonly members: MemberDirectory

  constructor (kernel: Kernel) {
    const settings = kernel.get(JOBS_SETTINGS)
    this.network = kernel.get(JOBS_PLATFORM).network ?? PeerNetwork.create({ ...createServerContext(kernel), listen: settings.peer })
    this.members = MemberDirectory.create({ settings, timers: kernel.timers, log: kernel.log, rows: kernel.get(JOBS_PLATFORM).rows, network: this.network })
    const { timers, log } = kernel
    const direct = kernel.get(DIRECT_ROWS)
    StoreRelay.create({ network: this.network, rows: direct, timers, log })
    const paths = RelayedRowStore.create({ direct, network: this.network, timers, log })
    const ownerRows = HedgedRowStore.create({ rows: paths, timers, paths })
    const { feeds, openFeeds } = kernel.get(JOBS_PLATFORM)
    kernel.provide(OWNER_PATHS, paths)
    kernel.provide(OWNER_ROWS, ownerRows)
    kernel.provide(OWNER_FEEDS, openFeeds?.(ownerRows) ?? feeds)
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
  private readonly watcher: ConfigurationWatcher
  private readonly store: StoreOutageMonitor

  constructor (kernel: Kernel) {
    this.store = StoreOutageMonitor.create({ rows: kernel.get(JOBS_PLATFORM).rows, timers: kernel.timers, log: kernel.log, metrics: kernel.metrics })
    this.watcher = ConfigurationWatcher.create({ feeds: kernel.get(OWNER_FEEDS), timers: kernel.timers, log: kernel.log, keyRevocationMs: kernel.get(JOBS_SETTINGS).keyRevocationMs })
    kernel.provide(CONFIGURATION, this.watcher)
  }

  async start (): Promise<void> {
    this.watcher.run()
  }

  dispose (): void {
    this.watcher.dispose()
    this.store.dispose()
  }
}

class ShardPlugin implements Plugin {
  private readonly ownership: ShardOwnership
  private readonly relay: VmCallRelay

  constructor (private readonly kernel: Kernel) {
    const { vms: unguarded, admissionService, machines } = kernel.get(JOBS_PLATFORM)
    const vms = GuardedVmClients.create({ vms: unguarded, log: kernel.log })
    const rows = kernel.get(OWNER_ROWS)
    const feeds = kernel.get(OWNER_FEEDS)
    this.ownership = ShardOwnership.create({
      shard: SHARD_NAME,
      context: { settings: kernel.get(JOBS_SETTINGS), timers: kernel.timers, log: kernel.log, rows, feeds, vms, admissionService, machines, configuration: kernel.get(CONFIGURATION) },
      network: kernel.get(NETWORK),
      members: kernel.get(MEMBERS),
    })
    kernel.get(OWNER_PATHS).listPeers = () => this.ownership.listStorePeers()
    this.relay = VmCallRelay.create({ network: kernel.get(NETWORK), vms, timers: kernel.timers, log: kernel.log })
    kernel.provide(SHARD, this.ownership)
  }

  async drain (): Promise<void> {
    await this.ownership.stop(this.kernel.get(JOBS_SETTINGS).graceMs * FLUSH_SHARE)
  }

  dispose (): void {
    this.ownership.dispose()
    this.relay.dispose()
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
      bounds: kernel.get(JOBS_SETTINGS),
      rowBytes: kernel.get(JOBS_SETTINGS).rowBytes,
      shard: kernel.get(SHARD),
      shardName: SHARD_NAME,
      network: kernel.get(NETWORK),
      metrics: kernel.metrics,
      members: kernel.get(MEMBERS),
    })
    this.ingress = platform.openIngress(this.gateway, createServerContext(kernel))
  }

  async start (): Promise<void> {
    await this.ingress.listen()
  }

  /** Hands the shard over at once, and serves clients until the balancer no longer sends any. */
  async drain (): Promise<void> {
    const { graceMs } = this.kernel.get(JOBS_SETTINGS)
    this.gateway.beginStop()
    const handedOver = this.kernel.get(SHARD).stop(graceMs * FLUSH_SHARE)
    await delay(this.kernel.timers, Math.min(stopServingAfterMs, graceMs / 2))
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
      ...createServerContext(kernel),
      address: kernel.get(JOBS_SETTINGS).metrics,
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

function createServerContext (kernel: Kernel): ServerContext {
  const { timers, log, metrics } = kernel
  return { resources: getResources(kernel.get(JOBS_SETTINGS)), timers, log, metrics }
}

/** Registers every plug-in. */
export function registerJobPlugins (catalogue: PluginCatalogue): void {
  catalogue.register({ id: JobPluginId.Peers, requires: [], create: (kernel) => new PeersPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Configuration, requires: [JobPluginId.Peers], create: (kernel) => new ConfigurationPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Shard, requires: [JobPluginId.Peers, JobPluginId.Configuration], create: (kernel) => new ShardPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Clients, requires: [JobPluginId.Shard], create: (kernel) => new ClientsPlugin(kernel) })
  catalogue.register({ id: JobPluginId.Metrics, requires: [JobPluginId.Shard], create: (kernel) => new MetricsPlugin(kernel) })
}
