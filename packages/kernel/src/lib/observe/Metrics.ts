/**
 * Metrics sent as statsd datagrams.
 */
import { StatsD } from 'hot-shots'

/** Tags of a sample. @public */
export type MetricTags = Readonly<Record<string, string>>

/** Where metric samples go. @public */
export interface Metrics {
  increment (name: string, tags?: MetricTags): void
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  timing (name: string, valueMs: number, tags?: MetricTags): void
  dispose (): void
}

/** Drops every sample. @public */
export class NullMetrics implements Metrics {
  private constructor () {}

  static create (): NullMetrics {
    return new NullMetrics()
  }

  increment (): void {}
  gauge (): void {}
  timing (): void {}
  dispose (): void {}
}

/** Sends samples with hot-shots, joined into datagrams. @public */
export class StatsdMetrics implements Metrics {
  private constructor (private readonly client: StatsD) {}

  static create (options: { host: string, port: number, prefix: string, tags: MetricTags }): StatsdMetrics {
    const client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: options.prefix,
      globalTags: { ...options.tags },
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      errorHandler: () => {},
    })
    return new StatsdMetrics(client)
  }

  increment (name: string, tags: MetricTags = {}): void {
    this.client.increment(name, { ...tags })
  }

  gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags })
  }

  timing (name: string, valueMs: number, tags: MetricTags = {}): void {
    this.client.timing(name, valueMs, { ...tags })
  }

  dispose (): void {
    this.client.close(() => {})
  }
}

const MAX_DATAGRAM_BYTES = 1_400
const FLUSH_INTERVAL_MS = 500
