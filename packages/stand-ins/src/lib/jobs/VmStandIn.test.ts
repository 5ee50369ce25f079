import { FakeTimerService, type TimerService } from '@vanillathread/kernel'
import { assert, describe } from '@vanillathread/testing'
import { VmStandIn } from './VmStandIn.js'

/** Timers of the event loop may fire this long before their time on the monotonic clock. */
const EARLY_MS = 0.75

describe('VmStandIn', ({ describe }) => {
  describe('lease', ({ it }) => {
    it('ends the runs if its timer fires a fraction of a millisecond early', async () => {
      const fake = FakeTimerService.create()
      const timers: TimerService = {
        now: () => fake.now(),
        wallClock: () => fake.wallClock(),
        after: (delayMs, callback) => fake.after(Math.max(0, delayMs - EARLY_MS), callback),
        every: (periodMs, callback) => fake.every(periodMs, callback),
      }
      const vm = createVm(timers)
      const client = vm.connect()
      client.start({ task: '1.0.0.0', run: 1, payload: '', checkpoint: '', fencingToken: 1, leaseUntilMs: 1_000 })
      await fake.advance(500)
      assert.is(vm.runs.size, 1)
      client.renew({ fencingToken: 1, acknowledgedEnd: 0, leaseUntilMs: 2_000, waitMs: 0 })
      await fake.advance(1_000)
      assert.is(vm.runs.size, 1)
      await fake.advance(1_000)
      assert.is(vm.runs.size, 0)
    })
  })
})

function createVm (timers: TimerService): VmStandIn {
  return VmStandIn.create({
    entry: { id: 'vm', pool: 'pool', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }, labels: [], draining: false, bornMs: 1 },
    timers,
    observer: { onStart: () => {}, onEnd: () => {}, onEndsAcknowledged: () => {} },
    getBehaviour: () => ({ fails: false, cpuMillis: 1, memoryMb: 1 }),
  })
}
