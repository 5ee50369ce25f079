/**
 * Starts plug-ins in the order of their requirements, connects them through typed services and stops them in reverse order.
 */
import { EventCode } from '@vanillathread/model'
import type { EventLog } from '../observe/EventLog.js'
import type { Metrics } from '../observe/Metrics.js'
import type { Tracing } from '../observe/Tracing.js'
import type { TimerService } from '../timer/TimerService.js'
import type { Plugin, PluginCatalogue } from './Plugin.js'

/** A typed name under which a plug-in provides an object to other plug-ins. @public */
export class ServiceKey<T> {
  /** Never set. It makes the type of the key depend on the type of its service. */
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

/** Runs the plug-ins of a daemon and holds what they share. @public */
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

  /** Provides an object to other plug-ins. Throws if the key has one already. */
  provide<T> (key: ServiceKey<T>, service: T): void {
    if (this.services.has(key.name)) throw new Error(`service ${key.name} is provided twice`)
    this.services.set(key.name, service)
  }

  /** Returns the object that a plug-in started earlier, or the entry point, provided. Throws if there is none. */
  get<T> (key: ServiceKey<T>): T {
    if (!this.services.has(key.name)) throw new Error(`service ${key.name} is not provided`)
    return this.services.get(key.name) as T
  }

  /** Creates and starts every plug-in. If one fails, all that were created are disposed of and the error is thrown. */
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

  /** Drains every plug-in in reverse order of start, then disposes of them in that order. */
  async stop (): Promise<void> {
    for (const { plugin } of [...this.running].reverse()) await plugin.drain?.()
    await this.dispose()
  }

  /** Disposes of every plug-in in reverse order of start, without waiting for work in flight. */
  async dispose (): Promise<void> {
    for (const { plugin } of this.running.reverse()) await plugin.dispose?.()
    this.running.length = 0
  }
}
