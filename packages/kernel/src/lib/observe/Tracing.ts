/**
 * OpenTelemetry spans, with W3C trace context carried over HTTP headers.
 */
import { context, defaultTextMapGetter, defaultTextMapSetter, SpanKind, SpanStatusCode, trace, type Context, type Span, type Tracer } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import { BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanProcessor } from '@opentelemetry/sdk-trace-base'

/** Headers that carry a trace context. @public */
export type TraceCarrier = Record<string, string | string[] | undefined>

/** A span together with the context that its children start from. @public */
export interface HopSpan {
  readonly span: Span
  readonly context: Context
}

/** Options of {@link Tracing.create}. @public */
export interface TracingOptions {
  /** Share of new traces that are sampled, 0 to 1. */
  readonly sampleRatio: number
  /** Collector address; spans are dropped where it is absent. */
  readonly otlpUrl?: string
  /** Further processors, such as an in-memory one in tests. */
  readonly processors?: SpanProcessor[]
}

/** Starts a span for each hop. @public */
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

  /** Starts the span of a request that arrives from outside, below the sender's trace context. */
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

  /** Ends a span, marked as failed where a reason is given. */
  end (hop: HopSpan, failure?: string): void {
    if (failure !== undefined) hop.span.setStatus({ code: SpanStatusCode.ERROR, message: failure })
    hop.span.end()
  }

  /** Sends what is buffered and stops. */
  async dispose (): Promise<void> {
    await this.provider.shutdown()
  }

  private start (name: string, kind: SpanKind, parent: Context): HopSpan {
    const span = this.tracer.startSpan(name, { kind }, parent)
    return { span, context: trace.setSpan(parent, span) }
  }
}
