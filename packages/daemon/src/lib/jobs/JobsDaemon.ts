/**
 * A daemon that serves jobs: a kernel with the plug-ins of this folder.
 */
import { BoundedEventLog, Kernel, NullMetrics, PluginCatalogue, ServiceKey, SystemTimerService, Tracing, type EventLog, type Metrics, type TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { AdmissionService, ClientApi, FleetFeeds, Ingress, MachineService, RowStore, VmClients } from '@vanillathread/ports'
import type { ServerContext } from '../server/ConnectionGuard.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { registerJobPlugins } from './jobPlugins.js'
import { HedgedRowStore } from './HedgedRowStore.js'
import type { JobsSettings } from './JobsSettings.js'

/** Limit on log lines per second of one event. An owner at five times the mean load starts about 600 tasks per second. */
const MAX_LINES_PER_SECOND = 700

/** Services of the platform that a daemon uses. @public */
export interface JobsPlatform {
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  /** Opens the feeds on another store client. Without it, they are read through `feeds` only. */
  openFeeds? (rows: RowStore): FleetFeeds
  readonly vms: VmClients
  readonly machines?: MachineService
  /** Admission service, if the platform has one. */
  readonly admissionService?: AdmissionService
  /** Replaces the TCP links to other daemons in tests. */
  readonly network?: PeerTransport
  /** Opens the addresses at which clients reach the daemon. */
  openIngress (api: ClientApi, context: ServerContext): Ingress
}

/** Options of {@link JobsDaemon.create}. @public */
export interface JobsDaemonOptions {
  readonly settings: JobsSettings
  readonly platform: JobsPlatform
  readonly log: EventLog
  readonly timers?: TimerService
  readonly metrics?: Metrics
  /** Returns the metrics as text. If it is absent, no metrics are served. */
  renderMetrics? (): Promise<string>
}

export const JOBS_SETTINGS = ServiceKey.create<JobsSettings>('jobs-settings')
export const METRICS_TEXT = ServiceKey.create<(() => Promise<string>) | undefined>('metrics-text')
/** Client on this daemon's own connections to the store that sends each call once. */
export const DIRECT_ROWS = ServiceKey.create<RowStore>('jobs-direct-rows')
export const JOBS_PLATFORM = ServiceKey.create<JobsPlatform>('jobs-platform')

/** A daemon that accepts jobs and runs them on VMs. @public */
export class JobsDaemon {
  readonly kernel: Kernel
  private readonly log: BoundedEventLog

  private constructor (private readonly options: JobsDaemonOptions) {
    const catalogue = PluginCatalogue.create()
    registerJobPlugins(catalogue)
    const timers = options.timers ?? SystemTimerService.create()
    const metrics = options.metrics ?? NullMetrics.create()
    this.log = BoundedEventLog.create({
      log: options.log, timers, linesPerSecond: MAX_LINES_PER_SECOND, onEvent: (code) => metrics.increment('events', { event: EventCode[code] }),
    })
    this.kernel = Kernel.create({
      catalogue,
      timers,
      log: this.log,
      metrics,
      tracing: Tracing.create({ sampleRatio: 0 }),
    })
    this.kernel.provide(JOBS_SETTINGS, options.settings)
    this.kernel.provide(JOBS_PLATFORM, { ...options.platform, openIngress: (api, context) => options.platform.openIngress(api, context), openFeeds: options.platform.openFeeds?.bind(options.platform), rows: HedgedRowStore.create({ rows: options.platform.rows, timers }) })
    this.kernel.provide(DIRECT_ROWS, options.platform.rows)
    this.kernel.provide(METRICS_TEXT, options.renderMetrics?.bind(options))
  }

  static create (options: JobsDaemonOptions): JobsDaemon {
    return new JobsDaemon(options)
  }

  async start (): Promise<void> {
    await this.kernel.start()
    this.log.write(EventCode.DaemonStarted, { daemon: this.options.settings.name })
  }

  /** Stops at once, without draining or logging, as a crash does. */
  async kill (): Promise<void> {
    await this.kernel.dispose()
    this.log.dispose()
  }

  async stop (): Promise<void> {
    this.log.write(EventCode.DaemonStopping, { daemon: this.options.settings.name })
    await this.kernel.stop()
    this.log.write(EventCode.DaemonStopped, { daemon: this.options.settings.name })
    this.log.dispose()
  }
}
