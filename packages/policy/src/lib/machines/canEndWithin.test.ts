/**
 * Machines are not taken away from tasks that take several times the mean.
 */
import { assert, describe } from '@vanillathread/testing'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { canEndWithin } from './canEndWithin.js'

const LIMIT_MS = 4_000

/** Starts a job with one step on a VM at time 0, and returns whether the VM can be empty within the limit at a time. */
function prepare (step: Parameters<typeof createTestStep>[0]): (nowMs: number) => boolean | undefined {
  const scheduler = createScheduler()
  reportRunning(scheduler, createVmEntry('a'), 0)
  scheduler.addJob(createTestJob({ steps: [createTestStep(step)] }), 1, 0)
  planAndAccept(scheduler, 0)
  const vm = scheduler.state.vms.get('a')
  return (nowMs) => vm === undefined ? undefined : canEndWithin(scheduler.state, vm, nowMs, LIMIT_MS)
}

describe('canEndWithin', ({ it }) => {
  it('lets a machine go whose tasks are about to end, but not one with a run of twice the expected duration', () => {
    const check = prepare({ estimateMs: 500 })
    assert.equal([check(100), check(900), check(1_100)], [true, true, false])
  })

  it('keeps a machine with tasks that are expected to take longer than the limit, until little of them is left', () => {
    const check = prepare({ estimateMs: 6_000 })
    assert.equal([check(100), check(1_900), check(2_100)], [false, false, true])
  })

  it('keeps a machine with long-running tasks', () => {
    assert.is(prepare({ longRunning: true, taskCount: 1 })(0), false)
  })
})
