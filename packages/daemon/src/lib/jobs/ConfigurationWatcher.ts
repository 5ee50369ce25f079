/**
 * Follows the operator's configuration and maintenance waves. Within a process, the version in force never decreases.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode, type OperatorConfiguration, type QueueRules, type Result } from '@vanillathread/model'
import { KeyIndex } from '@vanillathread/policy'
import { StoreFailureKind, type Changes, type FleetFeeds, type OperatorChange, type MaintenanceWave, type StoreFailure } from '@vanillathread/ports'
import { watchOptions } from './jobOptions.js'

/** Options of {@link ConfigurationWatcher.create}. */
export interface ConfigurationWatcherOptions {
  readonly feeds: FleetFeeds
  readonly timers: TimerService
  readonly log: EventLog
  /** Time after which a removed API key must be refused everywhere, or undefined on a deployment without teams. */
  readonly keyRevocationMs?: number
}

/** One moment on both clocks, in milliseconds. */
interface ClockReading {
  readonly steadyMs: number
  readonly wallMs: number
}

/** Holds the newest configuration and the maintenance waves that this daemon has read. */
export class ConfigurationWatcher {
  /** Maintenance waves by number. */
  readonly waves = new Map<number, MaintenanceWave>()
  private configuration: OperatorConfiguration | undefined
  private keyIndex = KeyIndex.create([])
  private pools: ReadonlySet<string> | undefined
  /** Time at which the latest read that proved the configuration current was sent. */
  private provedAt: ClockReading | undefined
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

  /** Names of the pools of the configuration in force, or undefined if none has been read yet. */
  get poolNames (): ReadonlySet<string> | undefined {
    return this.pools
  }

  /** API keys of the configuration in force. */
  get keys (): KeyIndex {
    return this.keyIndex
  }

  /** True if some queue of the configuration in force needs an API key. */
  get needsKeys (): boolean {
    return this.configuration?.queues.some(({ isPublic }) => !isPublic) ?? false
  }

  /**
   * Time since the read that last proved the configuration current was sent, in milliseconds; infinite before the first one. It is
   * the larger of the ages on both clocks, as the steady clock does not count the time for which the VM was suspended.
   */
  get ageMs (): number {
    const { provedAt } = this
    if (provedAt === undefined) return Infinity
    const now = this.readClocks()
    return Math.max(now.steadyMs - provedAt.steadyMs, now.wallMs - provedAt.wallMs)
  }

  /** Returns the queue with the longest path prefix that matches, or undefined. */
  findQueue (host: string, path: string): QueueRules | undefined {
    return this.queuesByHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix))
  }

  /** Follows the operator's feed until this watcher is disposed. */
  async run (): Promise<void> {
    let version: number | undefined
    let hasFailed = false
    while (!this.disposed) {
      const sentAt = this.readClocks()
      const res: Result<Changes<OperatorChange>, StoreFailure> = version === undefined
        ? await this.options.feeds.readOperatorRows()
        : await this.options.feeds.watchOperatorRows(version, this.getFeedWaitMs(hasFailed))
      hasFailed = !res.ok
      if (res.ok) {
        this.applyRead(res.value, version === undefined, sentAt)
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

  /**
   * Returns the wait of a long poll. With teams it is a fifth of the revocation time at the most: the age reaches two waits and two
   * answers before a poll proves the configuration again, and must stay below half of that time with a store that answers in 250 ms.
   * After a failed read the answer is needed at once, as the next one lost would make the daemon refuse calls.
   */
  private getFeedWaitMs (hasFailed: boolean): number {
    const { keyRevocationMs } = this.options
    if (keyRevocationMs === undefined) return watchOptions.operatorFeedWaitMs
    return hasFailed ? 0 : Math.min(watchOptions.operatorFeedWaitMs, keyRevocationMs * watchOptions.feedWaitShare)
  }

  private readClocks (): ClockReading {
    const { timers } = this.options
    return { steadyMs: timers.now(), wallMs: timers.wallClock() }
  }

  private applyRead ({ values, hasMore }: Changes<OperatorChange>, isWholeTable: boolean, sentAt: ClockReading): void {
    for (const change of values) this.apply(change)
    if (hasMore === true || this.configuration === undefined) return
    const versions = values.flatMap((change) => change.kind === 'configuration' ? [change.configuration.version] : [])
    const hasInvalid = values.some((change) => change.kind === 'invalid')
    // A read that holds only older versions than the one in force, or a whole table without any, shows an earlier state of the store.
    const isCurrent = versions.length > 0 ? versions.includes(this.configuration.version) : !isWholeTable || hasInvalid
    if (isCurrent) this.provedAt = sentAt
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
    this.pools = new Set(configuration.pools.map(({ name }) => name))
    this.keyIndex = KeyIndex.create(configuration.teams)
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
