/**
 * What an owner concludes from reports that are older than its orders, or that name jobs it has not read.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd, type RunningEntry } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { JobScheduler } from './JobScheduler.js'
import { OrderKind, StartOutcome } from './orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from './testSupport.js'

const CLOCKS = { storeNowMs: 0, wallClockMs: 0 }

describe('reconcileReport', ({ it }) => {
  it('does not stop a start without an answer because of a report that was requested before its outcome was unknown', () => {
    const scheduler = createScheduler()
    const entry = createVmEntry('a')
    reportRunning(scheduler, entry, 0)
    scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 1, 0)
    const [start] = scheduler.plan({ ...CLOCKS, nowMs: 10 }, () => undefined)
    const vm = scheduler.state.vms.get('a')
    if (start?.kind !== OrderKind.Start || vm === undefined) throw new Error('nothing was started')
    scheduler.applyStart(start.run, StartOutcome.Unknown, 610)
    scheduler.applyReport(vm, { clockMs: 620, bornMs: 1, running: [], ends: [] }, 600, 620)
    assert.is(start.run.stopReason, undefined)
    scheduler.applyReport(vm, { clockMs: 640, bornMs: 1, running: [], ends: [] }, 630, 640)
    assert.is.not(start.run.stopReason, undefined)
  })

  it('does not take a VM for evacuated while the jobs of runs that it lists are not read', () => {
    const scheduler = createScheduler({ generation: 1 })
    scheduler.restoreVm({ entry: createVmEntry('a') }, { nowMs: 0, storeNowMs: 0 })
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('VM was not restored')
    const report = { clockMs: 0, bornMs: 1, running: [{ task: '00000000000000aa.0.0.0', run: 1, checkpoint: '', percent: 100 }], ends: [] }
    scheduler.applyReport(vm, report, 0, 0)
    scheduler.evacuate('a', 0)
    assert.is(scheduler.isEvacuated('a'), false)
    scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 0, 10)
    scheduler.applyReport(vm, report, 20, 20)
    planAndAccept(scheduler, 30)
    assert.is(scheduler.isEvacuated('a'), false)
    assert.is(vm.runs.size, 1)
  })
})

/** A VM `a` with one long-running task, known as incarnation 10. */
function createRestartCase (): { scheduler: JobScheduler, vm: TrackedVm } {
  const scheduler = createScheduler()
  reportRunning(scheduler, createVmEntry('a', { bornMs: 10 }), 0)
  scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 1, 0)
  planAndAccept(scheduler, 10)
  const vm = scheduler.state.vms.get('a')
  if (vm === undefined) throw new Error('VM is not tracked')
  // The task has run for so long that it is not suspected of a later crash.
  for (const nowMs of [20, 3_000]) reportRunning(scheduler, vm.entry, nowMs)
  return { scheduler, vm }
}

function listRuns (vm: TrackedVm): RunningEntry[] {
  return [...vm.runs.values()].map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
}

/** Has the VM answer as an incarnation, with the given runs. */
function answerAs (scheduler: JobScheduler, vm: TrackedVm, bornMs: number, sentAtMs: number, running: RunningEntry[] = listRuns(vm)): void {
  scheduler.applyReport(vm, { clockMs: sentAtMs, bornMs, running, ends: [] }, sentAtMs, sentAtMs + 1)
}

/** Plans and returns the VMs on which tasks are started. */
function planStarts (scheduler: JobScheduler, nowMs: number): string[] {
  return planAndAccept(scheduler, nowMs).filter((order) => order.kind === OrderKind.Start).map((order) => order.run.vmId)
}

describe('restarts of a VM under its id', ({ describe }) => {
  describe('registrations of another incarnation than the VM confirmed', ({ it }) => {
    // Guards against TWICE: the registration of an earlier incarnation, read again, made the owner start running tasks elsewhere.
    it('do not end the runs of an incarnation that answers, whatever their start times', () => {
      for (const [confirmed, registered] of [[20, 10], [30, 20], [30, 40]] as const) {
        const { scheduler, vm } = createRestartCase()
        answerAs(scheduler, vm, confirmed, 3_100, [])
        scheduler.applyRegistration({ ...vm.entry, bornMs: confirmed }, 3_105)
        assert.equal(planStarts(scheduler, 3_110), ['a'])
        answerAs(scheduler, vm, confirmed, 3_120)
        reportRunning(scheduler, createVmEntry('b'), 3_130)
        scheduler.applyRegistration({ ...vm.entry, bornMs: registered }, 3_140)
        assert.equal(planStarts(scheduler, 3_150), [], `registered ${registered}, answers as ${confirmed}`)
        answerAs(scheduler, vm, confirmed, 3_160)
        assert.equal(planStarts(scheduler, 3_170), [])
        assert.is(vm.runs.size, 1)
      }
    })

    // Guards against starts on a VM whose registration as draining belongs to the incarnation that is about to answer.
    it('bar the VM from new tasks until it answers a call that was sent later', () => {
      const { scheduler, vm } = createRestartCase()
      scheduler.applyRegistration({ ...vm.entry, bornMs: 20, draining: true }, 3_100)
      assert.is(vm.isUsable(3_101), false)
      answerAs(scheduler, vm, 10, 3_090)
      assert.is(vm.isUsable(3_101), false, 'the answer was requested before the registration was read')
      answerAs(scheduler, vm, 10, 3_110)
      assert.is(vm.isUsable(3_120), true)
      assert.is(vm.entry.draining, false)
    })

    it('take effect once the VM answers as that incarnation', () => {
      const { scheduler, vm } = createRestartCase()
      scheduler.applyRegistration({ ...vm.entry, bornMs: 20, draining: true, labels: ['other', 'r'] }, 3_100)
      assert.is(vm.runs.size, 1)
      answerAs(scheduler, vm, 20, 3_110, [])
      assert.equal([vm.runs.size, vm.entry.draining, vm.evacuating, vm.entry.labels], [0, true, true, ['other', 'r']])
    })
  })

  describe('answers of another incarnation', ({ it }) => {
    // Guards against a wait for lost work: a clock that was set back gives the new incarnation the lower start time.
    it('end the runs of the former one once, also with a lower start time', () => {
      const { scheduler, vm } = createRestartCase()
      answerAs(scheduler, vm, 5, 3_100, [])
      scheduler.applyRegistration({ ...vm.entry, bornMs: 5 }, 3_105)
      assert.equal(planStarts(scheduler, 3_110), ['a'])
      answerAs(scheduler, vm, 5, 3_115)
      reportRunning(scheduler, createVmEntry('b'), 3_118)
      scheduler.applyRegistration({ ...vm.entry, bornMs: 5 }, 3_120)
      assert.equal(planStarts(scheduler, 3_130), [])
    })

    // Guards against ROUTE and LIMIT: tasks were placed by the labels and the capacity of the former incarnation.
    it('bar the VM from new tasks until its registration is read, as it may be of another kind', () => {
      const { scheduler, vm } = createRestartCase()
      answerAs(scheduler, vm, 20, 3_100, [])
      assert.equal([planStarts(scheduler, 3_110), vm.isUsable(3_110)], [[], false])
      scheduler.applyRegistration({ ...vm.entry, bornMs: 10 }, 3_120)
      answerAs(scheduler, vm, 20, 3_130, [])
      assert.equal(planStarts(scheduler, 3_140), [], 'the registration of the former incarnation, read again')
      scheduler.applyRegistration({ ...vm.entry, bornMs: 20, capacity: { cpuMillis: 500, memoryMb: 8_000, accelerators: 0 } }, 3_150)
      assert.equal([planStarts(scheduler, 3_160), vm.isUsable(3_160)], [[], true], 'the task needs more room than the new incarnation has')
      scheduler.applyRegistration({ ...vm.entry, bornMs: 20, capacity: { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 } }, 3_170)
      assert.equal(planStarts(scheduler, 3_180), ['a'])
    })

    // Guards against LOST: a VM that had drained and was started again under its id got no tasks from then on.
    it('end its evacuation if only the former incarnation drains, but not one for an order for its machine', () => {
      for (const isOrdered of [false, true]) {
        const { scheduler, vm } = createRestartCase()
        scheduler.applyRegistration({ ...vm.entry, draining: true }, 3_090)
        if (isOrdered) scheduler.evacuate(vm.id, 3_095)
        assert.is(vm.evacuating, true)
        answerAs(scheduler, vm, 20, 3_100, [])
        scheduler.applyRegistration({ ...vm.entry, draining: false }, 3_110)
        assert.equal([vm.evacuating, planStarts(scheduler, 3_120)], isOrdered ? [true, []] : [false, ['a']])
      }
    })

    it('leave a VM in use whose registration does not tell its incarnation', () => {
      const scheduler = createScheduler()
      const entry = createVmEntry('a', { bornMs: 0 })
      reportRunning(scheduler, entry, 0)
      const vm = scheduler.state.vms.get('a')
      if (vm === undefined) throw new Error('VM is not tracked')
      answerAs(scheduler, vm, 20, 100, [])
      assert.is(vm.isUsable(110), true)
    })

    // Guards against TWICE: a start that the new incarnation accepted before its first report arrived counted as a run of the former one.
    it('do not end runs that the new one may have started', () => {
      const { scheduler, vm } = createRestartCase()
      scheduler.addJob(createTestJob({ id: '00000000000000bb', steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 1, 3_100)
      const starts = scheduler.plan({ ...CLOCKS, nowMs: 3_110 }, () => undefined)
      assert.equal(starts.length, 1)
      for (const { run } of starts) scheduler.applyStart(run, StartOutcome.Accepted, 3_125)
      // The call that returns this report was sent before the start was answered.
      answerAs(scheduler, vm, 20, 3_120, [])
      assert.equal([...vm.runs.keys()], ['00000000000000bb.0.0.0#1'])
      // A report that was requested later lists what the new incarnation runs.
      answerAs(scheduler, vm, 20, 3_140)
      assert.is(vm.runs.size, 1)
    })
  })

  describe('after a takeover', ({ it }) => {
    // Guards against TWICE: the successor reads the registration of the former incarnation beside the record of runs on the present one.
    it('keep the recorded runs while the registration is older than the record', () => {
      const scheduler = createScheduler({ generation: 1 })
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 0, 0)
      const entry = createVmEntry('a', { bornMs: 20 })
      scheduler.restoreVm({ entry, leaseEndMs: 4_000, runs: [['00000000000000aa.0.0.0', 1]] }, { nowMs: 0, storeNowMs: 0 })
      scheduler.applyRegistration({ ...entry, bornMs: 10 }, 0)
      reportRunning(scheduler, createVmEntry('b'), 10)
      assert.equal(planStarts(scheduler, 20), [])
      const vm = scheduler.state.vms.get('a')
      if (vm === undefined) throw new Error('VM was not restored')
      answerAs(scheduler, vm, 20, 30)
      assert.equal(planStarts(scheduler, 40), [])
      assert.is(vm.runs.size, 1)
    })
  })
})

describe('runs of an occurrence that has ended', ({ it }) => {
  // Guards against LIMIT: a new owner neither counted nor stopped the copy of a task whose job had ended on another VM.
  it('occupy their VM and are stopped, whether the job is scheduled or not', () => {
    for (const schedule of [{}, { repeatCount: 2, firstRunMs: 0, intervalMs: 3_600_000 }]) {
      const scheduler = createScheduler({ generation: 1 })
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, speculative: true })], ...schedule }), 0, 0)
      for (const id of ['a', 'b']) scheduler.restoreVm({ entry: createVmEntry(id) }, { nowMs: 0, storeNowMs: 0 })
      const [first, second] = ['a', 'b'].map((id) => scheduler.state.vms.get(id))
      if (first === undefined || second === undefined) throw new Error('VMs were not restored')
      const task = '00000000000000aa.0.0.0'
      scheduler.applyReport(first, { clockMs: 0, bornMs: 1, running: [], ends: [{ number: 1, task, run: 1, end: RunEnd.Done, checkpoint: '' }] }, 0, 0)
      scheduler.applyReport(second, { clockMs: 0, bornMs: 1, running: [{ task, run: 2, checkpoint: '', percent: 100 }], ends: [] }, 0, 10)
      assert.is(second.freeCpuMillis, 7_000)
      const orders = scheduler.plan({ ...CLOCKS, nowMs: 20 }, () => undefined)
      assert.equal(orders.map(({ kind, run }) => [kind, run.key]), [[OrderKind.Stop, `${task}#2`]])
      scheduler.applyReport(second, { clockMs: 0, bornMs: 1, running: [], ends: [{ number: 1, task, run: 2, end: RunEnd.Stopped, checkpoint: '' }] }, 30, 40)
      assert.is(second.freeCpuMillis, 8_000)
      assert.is(scheduler.state.jobs.get('00000000000000aa')?.occurrences.size, 'repeatCount' in schedule ? 0 : 1)
    }
  })
})
