/**
 * Checks the Prometheus text of each kind of metric.
 */
import { assert, describe } from '@vanillathread/testing'
import { PrometheusMetrics } from './PrometheusMetrics.js'

describe('PrometheusMetrics', ({ it }) => {
  it('renders counters, gauges and histograms', async () => {
    const metrics = PrometheusMetrics.create({ prefix: 'vt' })
    metrics.increment('events', { event: 'JobAccepted' })
    metrics.increment('events', { event: 'JobAccepted' })
    metrics.gauge('store.silent_ms', 12)
    metrics.timing('submit_ms', 3, { answer: 'accepted' })
    const text = await metrics.render()
    assert.ok(text.includes('vt_events_total{event="JobAccepted"} 2'))
    assert.ok(text.includes('vt_store_silent_ms 12'))
    assert.ok(text.includes('vt_submit_ms_bucket{le="5",answer="accepted"} 1'))
    assert.ok(text.includes('vt_submit_ms_bucket{le="2",answer="accepted"} 0'))
  })
})
