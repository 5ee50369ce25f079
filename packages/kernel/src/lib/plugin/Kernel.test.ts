/**
 * Checks the order of start and stop, failures at the start, the fake timers, the loop lag and the spans.
 */
import { InMemorySpanExporter, SimpleSpanProcessor } from '@opentelemetry/sdk-trace-base'
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { MemoryEventLog } from '../observe/EventLog.js'
import { LoopLagMonitor } from '../observe/LoopLagMonitor.js'
import { NullMetrics } from '../observe/Metrics.js'
import { Tracing } from '../observe/Tracing.js'
import { FakeTimerService } from '../timer/FakeTimerService.js'
import { Kernel } from './Kernel.js'
import { PluginCatalogue } from './Plugin.js'

function createKernel (steps: string[], failing?: string): { kernel: Kernel, log: MemoryEventLog } {
  const catalogue = PluginCatalogue.create()
  const register = (id: string, requires: string[]): void => catalogue.register({
    id,
    requires,
    create: () => ({
      start: async () => {
        if (id === failing) throw new Error('cannot start')
        steps.push(`start ${id}`)
      },
      drain: async () => { steps.push(`drain ${id}`) },
      dispose: () => { steps.push(`dispose ${id}`) },
    }),
  })
  register('gateway', ['dispatcher'])
  register('dispatcher', ['peers'])
  register('peers', [])
  const log = MemoryEventLog.create()
  const kernel = Kernel.create({ catalogue, log, timers: FakeTimerService.create(), metrics: NullMetrics.create(), tracing: Tracing.create({ sampleRatio: 0 }) })
  return { kernel, log }
}

describe('Kernel', ({ it }) => {
  it('starts plug-ins in the order of their requirements, and drains and disposes of them in reverse', async () => {
    const steps: string[] = []
    const { kernel } = createKernel(steps)
    await kernel.start()
    await kernel.stop()
    assert.equal(steps, [
      'start peers', 'start dispatcher', 'start gateway',
      'drain gateway', 'drain dispatcher', 'drain peers',
      'dispose gateway', 'dispose dispatcher', 'dispose peers',
    ])
  })

  it('leaves nothing running if a plug-in fails to start', async () => {
    const steps: string[] = []
    const { kernel, log } = createKernel(steps, 'dispatcher')
    let failed = false
    await kernel.start().catch(() => { failed = true })
    assert.is(failed, true)
    assert.equal(steps, ['start peers', 'dispose dispatcher', 'dispose peers'])
    assert.is(log.records[0]?.code, EventCode.PluginFailed)
  })

  it('refuses plug-ins that are registered twice, missing or require each other', () => {
    const twice = PluginCatalogue.create()
    const define = (id: string, requires: string[]) => ({ id, requires, create: () => ({}) })
    twice.register(define('a', []))
    assert.throws(() => twice.register(define('a', [])))
    const missing = PluginCatalogue.create()
    missing.register(define('a', ['b']))
    assert.throws(() => missing.listInStartOrder())
    missing.register(define('b', ['a']))
    assert.throws(() => missing.listInStartOrder())
  })
})

describe('FakeTimerService', ({ it }) => {
  it('runs timers in order of the time at which they are due, and does not run disposed ones', async () => {
    const timers = FakeTimerService.create()
    const ran: string[] = []
    timers.after(20, () => ran.push(`b ${timers.now()}`))
    timers.after(10, () => ran.push(`a ${timers.now()}`))
    const period = timers.every(8, () => ran.push(`p ${timers.now()}`))
    timers.after(5, () => ran.push('never')).dispose()
    await timers.advance(20)
    period.dispose()
    await timers.advance(20)
    assert.equal(ran, ['p 8', 'a 10', 'p 16', 'b 20'])
  })
})

describe('LoopLagMonitor', ({ it }) => {
  it('publishes how late the loop runs its timers, and logs a high lag', async () => {
    const timers = FakeTimerService.create()
    const log = MemoryEventLog.create()
    let nowMs = 0
    const late = { now: () => nowMs, wallClock: () => 0, after: timers.after.bind(timers), every: timers.every.bind(timers) }
    const gauges: number[] = []
    const metrics = { ...NullMetrics.create(), gauge: (_name: string, value: number) => { gauges.push(value) }, increment: () => {}, timing: () => {}, dispose: () => {} }
    const monitor = LoopLagMonitor.create({ timers: late, log, metrics })
    nowMs = 800
    await timers.advance(500)
    assert.is(monitor.lagMs, 300)
    assert.equal(gauges, [300])
    assert.is(log.records[0]?.code, EventCode.LoopLagHigh)
    monitor.dispose()
  })
})

describe('Tracing', ({ it }) => {
  it('starts spans in the caller\'s trace, and writes the trace context into outgoing headers', () => {
    const exporter = new InMemorySpanExporter()
    const tracing = Tracing.create({ sampleRatio: 1, processors: [new SimpleSpanProcessor(exporter)] })
    const traceId = '0af7651916cd43dd8448eb211c80319c'
    const hop = tracing.startServerSpan('caller', { traceparent: `00-${traceId}-b7ad6b7169203331-01` })
    const attempt = tracing.startClientSpan('attempt', hop.context)
    const headers: Record<string, string> = {}
    tracing.inject(attempt, headers)
    tracing.end(attempt, 'unknown')
    tracing.end(hop)
    const spans = exporter.getFinishedSpans()
    assert.equal(spans.map((span) => [span.name, span.spanContext().traceId]), [['attempt', traceId], ['caller', traceId]])
    assert.is(spans[0]?.parentSpanContext?.spanId, hop.span.spanContext().spanId)
    assert.is(headers['traceparent'], `00-${traceId}-${attempt.span.spanContext().spanId}-01`)
  })
})
