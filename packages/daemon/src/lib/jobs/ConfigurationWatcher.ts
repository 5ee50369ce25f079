/**
 * Follows the operator's configuration and maintenance waves. Within a process, the version in force never decreases.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode, type OperatorConfiguration, type QueueRules } from '@vanillathread/model'
import { StoreFailureKind, type FleetFeeds, type OperatorChange, type MaintenanceWave } from '@vanillathread/ports'
import { watchOptions } from './jobOptions.js'

/** Options of {@link ConfigurationWatcher.create}. */
export interface ConfigurationWatcherOptions {
  readonly feeds: FleetFeeds
  readonly timers: TimerService
  readonly log: EventLog
}

/** Holds the newest configuration and the maintenance waves that this daemon has read. */
export class ConfigurationWatcher {
  /** Maintenance waves by number. */
  readonly waves = new Map<number, MaintenanceWave>()
  private configuration: OperatorConfiguration | undefined
  /** Queues of each host, those with the longest path prefix first. */
  private readonly queuesByHost = new Map<string, QueueRules[]>()
  private disposed = false

  private constructor (private readonly options: ConfigurationWatcherOptions) {}

  static create (options: ConfigurationWatcherOptions): ConfigurationWatcher {
    return new ConfigurationWatcher(options)
  }

  /** Configuration in force, or undefined if none has been read yet. */
  get current (): OperatorConfiguration | undefined {
    return this.configuration
  }

  /** Returns the queue with the longest path prefix that matches, or undefined. */
  findQueue (host: string, path: string): QueueRules | undefined {
    return this.queuesByHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix))
  }

  /** Follows the operator's feed until this watcher is disposed. */
  async run (): Promise<void> {
    let version: number | undefined
    while (!this.disposed) {
      const res = version === undefined
        ? await this.options.feeds.readOperatorRows()
        : await this.options.feeds.watchOperatorRows(version, watchOptions.operatorFeedWaitMs)
      if (res.ok) {
        for (const change of res.value.values) this.apply(change)
        version = res.value.version
        continue
      }
      if (res.error.kind === StoreFailureKind.HistoryGone) {
        this.options.log.write(EventCode.HistoryGone, { table: 'operator', afterVersion: version })
        version = undefined
        continue
      }
      await delay(this.options.timers, watchOptions.retryMs)
    }
  }

  dispose (): void {
    this.disposed = true
  }

  private apply (change: OperatorChange): void {
    const { log } = this.options
    if (change.kind === 'invalid') log.write(EventCode.ConfigurationRejected, { key: change.key, reason: change.reason })
    else if (change.kind === 'wave') this.applyWave(change.wave)
    else this.applyConfiguration(change.configuration)
  }

  private applyWave (wave: MaintenanceWave): void {
    if (this.waves.has(wave.number)) return
    this.waves.set(wave.number, wave)
    this.options.log.write(EventCode.WaveSeen, { wave: wave.number, machines: wave.machines.length, cap: wave.cap, durationMs: wave.durationMs })
  }

  private applyConfiguration (configuration: OperatorConfiguration): void {
    if (this.configuration !== undefined && configuration.version <= this.configuration.version) return
    this.configuration = configuration
    this.queuesByHost.clear()
    const longestFirst = [...configuration.queues].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const queue of longestFirst) {
      const queues = this.queuesByHost.get(queue.host) ?? []
      queues.push(queue)
      this.queuesByHost.set(queue.host, queues)
    }
    this.options.log.write(EventCode.ConfigurationInForce, { version: configuration.version, queues: configuration.queues.length })
  }
}
