/**
 * Tests of lending spare VMs.
 */
import { assert, describe } from '@vanillathread/testing'
import { CapacityPolicy, type LendableVm, type PoolDemand } from './CapacityPolicy.js'

const MOVE_MS = 20_000
const EAGER = { bufferCost: 1, moves: 0 }
const SPARE_VMS: LendableVm[] = ['a', 'b', 'c'].map((name) => ({ vmId: `spare-${name}`, pool: 'spare', home: 'spare' }))

function createDemands (busyVms: number, change: Partial<PoolDemand> = {}): PoolDemand[] {
  return [
    { poolId: 'busy', demandVms: busyVms, members: 7, incoming: 0, minAvailable: 5, ...change },
    { poolId: 'spare', demandVms: 0, members: 3, incoming: 0, minAvailable: 1 },
  ]
}

/** Lets a pool lack VMs for a time, again and again. */
function teachBursts (policy: CapacityPolicy, burstMs: number): number {
  let nowMs = 0
  for (let burst = 0; burst < 10; burst++) {
    policy.observe(createDemands(14), nowMs)
    nowMs += burstMs
    policy.observe(createDemands(1), nowMs)
    nowMs += 60_000
  }
  return nowMs
}

describe('CapacityPolicy', ({ it }) => {
  it('does not follow bursts that are over before a move', () => {
    const policy = CapacityPolicy.create({ weights: EAGER, moveMs: MOVE_MS })
    const nowMs = teachBursts(policy, 10_000)
    policy.observe(createDemands(14), nowMs)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, nowMs), undefined)
  })

  it('follows at once a deficit of a kind that lasts', () => {
    const policy = CapacityPolicy.create({ weights: EAGER, moveMs: MOVE_MS })
    const nowMs = teachBursts(policy, 300_000)
    policy.observe(createDemands(14), nowMs)
    assert.equal(policy.decide(createDemands(14), SPARE_VMS, nowMs), { vmId: 'spare-a', pool: 'busy' })
  })

  it('asks more of a move where moves weigh more', () => {
    for (const [weights, moves] of [[EAGER, true], [{ bufferCost: 0, moves: 1 }, false]] as const) {
      const policy = CapacityPolicy.create({ weights, moveMs: MOVE_MS })
      const nowMs = teachBursts(policy, 40_000)
      policy.observe(createDemands(14), nowMs)
      assert.is(policy.decide(createDemands(14), SPARE_VMS, nowMs) !== undefined, moves)
    }
  })

  it('waits twice the move where nothing is known of the pool', () => {
    const policy = CapacityPolicy.create({ weights: EAGER, moveMs: MOVE_MS })
    policy.observe(createDemands(14), 0)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, MOVE_MS), undefined)
    assert.is(policy.decide(createDemands(14), SPARE_VMS, 2 * MOVE_MS)?.pool, 'busy')
  })

  it('counts VMs on their way, and keeps the donor\'s budget', () => {
    const policy = CapacityPolicy.create({ weights: EAGER, moveMs: MOVE_MS })
    policy.observe(createDemands(8), 0)
    const nowMs = 10 * MOVE_MS
    assert.is(policy.decide(createDemands(8, { incoming: 1 }), SPARE_VMS, nowMs), undefined)
    const atBudget = createDemands(14).map((demand) => demand.poolId === 'spare' ? { ...demand, minAvailable: 3 } : demand)
    assert.is(policy.decide(atBudget, SPARE_VMS, nowMs), undefined)
  })
})
