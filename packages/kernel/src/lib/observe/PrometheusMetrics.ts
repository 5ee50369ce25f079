/**
 * Metrics that are kept in the process and rendered as Prometheus text.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Metrics, MetricTags } from './Metrics.js'

/** Upper bounds of the histogram buckets for durations: from one round trip to the longest deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000]

/** Collects samples with prom-client. The first sample of a name fixes the names of its tags. @public */
export class PrometheusMetrics implements Metrics {
  private readonly registry = new Registry()
  private readonly counters = new Map<string, Counter>()
  private readonly gauges = new Map<string, Gauge>()
  private readonly histograms = new Map<string, Histogram>()

  private constructor (private readonly prefix: string) {}

  static create (options: { prefix: string }): PrometheusMetrics {
    return new PrometheusMetrics(options.prefix)
  }

  increment (name: string, tags: MetricTags = {}): void {
    let counter = this.counters.get(name)
    if (counter === undefined) {
      counter = new Counter({ ...this.describe(name, tags), name: `${this.name(name)}_total` })
      this.counters.set(name, counter)
    }
    counter.inc({ ...tags })
  }

  gauge (name: string, value: number, tags: MetricTags = {}): void {
    let gauge = this.gauges.get(name)
    if (gauge === undefined) {
      gauge = new Gauge(this.describe(name, tags))
      this.gauges.set(name, gauge)
    }
    gauge.set({ ...tags }, value)
  }

  timing (name: string, valueMs: number, tags: MetricTags = {}): void {
    let histogram = this.histograms.get(name)
    if (histogram === undefined) {
      histogram = new Histogram({ ...this.describe(name, tags), buckets: BUCKETS_MS })
      this.histograms.set(name, histogram)
    }
    histogram.observe({ ...tags }, valueMs)
  }

  dispose (): void {
    this.registry.clear()
  }

  /** Returns all metrics in the Prometheus text format. */
  render (): Promise<string> {
    return this.registry.metrics()
  }

  private describe (name: string, tags: MetricTags) {
    return { name: this.name(name), help: name, labelNames: Object.keys(tags), registers: [this.registry] }
  }

  private name (name: string): string {
    return `${this.prefix}_${name.replaceAll('.', '_')}`
  }
}
