/**
 * Tasks that make no progress on a VM that appears healthy.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd } from '@vanillathread/model'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind } from './orders.js'
import { StopReason } from './TrackedRun.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, reportRunning, planAndAccept } from './testSupport.js'

const DURATION_MS = 500

/** Reports every run of a VM as done. */
function endAll (scheduler: JobScheduler, vmId: string, nowMs: number): void {
  const vm = scheduler.state.vms.get(vmId)
  if (vm === undefined) return
  const ends = [...vm.runs.values()].map((run, index) => ({ number: vm.appliedEnd + index + 1, task: run.name, run: run.number, end: RunEnd.Done, checkpoint: '' }))
  scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running: [], ends }, nowMs, nowMs)
}

/**
 * Lets the scheduler learn durations from twenty-four tasks, then starts one job on a VM that makes no progress, and adds
 * another VM.
 */
function prepare (speculative: boolean) {
  const scheduler = createScheduler()
  reportRunning(scheduler, createVmEntry('a'), 0)
  for (let job = 0; job < 6; job++) {
    scheduler.addJob(createTestJob({ id: `${job}`.padStart(16, '0') }), 1, 0)
    planAndAccept(scheduler, job * DURATION_MS)
    endAll(scheduler, 'a', (job + 1) * DURATION_MS)
  }
  const startMs = 6 * DURATION_MS
  scheduler.addJob(createTestJob({ id: 'f'.repeat(16), steps: [createTestStep({ taskCount: 2, speculative })] }), 1, startMs)
  planAndAccept(scheduler, startMs)
  reportRunning(scheduler, createVmEntry('b'), startMs)
  return { scheduler, startMs }
}

describe('restartOverdue', ({ it }) => {
  it('leaves tasks alone that are within the usual spread of durations', () => {
    const { scheduler, startMs } = prepare(false)
    reportRunning(scheduler, createVmEntry('a'), startMs + 1_400)
    assert.equal(planAndAccept(scheduler, startMs + 1_400), [])
  })

  it('stops a task that makes no progress, and starts it on another VM', () => {
    const { scheduler, startMs } = prepare(false)
    const atMs = startMs + 4 * DURATION_MS
    reportRunning(scheduler, createVmEntry('a'), atMs)
    const stops = planAndAccept(scheduler, atMs)
    assert.equal(stops.map((order) => order.kind), [OrderKind.Stop, OrderKind.Stop])
    assert.is(stops[0]?.run.stopReason, StopReason.Stalled)
    const vm = scheduler.state.vms.get('a')
    const ends = stops.map(({ run }, index) => ({ number: 25 + index, task: run.name, run: run.number, end: RunEnd.Stopped, checkpoint: '' }))
    if (vm !== undefined) scheduler.applyReport(vm, { clockMs: atMs + 100, bornMs: 1, running: [], ends }, atMs + 100, atMs + 100)
    reportRunning(scheduler, createVmEntry('b'), atMs + 100)
    assert.equal(planAndAccept(scheduler, atMs + 100).map((order) => order.run.vmId), ['b', 'b'])
  })

  it('starts a single second run of an overdue speculative task', () => {
    const { scheduler, startMs } = prepare(true)
    const atMs = startMs + 3.2 * DURATION_MS
    reportRunning(scheduler, createVmEntry('a'), atMs)
    reportRunning(scheduler, createVmEntry('b'), atMs)
    const orders = planAndAccept(scheduler, atMs)
    assert.equal(orders.map((order) => [order.kind, order.run.vmId, order.run.number]), [[OrderKind.Start, 'b', 2], [OrderKind.Start, 'b', 2]])
    assert.equal(planAndAccept(scheduler, atMs + 100), [])
  })
})
