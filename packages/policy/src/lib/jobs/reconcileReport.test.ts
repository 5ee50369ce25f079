/**
 * What an owner concludes from reports that are older than its orders, or that name jobs it has not read.
 */
import { assert, describe } from '@vanillathread/testing'
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
