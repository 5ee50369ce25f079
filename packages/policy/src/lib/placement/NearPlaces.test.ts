/**
 * Waits for near places while something fails, and what goes on beside them. Each test brings about one failure.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd } from '@vanillathread/model'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind, type Order } from '../jobs/orders.js'

const NEAR_STEP = createTestStep({ taskCount: 1, dataRack: 'r1', estimateMs: 1_000 })

/** Creates a scheduler whose rack `r1` is full from `startMs` on for about 1 s, while `r2` has room. Its queue's tasks take 1 s. */
function prepare (startMs = 0, generation = 0): JobScheduler {
  const scheduler = createScheduler({ generation, nearPlaces: { remoteFactor: 2, maxWaitMs: 1_000 } })
  reportRunning(scheduler, createVmEntry('near', { labels: ['r1'] }), startMs)
  reportRunning(scheduler, createVmEntry('far', { labels: ['r2'] }), startMs)
  for (let sample = 0; sample < 20; sample++) scheduler.state.estimates.addSample('queue', 1_000, 1_000)
  scheduler.addJob(createTestJob({ id: '1'.repeat(16), acceptedAtMs: startMs, steps: [{ ...NEAR_STEP, taskCount: 8 }] }), 2, startMs)
  planAndAccept(scheduler, startMs)
  return scheduler
}

function addWaiting (scheduler: JobScheduler, acceptedAtMs: number, acceptedVersion = 2): void {
  scheduler.addJob(createTestJob({ id: '2'.repeat(16), acceptedAtMs, steps: [NEAR_STEP] }), acceptedVersion, acceptedAtMs)
}

function listVms (orders: readonly Order[]): string[] {
  return orders.flatMap((order) => order.kind === OrderKind.Start ? [order.run.vmId] : [])
}

/** Plans every 50 ms until a task starts, and returns when and where. */
function findStart (scheduler: JobScheduler, fromMs: number, getStoreNowMs = (nowMs: number): number => nowMs): [atMs: number, vm: string] {
  for (let nowMs = fromMs; nowMs < fromMs + 5_000; nowMs += 50) {
    const [vm] = listVms(scheduler.plan({ nowMs, storeNowMs: getStoreNowMs(nowMs), wallClockMs: nowMs }, () => undefined))
    if (vm !== undefined) return [nowMs, vm]
  }
  throw new Error('nothing started')
}

describe('NearPlaces', ({ describe, it }) => {
  it('starts a waiting task near its data once there is room, and places other jobs meanwhile', () => {
    const scheduler = prepare()
    addWaiting(scheduler, 800)
    scheduler.addJob(createTestJob({ id: '3'.repeat(16), acceptedAtMs: 800, steps: [createTestStep({ taskCount: 1 })] }), 2, 800)
    assert.equal(listVms(planAndAccept(scheduler, 800)), ['far'])
    const vm = scheduler.state.vms.get('near')
    const [ended] = vm?.runs.values() ?? []
    if (vm === undefined || ended === undefined) throw new Error('nothing runs')
    const running = [...vm.runs.values()].filter((run) => run !== ended).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
    scheduler.applyReport(vm, { clockMs: 950, bornMs: 1, running, ends: [{ number: 1, task: ended.name, run: 1, end: RunEnd.Done, checkpoint: '' }] }, 949, 950)
    assert.equal(listVms(planAndAccept(scheduler, 950)), ['near'])
    assert.equal(scheduler.state.nearPlaces?.counts, { near: 9, far: 0, waited: 1, waitedInVain: 0 })
  })

  it('ends a wait at the time named if the rack stays full', () => {
    const scheduler = prepare()
    addWaiting(scheduler, 800)
    const [atMs, vm] = findStart(scheduler, 800)
    assert.ok(vm === 'far' && atMs > 800 && atMs <= 1_800, `${vm} at ${atMs}`)
    assert.is(scheduler.state.nearPlaces?.counts.waitedInVain, 1)
  })

  it('lets no task wait whose queue has too few samples', () => {
    const scheduler = prepare()
    scheduler.addJob({ ...createTestJob({ id: '2'.repeat(16), acceptedAtMs: 800, steps: [NEAR_STEP] }), queue: 'new' }, 2, 800)
    assert.equal(listVms(planAndAccept(scheduler, 800)), ['far'])
  })

  describe('while something fails', ({ it }) => {
    it('starts elsewhere in the next plan if the rack is lost', () => {
      const scheduler = prepare()
      addWaiting(scheduler, 800)
      assert.equal(listVms(planAndAccept(scheduler, 800)), [])
      const vm = scheduler.state.vms.get('near')
      if (vm !== undefined) scheduler.markUnresponsive(vm, 850)
      assert.equal(listVms(planAndAccept(scheduler, 850)), ['far'])
    })

    it('starts elsewhere in the next plan if the rack is evacuated for maintenance', () => {
      const scheduler = prepare()
      addWaiting(scheduler, 800)
      assert.equal(listVms(planAndAccept(scheduler, 800)), [])
      scheduler.evacuate('near', 5_000)
      assert.equal(listVms(planAndAccept(scheduler, 850)), ['far'])
    })

    it('begins no wait anew under a new owner', () => {
      const startWith = (acceptedAtMs: number): number => {
        const scheduler = prepare(5_000, 1)
        addWaiting(scheduler, acceptedAtMs, 0)
        return findStart(scheduler, 5_800)[0]
      }
      assert.is(startWith(4_700), 5_800)
      assert.ok(startWith(5_300) > 5_800 && startWith(5_300) <= 6_300)
    })

    it('ends a wait in time if the store is away and its clock stands still', () => {
      const scheduler = prepare()
      addWaiting(scheduler, 800)
      assert.ok(findStart(scheduler, 800, () => 800)[0] <= 1_800)
    })
  })
})
