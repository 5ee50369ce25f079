/**
 * Demand of a pool, counted separately for jobs that can still end in time and jobs that can't.
 */
import { assert, describe } from '@vanillathread/testing'
import { ArrivalMeter } from './PoolCapacityDemand.js'
import { createScheduler, createTestJob, createTestStep } from '../jobs/testSupport.js'

describe('measureDemand', ({ it }) => {
  it('separates jobs that can end in time from late jobs, and long-running tasks from both', () => {
    const scheduler = createScheduler()
    const need = { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 }
    // The objective is 1.6 times the expected duration of the step, which follows from the estimate of 500 ms, plus 600 ms.
    scheduler.addJob(createTestJob({ id: '1'.repeat(16), acceptedAtMs: 9_900, steps: [createTestStep({ taskCount: 3, need })] }), 1, 9_900)
    scheduler.addJob(createTestJob({ id: '2'.repeat(16), acceptedAtMs: 1_000, steps: [createTestStep({ taskCount: 5, need })] }), 1, 1_000)
    scheduler.addJob(createTestJob({ id: '3'.repeat(16), acceptedAtMs: 1_000, steps: [createTestStep({ taskCount: 2, need, longRunning: true, maxTasksPerVm: 1 })] }), 1, 1_000)
    const demand = scheduler.getDemand('pool', { nowMs: 10_000, storeNowMs: 10_000 })
    assert.equal([demand.busyCpuMillis, demand.lateCpuMillis, demand.longRunningCpuMillis], [3_000, 5_000, 2_000])
    assert.equal([demand.memoryMb, demand.lateMemoryMb, demand.minVms], [500, 500, 2])
  })

  it('counts only steps whose dependencies are done', () => {
    const scheduler = createScheduler()
    scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 2 }), createTestStep({ taskCount: 9, after: [0] })] }), 1, 0)
    assert.is(scheduler.getDemand('pool', { nowMs: 1, storeNowMs: 1 }).busyCpuMillis, 2_000)
  })
})

describe('ArrivalMeter', ({ it }) => {
  it('does not take one large job for high demand', () => {
    const meter = ArrivalMeter.create()
    meter.recordArrival('pool', 200_000, 900)
    assert.equal(meter.getRate('pool', 1_000), { rate: 0, trend: 0 })
  })

  it('measures the rate and the rise of many arrivals', () => {
    const meter = ArrivalMeter.create()
    for (let index = 0; index < 4; index++) meter.recordArrival('pool', 1_000, 100 + index * 200)
    for (let index = 0; index < 20; index++) meter.recordArrival('pool', 1_000, 1_000 + index * 50)
    const { rate, trend } = meter.getRate('pool', 2_000)
    assert.ok(rate > 17_000 && rate <= 20_000, `rate ${rate}`)
    assert.ok(trend > 8_000 && trend <= 16_000, `trend ${trend}`)
  })

  it('takes a small difference between two windows for chance', () => {
    const meter = ArrivalMeter.create()
    for (let index = 0; index < 10; index++) meter.recordArrival('pool', 1_000, 50 + index * 90)
    for (let index = 0; index < 12; index++) meter.recordArrival('pool', 1_000, 1_050 + index * 75)
    assert.is(meter.getRate('pool', 2_000).trend, 0)
  })
})
