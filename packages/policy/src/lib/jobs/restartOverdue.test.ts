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

describe('restartOverdue', ({ describe, it }) => {
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

  describe('for tasks that are long wherever they run', ({ it }) => {
    /** Reports the runs of one job on a VM as done, and the others as running. */
    function endJob (scheduler: JobScheduler, vmId: string, jobId: string, nowMs: number): void {
      const vm = scheduler.state.vms.get(vmId)
      if (vm === undefined) return
      const runs = [...vm.runs.values()]
      const ended = runs.filter(({ name }) => name.startsWith(jobId))
      const ends = ended.map((run, index) => ({ number: vm.appliedEnd + index + 1, task: run.name, run: run.number, end: RunEnd.Done, checkpoint: '' }))
      const running = runs.filter((run) => !ended.includes(run)).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running, ends }, nowMs, nowMs)
      vm.extendLease(nowMs, 60_000)
    }

    it('does not stop a run at the usual limit on a VM that ends other tasks, but at twice the limit', () => {
      const { scheduler, startMs } = prepare(false)
      const other = 'e'.repeat(16)
      scheduler.addJob(createTestJob({ id: other, steps: [createTestStep({ taskCount: 1 })] }), 1, startMs + 100)
      scheduler.unregisterVm('b', startMs)
      planAndAccept(scheduler, startMs + 100)
      endJob(scheduler, 'a', other, startMs + 600)
      for (const factor of [4, 6, 7.8]) {
        reportRunning(scheduler, createVmEntry('a'), startMs + factor * DURATION_MS)
        assert.equal(planAndAccept(scheduler, startMs + factor * DURATION_MS), [], `stopped after ${factor} times the mean`)
      }
      reportRunning(scheduler, createVmEntry('a'), startMs + 8.4 * DURATION_MS)
      const stops = planAndAccept(scheduler, startMs + 8.4 * DURATION_MS)
      assert.equal(stops.map(({ kind }) => kind), [OrderKind.Stop, OrderKind.Stop])
    })

    // The second factor is that of tasks of 40 s in a queue of 0.64 s (review/11), which were stopped and started again without end.
    for (const [factor, maxStarts, limitMs] of [[14, 6, 60_000], [62, 10, 100_000]] as const) {
      it(`gives each further run twice the time, so that a task of ${factor} times the mean is not restarted for ever`, () => {
        const { scheduler, startMs } = prepare(false)
        const taskMs = factor * DURATION_MS
        const beganAtMs = new Map<string, number>()
        let ended = 0
        let starts = 0
        for (let nowMs = startMs; nowMs < startMs + limitMs && ended < 2; nowMs += 100) {
          for (const vm of scheduler.state.vms.values()) {
            const runs = [...vm.runs.values()]
            const isDone = (key: string): boolean => nowMs - (beganAtMs.get(key) ?? nowMs) >= taskMs
            const over = runs.filter((run) => run.stopReason !== undefined || isDone(run.key))
            ended += over.filter((run) => run.stopReason === undefined).length
            const ends = over.map((run, index) => ({ number: vm.appliedEnd + index + 1, task: run.name, run: run.number, end: run.stopReason === undefined ? RunEnd.Done : RunEnd.Stopped, checkpoint: '' }))
            const running = runs.filter((run) => !over.includes(run)).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
            scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running, ends }, nowMs, nowMs)
            vm.extendLease(nowMs, 60_000)
          }
          for (const { kind, run } of planAndAccept(scheduler, nowMs)) {
            if (kind !== OrderKind.Start) continue
            starts += 1
            beganAtMs.set(run.key, nowMs)
          }
        }
        assert.is(ended, 2)
        assert.ok(starts <= maxStarts, `${starts} starts after the first two`)
      })
    }

    it('pauses no VM on which two long tasks of different jobs run beside many that end in time', () => {
      const scheduler = createScheduler()
      reportRunning(scheduler, createVmEntry('a'), 0)
      for (let job = 0; job < 6; job++) {
        scheduler.addJob(createTestJob({ id: `${job}`.padStart(16, '0') }), 1, 0)
        planAndAccept(scheduler, job * DURATION_MS)
        endAll(scheduler, 'a', (job + 1) * DURATION_MS)
      }
      const startMs = 6 * DURATION_MS
      const long = ['d'.repeat(16), 'c'.repeat(16)]
      for (const id of long) scheduler.addJob(createTestJob({ id, steps: [createTestStep({ taskCount: 1 })] }), 1, startMs)
      for (let round = 0; round < 4; round++) {
        const id = `${round}`.padStart(16, 'a')
        const nowMs = startMs + round * DURATION_MS
        scheduler.addJob(createTestJob({ id }), 1, nowMs)
        planAndAccept(scheduler, nowMs)
        endJob(scheduler, 'a', id, nowMs + DURATION_MS)
      }
      planAndAccept(scheduler, startMs + 4 * DURATION_MS)
      assert.is(scheduler.state.vms.get('a')?.pause.untilMs, 0)
    })

    it('takes no task for long because it is overdue on several VMs that end nothing', () => {
      const { scheduler, startMs } = prepare(false)
      for (const id of ['b', 'c', 'd']) reportRunning(scheduler, createVmEntry(id, { capacity: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 } }), startMs)
      for (const id of ['d', 'e']) scheduler.addJob(createTestJob({ id: id.repeat(16), steps: [createTestStep({ taskCount: 6, maxTasksPerVm: 2 })] }), 1, startMs)
      planAndAccept(scheduler, startMs)
      const atMs = startMs + 4.2 * DURATION_MS
      for (const id of ['b', 'c', 'd']) reportRunning(scheduler, createVmEntry(id, { capacity: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 } }), atMs)
      const stops = planAndAccept(scheduler, atMs).filter(({ kind }) => kind === OrderKind.Stop)
      assert.equal([...new Set(stops.map(({ run }) => run.vmId))].filter((id) => id !== 'a').sort(), ['b', 'c', 'd'])
      assert.ok(['b', 'c', 'd'].every((id) => (scheduler.state.vms.get(id)?.pause.untilMs ?? 0) > atMs))
    })
  })
})
