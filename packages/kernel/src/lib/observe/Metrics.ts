/**
 * Interface to metrics, and a writer that sends them as statsd datagrams.
 */
import { StatsD } from 'hot-shots'

/** Tags of a sample, by name. @public */
export type MetricTags = Readonly<Record<string, string>>

/** Receives metric samples. @public */
export interface Metrics {
  /** Adds one to a counter. */
  increment (name: string, tags?: MetricTags): void
  /** Sets the current value of a gauge. */
  gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  timing (name: string, valueMs: number, tags?: MetricTags): void
  /** Releases sockets and buffers. */
  dispose (): void
}

/** Discards every sample. @public */
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

/** Sends samples over UDP with hot-shots, several in one datagram. @public */
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
