/**
 * Tests of lending spare VMs.
 */
import { assert, describe } from '@vanillathread/testing'
import { CapacityPolicy, type LendableVm, type PoolDemand } from './CapacityPolicy.js'

const MOVE_MS = 20_000
const BUFFER_COST_ONLY = { bufferCost: 1, moves: 0 }
const SPARE_VMS: LendableVm[] = ['a', 'b', 'c'].map((name) => ({ vmId: `spare-${name}`, pool: 'spare', home: 'spare' }))

function createDemands (busyVms: number, change: Partial<PoolDemand> = {}): PoolDemand[] {
  return [
    { poolId: 'busy', demandVms: busyVms, members: 7, incoming: 0, minAvailable: 5, ...change },
    { poolId: 'spare', demandVms: 0, members: 3, incoming: 0, minAvailable: 1 },
  ]
}

/** Records ten deficits of a pool, each as long as `burstMs`. Returns the time afterwards. */
function recordBursts (policy: CapacityPolicy, burstMs: number): number {
  let nowMs = 0
  for (let burst = 0; burst < 10; burst++) {
    policy.recordDeficits(createDemands(14), nowMs)
    nowMs += burstMs
    policy.recordDeficits(createDemands(1), nowMs)
    nowMs += 60_000
  }
  return nowMs
}

describe('CapacityPolicy', ({ it }) => {
  it('lends nothing if earlier deficits ended before a move would have', () => {
    const policy = CapacityPolicy.create({ weights: BUFFER_COST_ONLY, moveMs: MOVE_MS })
    const nowMs = recordBursts(policy, 10_000)
    policy.recordDeficits(createDemands(14), nowMs)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, nowMs), undefined)
  })

  it('lends at once if earlier deficits lasted much longer than a move', () => {
    const policy = CapacityPolicy.create({ weights: BUFFER_COST_ONLY, moveMs: MOVE_MS })
    const nowMs = recordBursts(policy, 300_000)
    policy.recordDeficits(createDemands(14), nowMs)
    assert.equal(policy.decide(createDemands(14), SPARE_VMS, nowMs), { vmId: 'spare-a', pool: 'busy' })
  })

  it('requires a longer expected use if the weight of moves is higher', () => {
    for (const [weights, moves] of [[BUFFER_COST_ONLY, true], [{ bufferCost: 0, moves: 1 }, false]] as const) {
      const policy = CapacityPolicy.create({ weights, moveMs: MOVE_MS })
      const nowMs = recordBursts(policy, 40_000)
      policy.recordDeficits(createDemands(14), nowMs)
      assert.is(policy.decide(createDemands(14), SPARE_VMS, nowMs) !== undefined, moves)
    }
  })

  it('waits for twice the duration of a move if the pool had no earlier deficit', () => {
    const policy = CapacityPolicy.create({ weights: BUFFER_COST_ONLY, moveMs: MOVE_MS })
    policy.recordDeficits(createDemands(14), 0)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, MOVE_MS), undefined)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, 2 * MOVE_MS)?.pool, 'busy')
  })

  it('counts VMs that are on their way to a pool, and keeps the budget of the donor pool', () => {
    const policy = CapacityPolicy.create({ weights: BUFFER_COST_ONLY, moveMs: MOVE_MS })
    policy.recordDeficits(createDemands(8), 0)
    const nowMs = 10 * MOVE_MS
    assert.is(policy.decide(createDemands(8, { incoming: 1 }), SPARE_VMS, nowMs), undefined)
    const atBudget = createDemands(14).map((demand) => demand.poolId === 'spare' ? { ...demand, minAvailable: 3 } : demand)
    assert.is(policy.decide(atBudget, SPARE_VMS, nowMs), undefined)
  })
})
