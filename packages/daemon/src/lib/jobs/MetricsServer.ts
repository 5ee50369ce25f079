/**
 * Serves the daemon's metrics as text, and sets the gauges periodically.
 */
import type { FastifyInstance } from 'fastify'
import { LoopLagMonitor, type Subscription } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { ServerRole, summarizeTeams, type ConnectionTimeouts } from '@vanillathread/policy'
import type { RowStore } from '@vanillathread/ports'
import { ConnectionGuard, type ServerContext } from '../server/ConnectionGuard.js'
import { createHttpServer, type HttpLimits } from '../server/createHttpServer.js'
import { renderJsonRefusal } from '../server/refusals.js'
import type { ConfigurationWatcher } from './ConfigurationWatcher.js'
import type { ShardOwnership } from './ShardOwnership.js'

/** Period of setting the gauges. */
const SAMPLE_PERIOD_MS = 2_000

const TIMEOUTS: ConnectionTimeouts = { headerMs: 10_000, idleMs: 60_000, bodyMs: 10_000 }
const LIMITS: HttpLimits = { maxHeaderBytes: 16 * 1024, maxBodyBytes: 0, keepAliveMs: TIMEOUTS.idleMs }

/** Options of {@link MetricsServer.create}. */
export interface MetricsServerOptions extends ServerContext {
  readonly address: Address
  readonly rows: RowStore
  readonly shard: ShardOwnership
  readonly configuration: ConfigurationWatcher
  /** Returns the metrics as text. */
  render (): Promise<string>
}

/** Metrics endpoint of one daemon. */
export class MetricsServer {
  private readonly server: FastifyInstance
  private readonly guard: ConnectionGuard
  private readonly sampleTimer: Subscription
  private readonly lag: LoopLagMonitor

  private constructor (private readonly options: MetricsServerOptions) {
    this.guard = ConnectionGuard.create({ ...options, server: 'metrics', role: ServerRole.Operations, getTimeouts: () => TIMEOUTS })
    this.server = createHttpServer({ guard: this.guard, log: options.log, methods: ['GET', 'HEAD'], getLimits: () => LIMITS, render: renderJsonRefusal })
    this.server.get('/metrics', async (_req, res) => {
      await res.header('content-type', 'text/plain; version=0.0.4').send(await options.render())
    })
    this.sampleTimer = options.timers.every(SAMPLE_PERIOD_MS, () => this.sample())
    this.lag = LoopLagMonitor.create(options)
  }

  static create (options: MetricsServerOptions): MetricsServer {
    return new MetricsServer(options)
  }

  /** Opens the metrics address. If that fails, the daemon still serves clients. */
  async listen (): Promise<void> {
    try {
      await this.server.listen(this.options.address)
    } catch (err) {
      this.options.log.write(EventCode.HandlerFailed, { operation: 'listen for metrics', reason: String(err) })
    }
  }

  async dispose (): Promise<void> {
    this.sampleTimer.dispose()
    this.lag.dispose()
    await this.server.close()
    this.guard.dispose()
  }

  private sample (): void {
    const { metrics, rows, shard, configuration } = this.options
    metrics.gauge('store_silent_ms', Math.round(rows.getTimeSinceAnswerMs()))
    metrics.gauge('configuration_version', configuration.current?.version ?? 0)
    if (configuration.needsKeys) metrics.gauge('configuration_age_ms', Math.round(configuration.ageMs))
    metrics.gauge('resident_bytes', process.memoryUsage.rss())
    const { owner } = shard
    metrics.gauge('owner', owner === undefined ? 0 : 1)
    if (owner === undefined) return
    const { state } = owner.scheduler
    metrics.gauge('fencing_token', owner.fencingToken)
    for (const pool of configuration.current?.pools ?? []) {
      const vms = [...state.vms.values()].filter((vm) => vm.entry.pool === pool.name)
      metrics.gauge('pool_vms', vms.length, { pool: pool.name })
      metrics.gauge('pool_vms_silent', vms.filter((vm) => vm.unresponsiveSinceMs !== undefined).length, { pool: pool.name })
      metrics.gauge('pool_free_cpu_millis', vms.reduce((sum, vm) => sum + vm.freeCpuMillis, 0), { pool: pool.name })
      metrics.gauge('pool_open_jobs', state.openJobs.get(pool.name)?.size ?? 0, { pool: pool.name })
      metrics.gauge('pool_runs', vms.reduce((sum, vm) => sum + vm.runs.size, 0), { pool: pool.name })
    }
    if (state.nearPlaces !== undefined) {
      const { near, far, waited, waitedInVain } = state.nearPlaces.counts
      metrics.gauge('near_place_starts', near)
      metrics.gauge('far_place_starts', far)
      metrics.gauge('near_place_waits', waited)
      metrics.gauge('near_place_waits_in_vain', waitedInVain)
    }
    for (const { team, ...summary } of summarizeTeams(state)) {
      metrics.gauge('team_running_cpu_millis', summary.cpuMillis, { team })
      metrics.gauge('team_cap_cpu_millis', summary.capCpuMillis, { team })
      metrics.gauge('team_running_memory_mb', summary.memoryMb, { team })
      metrics.gauge('team_cap_memory_mb', summary.capMemoryMb, { team })
      metrics.gauge('team_share', summary.share, { team })
      metrics.gauge('team_waiting_jobs', summary.waitingJobs, { team })
    }
  }
}
