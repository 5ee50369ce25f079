/**
 * Compares the queue with a naive implementation, and tests admission.
 */
import fc from 'fast-check'
import { assert, describe } from '@vanillathread/testing'
import { WorkClass } from '@vanillathread/model'
import { ResultCode } from '@vanillathread/model'
import { ArrivalRates } from './ArrivalRates.js'
import { CLASS_ORDER } from './classOrder.js'
import { decideAdmission } from './decideAdmission.js'
import { ServiceQueue, type QueuedItem } from './ServiceQueue.js'
import { ServiceTimeEstimate } from './ServiceTimeEstimate.js'

const SEED = 20261204
const LIMIT = 6

/** Sorts all items again at each step. */
class NaiveQueue {
  private items: Array<QueuedItem<number>> = []

  offer (item: QueuedItem<number>): number | 'accepted' | 'refused' {
    const sorted = [...this.items, item].sort((a, b) =>
      CLASS_ORDER.indexOf(a.workClass) - CLASS_ORDER.indexOf(b.workClass) || a.deadlineMs - b.deadlineMs || a.enqueuedMs - b.enqueuedMs)
    const dropped = sorted.length > LIMIT ? sorted.pop() : undefined
    this.items = sorted
    if (dropped === undefined) return 'accepted'
    return dropped === item ? 'refused' : dropped.payload
  }

  take (): number | undefined {
    return this.items.shift()?.payload
  }
}

describe('ServiceQueue', ({ it }) => {
  it('serves and displaces items in the same order as a naive queue', () => {
    const step = fc.record({
      take: fc.boolean(),
      workClass: fc.constantFrom(...Object.values(WorkClass)),
      deadlineMs: fc.nat({ max: 5 }),
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const queue = ServiceQueue.create<number>({ limit: LIMIT })
      const naive = new NaiveQueue()
      steps.forEach(({ take, workClass, deadlineMs }, index) => {
        if (take) {
          assert.is(queue.take()?.payload, naive.take())
          return
        }
        const item = { workClass, deadlineMs, enqueuedMs: index, payload: index }
        const offer = queue.offer(item)
        const got = offer.accepted ? offer.displaced?.payload ?? 'accepted' : 'refused'
        assert.is(got, naive.offer(item))
      })
    }), { seed: SEED })
  })

  it('accepts another item after one was removed', () => {
    const queue = ServiceQueue.create<number>({ limit: 1 })
    const item = { workClass: WorkClass.Normal, deadlineMs: 1, enqueuedMs: 0, payload: 1 }
    queue.offer(item)
    assert.equal(queue.removeIf(({ payload }) => payload === 1), [item])
    assert.equal(queue.removeIf(() => true), [])
    assert.is(queue.offer(item).accepted, true)
  })
})

describe('admission', ({ it }) => {
  const estimate = ServiceTimeEstimate.create()
  estimate.addSample(100)

  it('refuses a request that cannot meet its deadline, with a retry delay', () => {
    assert.equal(decideAdmission({ nowMs: 0, deadlineMs: 300, waitMs: 200, serviceTimeMs: 100 }), { admitted: true })
    assert.equal(decideAdmission({ nowMs: 0, deadlineMs: 300, waitMs: 400, serviceTimeMs: 100 }), { admitted: false, code: ResultCode.DeadlineUnreachable, retryAfterMs: 200 })
    assert.is(decideAdmission({ nowMs: 300, deadlineMs: 300, waitMs: 0, serviceTimeMs: 0 }).admitted, false)
  })

  it('includes in the wait the requests that will be served first, but does not expect a burst to go on', () => {
    const slots = 10
    assert.is(estimate.getWaitMs({ ahead: 9, slots, moreUrgentRate: 0 }), 100)
    assert.is(estimate.getWaitMs({ ahead: 9, slots, moreUrgentRate: 0.05 }), 200)
    const overtaken = estimate.getWaitMs({ ahead: 9, slots, moreUrgentRate: 0.2 })
    assert.is(overtaken > 5_000 && Number.isFinite(overtaken), true)
  })

  it('estimates no wait based on an unknown service time or number of slots', () => {
    assert.is(ServiceTimeEstimate.create().getWaitMs({ ahead: 100, slots: 1, moreUrgentRate: 1 }), 0)
    assert.is(estimate.getWaitMs({ ahead: 100, slots: 0, moreUrgentRate: 0 }), 0)
  })

  it('returns the arrival rate of more urgent classes only', () => {
    const rates = ArrivalRates.create()
    for (let nowMs = 0; nowMs < 5_000; nowMs += 10) rates.recordArrival(WorkClass.Normal, nowMs)
    assert.is(rates.getMoreUrgentRate(WorkClass.Urgent, 5_000), 0)
    assert.is(rates.getMoreUrgentRate(WorkClass.Normal, 5_000), 0)
    const rate = rates.getMoreUrgentRate(WorkClass.Deferrable, 5_000)
    assert.is(rate > 0.08 && rate < 0.12, true)
  })
})
