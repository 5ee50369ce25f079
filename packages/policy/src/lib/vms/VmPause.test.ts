/**
 * How long a pause keeps tasks from a VM that have no place on any other.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd, type StepSpec } from '@vanillathread/model'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import type { TrackedVm } from './TrackedVm.js'
import { PauseReason } from './VmPause.js'

const PLAN_MS = 10
const PAUSE_MS = 12_000

/** A task that is to be at work again within this time has to start well before. */
const MUST_WORK_AFTER_MS = 6_000
const START_MS = 1_000

function getVm (scheduler: JobScheduler, id: string): TrackedVm {
  const vm = scheduler.state.vms.get(id)
  if (vm === undefined) throw new Error(`VM ${id} is not tracked`)
  return vm
}

function addJob (scheduler: JobScheduler, id: string, step: Partial<StepSpec>, nowMs: number): void {
  scheduler.addJob({ ...createTestJob({ id: id.repeat(16), steps: [createTestStep({ taskCount: 1, ...step })] }), maxAttempts: 100 }, 1, nowMs)
}

/** Plans until a task of the job starts. Returns how long that took, or `limitMs`. */
function measureWait (scheduler: JobScheduler, id: string, fromMs: number, limitMs: number): number {
  for (let nowMs = fromMs; nowMs < fromMs + limitMs; nowMs += PLAN_MS) {
    for (const vm of scheduler.state.vms.values()) reportRunning(scheduler, vm.entry, nowMs)
    if (planAndAccept(scheduler, nowMs).some(({ run }) => run.name.startsWith(id.repeat(16)))) return nowMs - fromMs
  }
  return limitMs
}

/** Has a VM list the end of all runs of a job. */
function end (scheduler: JobScheduler, vm: TrackedVm, id: string, how: RunEnd, nowMs: number): void {
  const ended = [...vm.runs.values()].filter(({ name }) => name.startsWith(id.repeat(16)))
  const ends = ended.map((run, index) => ({ number: vm.appliedEnd + index + 1, task: run.name, run: run.number, end: how, checkpoint: '' }))
  const running = [...vm.runs.values()].filter((run) => !ended.includes(run)).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
  scheduler.applyReport(vm, { clockMs: nowMs, bornMs: vm.entry.bornMs, running, ends }, nowMs, nowMs)
}

describe('VmPause', ({ describe, it }) => {
  describe('of the only VM for some tasks', ({ it }) => {
    const labels = ['only', 'r']
    const create = (reason: PauseReason): JobScheduler => {
      const scheduler = createScheduler()
      reportRunning(scheduler, createVmEntry('a', { labels }), 0)
      reportRunning(scheduler, createVmEntry('b'), 0)
      getVm(scheduler, 'a').pause.begin(reason, PAUSE_MS, 0)
      return scheduler
    }

    // Guards against LOST (review/8): long-running tasks had no run for 12 s at a time, as the VM that alone may run them was paused.
    it('lets long-running tasks wait for a bounded time', () => {
      for (const reason of [PauseReason.Failures, PauseReason.OverdueRuns]) {
        const scheduler = create(reason)
        addJob(scheduler, 'c', { longRunning: true, requiredLabel: 'only' }, 0)
        const waitedMs = measureWait(scheduler, 'c', PLAN_MS, PAUSE_MS)
        assert.ok(waitedMs <= MUST_WORK_AFTER_MS - START_MS, `${waitedMs} ms`)
        assert.ok(waitedMs >= 1_000, `${waitedMs} ms: a VM on which tasks fail gets a moment`)
      }
    })

    // Guards against starts in a tight loop on a VM that fails each of them.
    it('starts a task that fails there again only after a moment', () => {
      const scheduler = create(PauseReason.Failures)
      addJob(scheduler, 'c', { longRunning: true, requiredLabel: 'only' }, 0)
      let starts = 0
      for (let nowMs = 0; nowMs < PAUSE_MS; nowMs += PLAN_MS) {
        end(scheduler, getVm(scheduler, 'a'), 'c', RunEnd.Failed, nowMs)
        starts += planAndAccept(scheduler, nowMs).length
      }
      assert.ok(starts >= 3 && starts <= 6, `${starts} starts`)
    })

    it('keeps finite tasks from a VM on which tasks fail, as each start would take one of their attempts', () => {
      const scheduler = create(PauseReason.Failures)
      addJob(scheduler, 'c', { requiredLabel: 'only' }, 0)
      assert.ok(measureWait(scheduler, 'c', PLAN_MS, PAUSE_MS - 2 * PLAN_MS) >= PAUSE_MS - 2 * PLAN_MS)
    })

    it('does not let tasks start there that will have a place on another VM', () => {
      const scheduler = create(PauseReason.OverdueRuns)
      addJob(scheduler, 'd', { need: { cpuMillis: 8_000, memoryMb: 1, accelerators: 0 } }, 0)
      planAndAccept(scheduler, 0)
      addJob(scheduler, 'c', { longRunning: true }, 0)
      assert.ok(measureWait(scheduler, 'c', PLAN_MS, 4_000) >= 4_000, 'waits for the finite task to end')
    })
  })

  // Guards against LOST (review/11): with all VMs of a pool paused, again and again, accepted jobs and long-running tasks had no run for up to 20 s.
  it('of all VMs of a pool keeps no task for long', () => {
    const scheduler = createScheduler()
    for (const id of ['a', 'b', 'c']) reportRunning(scheduler, createVmEntry(id), 0)
    addJob(scheduler, 'd', { longRunning: true, taskCount: 2, maxTasksPerVm: 1 }, 0)
    planAndAccept(scheduler, 0)
    for (let nowMs = 0; nowMs < 20_000; nowMs += 2_000) for (const vm of scheduler.state.vms.values()) vm.pause.begin(PauseReason.OverdueRuns, 4_000, nowMs)
    addJob(scheduler, 'e', {}, 0)
    const waitedMs = measureWait(scheduler, 'e', PLAN_MS, 20_000)
    assert.ok(waitedMs <= 3_000 - START_MS, `${waitedMs} ms`)
    const vm = [...scheduler.state.vms.values()].find(({ runs }) => [...runs.values()].some(({ name }) => name.startsWith('d')))
    if (vm === undefined) throw new Error('no run')
    end(scheduler, vm, 'd', RunEnd.Failed, 5_000)
    assert.ok(measureWait(scheduler, 'd', 5_000, 10_000) <= MUST_WORK_AFTER_MS - START_MS)
  })

  // Guards against LOST (review/8): tasks that fail now and then count against their VM for ever if none is ever done there.
  it('does not begin because of long-running tasks that fail after they have worked for long', () => {
    const scheduler = createScheduler()
    reportRunning(scheduler, createVmEntry('a'), 0)
    const ids = ['1', '2', '3', '4', '5', '6']
    for (const id of ids) addJob(scheduler, id, { longRunning: true }, 0)
    planAndAccept(scheduler, 0)
    for (let nowMs = 14_000; nowMs < 100_000; nowMs += 2_500) {
      end(scheduler, getVm(scheduler, 'a'), ids[(nowMs / 2_500) % ids.length | 0] ?? '', RunEnd.Failed, nowMs)
      assert.is(getVm(scheduler, 'a').pause.isActive(nowMs), false, `at ${nowMs} ms`)
      planAndAccept(scheduler, nowMs + PLAN_MS)
    }
  })
})
