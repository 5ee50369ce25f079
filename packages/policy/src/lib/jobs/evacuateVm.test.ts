/**
 * Which tasks are stopped on a VM that is evacuated, and when.
 */
import { RunEnd } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { StopReason } from './TrackedRun.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, reportRunning, planAndAccept, STOP_MS } from './testSupport.js'

describe('evacuateVm', ({ it }) => {
  const spread = createTestStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1, mayMiss: 1 })

  const prepare = () => {
    const scheduler = createScheduler()
    for (const id of ['a', 'b', 'c', 'd']) reportRunning(scheduler, createVmEntry(id), 0)
    scheduler.addJob(createTestJob({ steps: [spread] }), 1, 0)
    planAndAccept(scheduler, 0)
    for (const id of ['a', 'b', 'c', 'd']) reportRunning(scheduler, createVmEntry(id), 100)
    const used = [...scheduler.state.vms.values()].filter((vm) => vm.runs.size > 0)
    return { scheduler, used }
  }

  it('stops one long-running task of a step while the others are available', () => {
    const { scheduler, used } = prepare()
    scheduler.evacuate(used[0]?.id ?? '', 0)
    planAndAccept(scheduler, 200)
    assert.equal([...used[0]?.runs.values() ?? []].map((run) => run.stopReason), [StopReason.Evacuation])
  })

  it('stops no task while a VM with another task of the step is unresponsive', () => {
    const { scheduler, used } = prepare()
    const [first, second] = used
    if (first === undefined || second === undefined) throw new Error('tasks were not spread')
    scheduler.markUnresponsive(second, 150)
    scheduler.evacuate(first.id, 0)
    planAndAccept(scheduler, 200)
    assert.equal([...first.runs.values()].map((run) => run.stopReason), [undefined])
  })

  it('stops the tasks of a draining VM even if others of their step are unavailable, as the VM ends them anyway', () => {
    const { scheduler, used } = prepare()
    const [first, second] = used
    if (first === undefined || second === undefined) throw new Error('tasks were not spread')
    scheduler.markUnresponsive(second, 150)
    scheduler.applyRegistration({ ...first.entry, draining: true }, 160)
    planAndAccept(scheduler, 200)
    assert.equal([...first.runs.values()].map((run) => run.stopReason), [StopReason.Evacuation])
  })

  it('stops the tasks of a VM that was draining already when this owner took over', () => {
    const scheduler = createScheduler({ generation: 1 })
    const draining = createVmEntry('a', { draining: true })
    scheduler.restoreVm({ entry: draining }, { nowMs: 0, storeNowMs: 0 })
    scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 0, 0)
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('VM was not restored')
    const running = [{ task: '00000000000000aa.0.0.0', run: 1, checkpoint: '', percent: 100 }]
    scheduler.applyReport(vm, { clockMs: 0, bornMs: 1, running, ends: [] }, 0, 0)
    reportRunning(scheduler, createVmEntry('b'), 0)
    planAndAccept(scheduler, 100)
    assert.equal([...vm.runs.values()].map((run) => run.stopReason), [StopReason.Evacuation])
  })

  it('stops no task of a step while a stop by the former owner may be ending another one', () => {
    const scheduler = createScheduler({ generation: 1 })
    for (const id of ['a', 'b', 'c', 'd']) scheduler.restoreVm({ entry: createVmEntry(id) }, { nowMs: 0, storeNowMs: 0 })
    scheduler.addJob(createTestJob({ steps: [spread] }), 0, 0)
    const report = (nowMs: number) => {
      ['a', 'b', 'c', 'd'].forEach((id, index) => {
        const vm = scheduler.state.vms.get(id)
        const running = index < 3 ? [{ task: `00000000000000aa.0.0.${index}`, run: 1, checkpoint: '', percent: 100 }] : []
        if (vm !== undefined) scheduler.applyReport(vm, { clockMs: nowMs, bornMs: 1, running, ends: [] }, nowMs, nowMs)
      })
    }
    const listStops = () => [...scheduler.state.vms.values()].flatMap((vm) => [...vm.runs.values()]).filter((run) => run.stopReason !== undefined)
    report(0)
    scheduler.evacuate('b', 0)
    planAndAccept(scheduler, 10)
    report(STOP_MS - 100)
    planAndAccept(scheduler, STOP_MS - 100)
    assert.equal(listStops(), [], 'the former owner may have stopped a task before the VMs saw the new fencing token')
    report(STOP_MS + 100)
    planAndAccept(scheduler, STOP_MS + 100)
    assert.is(listStops().length, 1)
  })

  it('stops no task of a draining VM while a stop of its step is under way on a VM that does not drain', () => {
    const { scheduler, used } = prepare()
    const [first, second] = used
    if (first === undefined || second === undefined) throw new Error('tasks were not spread')
    scheduler.evacuate(first.id, 0)
    planAndAccept(scheduler, 200)
    scheduler.applyRegistration({ ...second.entry, draining: true }, 210)
    planAndAccept(scheduler, 220)
    assert.equal([...second.runs.values()].map((run) => run.stopReason), [undefined], 'the stop on the first VM has not ended')
    const [stopped] = first.runs.values()
    if (stopped === undefined) throw new Error('no task was stopped')
    const end = { number: 1, task: stopped.name, run: stopped.number, end: RunEnd.Stopped, checkpoint: '' }
    scheduler.applyReport(first, { clockMs: 300, bornMs: 1, running: [], ends: [end] }, 290, 300)
    planAndAccept(scheduler, 310)
    assert.equal([...second.runs.values()].map((run) => run.stopReason), [StopReason.Evacuation])
  })
})
