/**
 * OpenTelemetry spans. HTTP headers carry the W3C trace context.
 */
import { context, defaultTextMapGetter, defaultTextMapSetter, SpanKind, SpanStatusCode, trace, type Context, type Span, type Tracer } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

/** Headers that carry a trace context. @public */
export type TraceCarrier = Record<string, string | string[] | undefined>

/** A span with the context in which its child spans start. @public */
export interface HopSpan {
  readonly span: Span
  readonly context: Context
}

/** Options of {@link Tracing.create}. @public */
export interface TracingOptions {
  /** Share of new traces that are sampled, 0 to 1. */
  readonly sampleRatio: number
  /** Address of the collector, which takes OTLP over HTTP. If absent, no spans are sent. */
  readonly otlpUrl?: string
  /** Further span processors, such as one that keeps spans in memory for tests. */
  readonly processors?: SpanProcessor[]
}

/** Starts and ends the spans of incoming and outgoing requests. @public */
export class Tracing {
  private readonly propagator = new W3CTraceContextPropagator()
  private readonly tracer: Tracer

  private constructor (private readonly provider: BasicTracerProvider) {
    this.tracer = provider.getTracer('vanillathread')
  }

  static create (options: TracingOptions): Tracing {
    const exporters = options.otlpUrl === undefined ? [] : [new BatchSpanProcessor(new OTLPTraceExporter({ url: options.otlpUrl }))]
    const sampler = new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.sampleRatio) })
    return new Tracing(new BasicTracerProvider({ sampler, spanProcessors: [...exporters, ...options.processors ?? []] }))
  }

  /** Starts the span of an incoming request, as a child of the span in the sender's trace context. */
  startServerSpan (name: string, carrier: TraceCarrier): HopSpan {
    const parent = this.propagator.extract(context.active(), carrier, defaultTextMapGetter)
    return this.start(name, SpanKind.SERVER, parent)
  }

  /** Starts the span of an outgoing request. */
  startClientSpan (name: string, parent: Context): HopSpan {
    return this.start(name, SpanKind.CLIENT, parent)
  }

  /** Writes the trace context into outgoing headers. */
  inject (hop: HopSpan, headers: Record<string, string>): void {
    this.propagator.inject(hop.context, headers, defaultTextMapSetter)
  }

  /** Ends a span, and marks it as failed if a reason is given. */
  end (hop: HopSpan, failure?: string): void {
    if (failure !== undefined) hop.span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
    hop.span.end()
  }

  /** Sends the buffered spans and stops. */
  async dispose (): Promise<void> {
    await this.provider.shutdown()
  }

  private start (name: string, kind: SpanKind, parent: Context): HopSpan {
    const span = this.tracer.startSpan(name, { kind }, parent)
    return { span, context: trace.setSpan(parent, span) }
  }
}
