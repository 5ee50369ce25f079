/**
 * Starts plug-ins in order, connects them through typed services and stops them in reverse.
 */
import { EventCode } from '@vanillathread/model'
import type { EventLog } from '../observe/EventLog.js'
import type { Metrics } from '../observe/Metrics.js'
import type { Tracing } from '../observe/Tracing.js'
import type { TimerService } from '../timer/TimerService.js'
import type { Plugin, PluginCatalogue } from './Plugin.js'

/** A typed name under which one plug-in offers an object to others. @public */
export class ServiceKey<T> {
  /** Never set; it ties the key to the type of its service. */
  declare readonly serviceType: T

  private constructor (readonly name: string) {}

  static create<T> (name: string): ServiceKey<T> {
    return new ServiceKey<T>(name)
  }
}

/** Options of {@link Kernel.create}. @public */
export interface KernelOptions {
  readonly catalogue: PluginCatalogue
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
  readonly tracing: Tracing
}

interface RunningPlugin {
  readonly id: string
  readonly plugin: Plugin
}

/** The thin core of the daemon. @public */
export class Kernel {
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
  readonly tracing: Tracing
  private readonly services = new Map<string, unknown>()
  private readonly running: RunningPlugin[] = []

  private constructor (private readonly catalogue: PluginCatalogue, options: KernelOptions) {
    this.timers = options.timers
    this.log = options.log
    this.metrics = options.metrics
    this.tracing = options.tracing
  }

  static create (options: KernelOptions): Kernel {
    return new Kernel(options.catalogue, options)
  }

  /** Offers an object to other plug-ins. */
  provide<T> (key: ServiceKey<T>, service: T): void {
    if (this.services.has(key.name)) throw new Error(`service ${key.name} is provided twice`)
    this.services.set(key.name, service)
  }

  /** Returns an object that an earlier plug-in or the entry point offered. */
  get<T> (key: ServiceKey<T>): T {
    if (!this.services.has(key.name)) throw new Error(`service ${key.name} is not provided`)
    return this.services.get(key.name) as T
  }

  /** Starts every plug-in. Where one fails, those already started are disposed of and the error is thrown. */
  async start (): Promise<void> {
    for (const definition of this.catalogue.listInStartOrder()) {
      try {
        const plugin = definition.create(this)
        this.running.push({ id: definition.id, plugin })
        await plugin.start?.()
      } catch (err) {
        this.log.write(EventCode.PluginFailed, { plugin: definition.id, reason: String(err) })
        await this.dispose()
        throw err
      }
    }
  }

  /** Drains every plug-in in reverse order, then disposes of them. */
  async stop (): Promise<void> {
    for (const { plugin } of [...this.running].reverse()) await plugin.drain?.()
    await this.dispose()
  }

  /** Releases every plug-in at once, without waiting for work in flight. */
  async dispose (): Promise<void> {
    for (const { plugin } of this.running.reverse()) await plugin.dispose?.()
    this.running.length = 0
  }
}
