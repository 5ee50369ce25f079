/**
 * What may be taken off a VM, and when.
 */
import { assert, describe } from '@vanillathread/testing'
import { StopReason } from './TrackedRun.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, hear, planOnce } from './testSupport.js'

describe('evacuateVm', ({ it }) => {
  const spread = createTestStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1, mayMiss: 1 })

  const prepare = () => {
    const scheduler = createScheduler()
    for (const id of ['a', 'b', 'c', 'd']) hear(scheduler, createVmEntry(id), 0)
    scheduler.addJob(createTestJob({ steps: [spread] }), 1, 0)
    planOnce(scheduler, 0)
    for (const id of ['a', 'b', 'c', 'd']) hear(scheduler, createVmEntry(id), 100)
    const used = [...scheduler.state.vms.values()].filter((vm) => vm.runs.size > 0)
    return { scheduler, used }
  }

  it('takes one task of a step away while the others work', () => {
    const { scheduler, used } = prepare()
    scheduler.evacuate(used[0]?.id ?? '', 0)
    planOnce(scheduler, 200)
    assert.equal([...used[0]?.runs.values() ?? []].map((run) => run.stopReason), [StopReason.Evacuation])
  })

  it('takes none away while a VM with another task of the step is silent', () => {
    const { scheduler, used } = prepare()
    const [first, second] = used
    if (first === undefined || second === undefined) throw new Error('tasks were not spread')
    scheduler.noteSilence(second, 150)
    scheduler.evacuate(first.id, 0)
    planOnce(scheduler, 200)
    assert.equal([...first.runs.values()].map((run) => run.stopReason), [undefined])
  })

  it('empties a VM that is draining, whatever is missing, as its tasks end with it', () => {
    const { scheduler, used } = prepare()
    const [first, second] = used
    if (first === undefined || second === undefined) throw new Error('tasks were not spread')
    scheduler.noteSilence(second, 150)
    scheduler.setVm({ ...first.entry, draining: true }, 160)
    planOnce(scheduler, 200)
    assert.equal([...first.runs.values()].map((run) => run.stopReason), [StopReason.Evacuation])
  })
})
