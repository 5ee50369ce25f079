/**
 * The daemon that carries requests to endpoints and maintains the fleet: a kernel that runs the plug-ins of `plugins/`.
 */
import { Kernel, NullMetrics, SystemTimerService, StatsdMetrics, Tracing, type EventLog, type Metrics, type TimerService, type TracingOptions } from '@vanillathread/kernel'
import { EventCode, type Address, type Settings } from '@vanillathread/model'
import { HttpPlatform, MemoryPlatform, type Platform } from '@vanillathread/ports'
import { DaemonState } from './DaemonState.js'
import { catalogue } from './plugins/index.js'
import { CREDITS, CONFIGURATION, DISPATCHER, MEMBERSHIP, PEERS, PLATFORM, SETTINGS, SLOT_SOURCES, STATE, type SlotSourceFactory } from './services.js'

/** Options of {@link Daemon.create}. @public */
export interface DaemonOptions {
  readonly settings: Settings
  readonly log: EventLog
  /** Platform that replaces the one in the settings. */
  readonly platform?: Platform
  readonly timers?: TimerService
  /** Options that replace those in the settings. */
  readonly tracing?: Partial<TracingOptions>
  /** Sources of slots that replace slot credits, for benchmarks that compare ways of sharing slots. */
  readonly slotSources?: SlotSourceFactory
}

/** A daemon that carries requests and maintains the fleet. @public */
export class Daemon {
  readonly kernel: Kernel
  readonly state: DaemonState
  private readonly disposePlatform: () => Promise<void>

  private constructor (private readonly options: DaemonOptions) {
    const { settings, log } = options
    const timers = options.timers ?? SystemTimerService.create()
    this.kernel = Kernel.create({
      catalogue,
      timers,
      log,
      metrics: createMetrics(settings),
      tracing: Tracing.create({ ...getTracingOptions(settings), ...options.tracing }),
    })
    this.state = DaemonState.create({ daemonId: settings.daemon.id, incarnation: Math.floor(timers.wallClock() / MILLISECONDS_PER_SECOND) })
    const platform = options.platform ?? createPlatform(settings)
    this.disposePlatform = async () => {
      if (options.platform === undefined && platform instanceof HttpPlatform) await platform.dispose()
    }
    this.kernel.provide(SETTINGS, settings)
    this.kernel.provide(STATE, this.state)
    this.kernel.provide(PLATFORM, platform)
    this.kernel.provide(SLOT_SOURCES, options.slotSources ?? (() => undefined))
  }

  static create (options: DaemonOptions): Daemon {
    return new Daemon(options)
  }

  /** Starts every plug-in. If one fails, disposes of those already started and throws the error. */
  async start (): Promise<void> {
    await this.kernel.start()
    this.kernel.log.write(EventCode.DaemonStarted, { daemonId: this.state.daemonId, incarnation: this.state.incarnation })
  }

  /** Stops gracefully: drains every plug-in, which lets requests in flight end within the drain timeout of the settings. */
  async stop (): Promise<void> {
    this.kernel.log.write(EventCode.DaemonStopping, { daemonId: this.state.daemonId })
    await this.kernel.stop()
    await this.release()
    this.kernel.log.write(EventCode.DaemonStopped, { daemonId: this.state.daemonId })
  }

  /** Stops at once without draining, as in a crash. */
  async kill (): Promise<void> {
    await this.kernel.dispose()
    await this.release()
  }

  /** Returns the address that a listener is bound to. Throws if it is not bound. */
  getAddress (listener: keyof Settings['listen']): Address {
    const address = this.state.addresses.get(listener)
    if (address === undefined) throw new Error(`listener ${listener} is not bound`)
    return address
  }

  /** Parts of the daemon, for tests and benchmarks. @internal */
  get parts () {
    const { kernel } = this
    return {
      credits: kernel.get(CREDITS),
      configuration: kernel.get(CONFIGURATION),
      dispatcher: kernel.get(DISPATCHER),
      membership: kernel.get(MEMBERSHIP),
      peers: kernel.get(PEERS),
    }
  }

  private async release (): Promise<void> {
    await this.disposePlatform()
    await this.kernel.tracing.dispose()
    this.kernel.metrics.dispose()
  }
}

const MILLISECONDS_PER_SECOND = 1000

function createMetrics (settings: Settings): Metrics {
  if (settings.metrics === undefined) return NullMetrics.create()
  const { id, zone } = settings.daemon
  return StatsdMetrics.create({ ...settings.metrics, tags: { daemon: id, zone } })
}

function getTracingOptions (settings: Settings): TracingOptions {
  const { sampleRatio, otlpUrl } = settings.tracing
  return { sampleRatio, ...otlpUrl === undefined ? {} : { otlpUrl } }
}

function createPlatform (settings: Settings): Platform {
  const { platform } = settings
  return platform.kind === 'http' ? HttpPlatform.create(platform) : MemoryPlatform.create()
}
