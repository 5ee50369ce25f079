/**
 * Tests the fleet's invariants under faults: concurrent controllers, pauses, lost answers and failing VMs.
 */
import { assert, describe } from '@vanillathread/testing'
import { HaltReason, decideWave, OutReason, VmState } from '@vanillathread/policy'
import { EventCode } from '@vanillathread/model'
import { FleetRun } from './lib/FleetRun.js'

const MINUTE_MS = 60_000
const HALF_HOUR_MS = 30 * MINUTE_MS
const HOUR_MS = 60 * MINUTE_MS
const NO_FAULTS = { unavailable: 0, answerLost: 0, delayed: 0, maxDelayMs: 0 }
const FAULTS = { unavailable: 0.05, answerLost: 0.05, delayed: 0.1, maxDelayMs: 5_000 }
const SEEDS = [1, 2, 3, 4]

function countStates (run: FleetRun): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const { state } of run.history.listVms().values()) counts[state] = (counts[state] ?? 0) + 1
  return counts
}

describe('fleet', ({ it, describe }) => {
  it('maintains every VM once and violates no budget', async () => {
    const run = await FleetRun.create({ seed: 1, controllers: 3, probabilities: NO_FAULTS })
    await run.advance(2 * HOUR_MS)
    assert.equal(run.history.violations, [])
    assert.equal(countStates(run), { [VmState.Active]: 21 })
    assert.equal([...run.history.reboots.values()], Array(21).fill(1))
  })

  it('moves a VM between pools and keeps the budgets of both', async () => {
    const run = await FleetRun.create({ seed: 1, controllers: 2, probabilities: NO_FAULTS })
    run.setMaintenance({ halted: ['listings', 'auctions', 'office'] })
    await run.advance(MINUTE_MS)
    run.declareMove('office-1', 'listings')
    await run.advance(MINUTE_MS)
    assert.equal(run.history.violations, [])
    assert.is(run.history.listVms().get('office-1')?.pool, 'listings')
  })

  for (const seed of SEEDS) {
    it(`violates no invariant under faults and pauses, seed ${seed}`, async () => {
      const run = await FleetRun.create({ seed, controllers: 3, probabilities: FAULTS })
      await run.advance(HALF_HOUR_MS, { vmFailure: 0.002, pause: 0.01 })
      run.declareMove('office-2', 'auctions')
      run.declareMove('listings-3', 'office')
      await run.advance(HALF_HOUR_MS, { vmFailure: 0.002, pause: 0.01 })
      run.endFaults()
      run.setMaintenance({ acknowledgedUntil: new Date(run.timers.wallClock()).toISOString() })
      await run.advance(2 * HOUR_MS)
      assert.equal(run.history.violations, [])
      assert.equal(countStates(run), { [VmState.Active]: 21 })
      assert.is(run.history.listVms().get('office-2')?.pool, 'auctions')
      assert.is(run.history.listVms().get('listings-3')?.pool, 'office')
      for (const [vmId, { maintainedAtMs }] of run.history.listVms()) assert.is(maintainedAtMs > 0, true, vmId)
    })
  }

  it('has violations that the history detects if every controller is naive and writes without conditions', async () => {
    const rules = new Set<string>()
    for (const seed of SEEDS) {
      const run = await FleetRun.create({ seed, controllers: 3, probabilities: FAULTS, dropsConditions: true })
      await run.advance(HALF_HOUR_MS, { vmFailure: 0.01, pause: 0.05 })
      for (const { rule } of run.history.violations) rules.add(rule)
    }
    assert.is(rules.has('budget entry'), true)
  })

  describe('maintenance wave', ({ it }) => {
    it('halts after several VMs fail to return, and continues only after an acknowledgement', async () => {
      const run = await FleetRun.create({ seed: 1, controllers: 2, probabilities: NO_FAULTS })
      for (const { id } of run.declarations.inventory.vms) run.failingRebootVmIds.add(id)
      await run.advance(2 * HOUR_MS)
      const lost = [...run.history.listVms().values()].filter(({ state }) => state === VmState.Lost).length
      assert.is(lost >= 2 && lost <= 4, true, `${lost} VMs were lost before the halt`)
      assert.is(run.log.records.some(({ code }) => code === EventCode.WaveHalted), true)
      assert.equal(run.history.violations, [])
      run.failingRebootVmIds.clear()
      run.endFaults()
      await run.advance(HOUR_MS)
      assert.is([...run.history.listVms().values()].filter(({ maintainedAtMs }) => maintainedAtMs === 0).length > 15, true)
      run.setMaintenance({ acknowledgedUntil: new Date(run.timers.wallClock()).toISOString() })
      await run.advance(2 * HOUR_MS)
      assert.is([...run.history.listVms().values()].filter(({ maintainedAtMs }) => maintainedAtMs > 0).length >= 17, true)
    })

    it('halts after two failed returns, but not after one or after an acknowledgement', () => {
      const vm = { format: 1 as const, pool: 'p', state: VmState.Lost, epoch: 1, reason: OutReason.Loss, sinceMs: 0, maintainedAtMs: 0, failedReturnAtMs: 10 }
      assert.equal(decideWave(new Map([['a', vm]]), 20, 0), { running: true })
      assert.equal(decideWave(new Map([['a', vm], ['b', vm]]), 20, 0), { running: false, reason: HaltReason.CorrelatedFailure, failedVms: ['a', 'b'] })
      assert.equal(decideWave(new Map([['a', vm], ['b', vm]]), 20, 10), { running: true })
    })
  })
})
