/**
 * Checks that cancellations of jobs that the owner never learns of do not accumulate.
 */
import { assert, describe } from '@vanillathread/testing'
import { PendingCancels } from './PendingCancels.js'
import { createScheduler, createTestJob } from './testSupport.js'

const PERIOD_MS = 1_000

describe('PendingCancels', ({ it }) => {
  it('forgets the cancellations of jobs that do not come, whatever their number', () => {
    const cancels = PendingCancels.create()
    let most = 0
    for (let nowMs = 0; nowMs < 1_000 * PERIOD_MS; nowMs += PERIOD_MS) {
      cancels.add(`job-${nowMs}`, nowMs)
      most = Math.max(most, cancels.size)
    }
    assert.ok(most <= 61, `${most} kept`)
  })

  it('keeps a cancellation that is repeated, from its last time on', () => {
    const cancels = PendingCancels.create()
    cancels.add('a', 0)
    cancels.add('b', 0)
    cancels.add('a', 40_000)
    cancels.add('c', 70_000)
    assert.equal([cancels.take('a'), cancels.take('b'), cancels.take('a')], [true, false, false])
  })
})

describe('JobScheduler', ({ it }) => {
  it('cancels a job whose cancellation came first', () => {
    const scheduler = createScheduler()
    scheduler.cancelJob('a', 0)
    scheduler.addJob(createTestJob({ id: 'a' }), 2, 10)
    assert.is(scheduler.state.jobs.get('a')?.isOver, true)
  })

  it('does not keep a cancellation of a job that it has dropped', () => {
    const scheduler = createScheduler()
    scheduler.addJob(createTestJob({ id: 'a' }), 2, 0)
    const job = scheduler.state.jobs.get('a')
    if (job === undefined) throw new Error('job was not added')
    scheduler.dropJob(job, 10)
    scheduler.cancelJob('a', 20)
    assert.is(scheduler.pendingCancels.size, 0)
    scheduler.cancelJob('b', 20)
    assert.is(scheduler.pendingCancels.size, 1)
  })
})
