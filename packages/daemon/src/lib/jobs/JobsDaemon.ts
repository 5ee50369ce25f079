/**
 * One daemon that serves jobs: a kernel with the plug-ins of this folder.
 */
import { Kernel, NullMetrics, PluginCatalogue, ServiceKey, SystemTimerService, Tracing, type EventLog, type Metrics, type TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { Advisor, ClientApi, FleetFeeds, Ingress, MachineService, RowStore, VmClients } from '@vanillathread/ports'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { registerJobPlugins } from './jobPlugins.js'
import type { JobsSettings } from './JobsSettings.js'

/** The platform as a daemon uses it. @public */
export interface JobsPlatform {
  readonly rows: RowStore
  readonly feeds: FleetFeeds
  readonly vms: VmClients
  readonly machines?: MachineService
  readonly advisor?: Advisor
  /** Links to other daemons in place of TCP, for tests. */
  readonly network?: PeerTransport
  /** Opens the addresses at which clients reach the daemon. */
  openIngress (api: ClientApi): Ingress
}

/** Options of {@link JobsDaemon.create}. @public */
export interface JobsDaemonOptions {
  readonly settings: JobsSettings
  readonly platform: JobsPlatform
  readonly log: EventLog
  readonly timers?: TimerService
  readonly metrics?: Metrics
}

export const JOBS_SETTINGS = ServiceKey.create<JobsSettings>('jobs-settings')
export const JOBS_PLATFORM = ServiceKey.create<JobsPlatform>('jobs-platform')

/** A daemon that can be started and stopped. @public */
export class JobsDaemon {
  readonly kernel: Kernel

  private constructor (private readonly options: JobsDaemonOptions) {
    const catalogue = PluginCatalogue.create()
    registerJobPlugins(catalogue)
    this.kernel = Kernel.create({
      catalogue,
      timers: options.timers ?? SystemTimerService.create(),
      log: options.log,
      metrics: options.metrics ?? NullMetrics.create(),
      tracing: Tracing.create({ sampleRatio: 0 }),
    })
    this.kernel.provide(JOBS_SETTINGS, options.settings)
    this.kernel.provide(JOBS_PLATFORM, options.platform)
  }

  static create (options: JobsDaemonOptions): JobsDaemon {
    return new JobsDaemon(options)
  }

  async start (): Promise<void> {
    await this.kernel.start()
    this.options.log.write(EventCode.DaemonStarted, { daemon: this.options.settings.name })
  }

  /** Ends without a word to anybody, as a crash does. */
  async crash (): Promise<void> {
    await this.kernel.dispose()
  }

  async stop (): Promise<void> {
    this.options.log.write(EventCode.DaemonStopping, { daemon: this.options.settings.name })
    await this.kernel.stop()
    this.options.log.write(EventCode.DaemonStopped, { daemon: this.options.settings.name })
  }
}
