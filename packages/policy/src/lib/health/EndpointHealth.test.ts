/**
 * Tests of the ejection of endpoints, its limit, and probes.
 */
import { assert, describe } from '@vanillathread/testing'
import { EndpointHealth, HealthChange } from './EndpointHealth.js'

function createHealth (endpoints = 6): EndpointHealth {
  const health = EndpointHealth.create({ failuresToEject: 3, maxEjectedShare: 0.34, ejectionMs: 1_000, maxEjectionMs: 4_000 })
  health.setEndpoints(Array.from({ length: endpoints }, (_, index) => `e${index}`))
  return health
}

function recordFailures (health: EndpointHealth, endpointId: string, times: number, nowMs = 0): HealthChange {
  let change = HealthChange.None
  for (let index = 0; index < times; index++) change = health.recordFailure(endpointId, `${endpointId}-${nowMs}-${index}`, nowMs)
  return change
}

describe('EndpointHealth', ({ it }) => {
  it('ejects after failures of distinct requests in a row', () => {
    const health = createHealth()
    for (let index = 0; index < 10; index++) health.recordFailure('e0', 'one request', 0)
    assert.is(health.canAttempt('e0', 0), true)
    assert.is(recordFailures(health, 'e0', 2), HealthChange.Ejected)
    assert.is(health.canAttempt('e0', 0), false)
  })

  it('resets the count of failures after a success', () => {
    const health = createHealth()
    recordFailures(health, 'e0', 2)
    health.recordSuccess('e0')
    assert.is(recordFailures(health, 'e0', 2, 1), HealthChange.None)
  })

  it('ejects no more than the maximum share of endpoints', () => {
    const health = createHealth()
    for (let index = 0; index < 6; index++) recordFailures(health, `e${index}`, 5)
    assert.is(health.listEjected().length, 2)
    const smallService = createHealth(2)
    recordFailures(smallService, 'e0', 5)
    assert.is(smallService.listEjected().length, 0)
  })

  it('allows one probe at a time, restores on success and ejects for longer on failure', () => {
    const health = createHealth()
    recordFailures(health, 'e0', 3)
    assert.is(health.canAttempt('e0', 1_000), true)
    health.recordStart('e0')
    assert.is(health.canAttempt('e0', 1_000), false)
    assert.is(health.recordFailure('e0', 'probe', 1_000), HealthChange.Ejected)
    assert.equal([health.canAttempt('e0', 2_900), health.canAttempt('e0', 3_000)], [false, true])
    health.recordStart('e0')
    assert.is(health.recordSuccess('e0'), HealthChange.Restored)
    assert.is(health.canAttempt('e0', 3_000), true)
  })
})
