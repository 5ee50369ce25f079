/**
 * Trials of tasks that may have crashed a VM.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd } from '@vanillathread/model'
import type { JobScheduler } from './JobScheduler.js'
import { PlaceObstacle } from '../placement/findPlaceObstacle.js'
import { createTeam } from '../teams/testSupport.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from './testSupport.js'

const SUSPECT = '00000000000000aa'
const OTHER = '00000000000000bb'

/** Time after which a machine that has crashed has a new VM. */
const CRASH_FOUND_MS = 3_000

/** Crashes a VM under the tasks that run there: it does not answer, and another VM on its machine does. */
function crash (scheduler: JobScheduler, vmId: string, nowMs: number, { machine = `m-${vmId}`, nextId = `${vmId}-next` } = {}): void {
  const vm = scheduler.state.vms.get(vmId)
  if (vm === undefined) throw new Error('VM is not tracked')
  scheduler.markUnresponsive(vm, nowMs)
  reportRunning(scheduler, createVmEntry(nextId, { machine, bornMs: nowMs }), nowMs)
}

/** Marks the progress of all jobs as stored. */
function store (scheduler: JobScheduler): void {
  for (const job of scheduler.listJobsToStore()) {
    job.changed = false
    scheduler.markStored(job, job.toProgress(0))
  }
}

describe('placeSuspects', ({ it }) => {
  const start = (): JobScheduler => {
    const scheduler = createScheduler()
    reportRunning(scheduler, createVmEntry('a'), 0)
    scheduler.addJob(createTestJob({ id: SUSPECT, steps: [createTestStep({ taskCount: 2 })] }), 1, 0)
    planAndAccept(scheduler, 10)
    crash(scheduler, 'a', CRASH_FOUND_MS)
    return scheduler
  }

  it('starts a suspect only once its crash is stored', () => {
    const scheduler = start()
    assert.equal(planAndAccept(scheduler, CRASH_FOUND_MS + 10), [])
    store(scheduler)
    assert.is(planAndAccept(scheduler, CRASH_FOUND_MS + 20).length, 2)
  })

  it('starts no more suspects than the cap of their team allows, and reserves no VM for the others', () => {
    const scheduler = createScheduler()
    scheduler.setTeams([createTeam('a', 9, { cpuMillis: 2_000 })])
    reportRunning(scheduler, createVmEntry('a'), 0)
    scheduler.addJob({ ...createTestJob({ id: SUSPECT, steps: [createTestStep({ taskCount: 2 })] }), team: 'a' }, 1, 0)
    planAndAccept(scheduler, 10)
    crash(scheduler, 'a', CRASH_FOUND_MS)
    store(scheduler)
    scheduler.setTeams([createTeam('a', 9, { cpuMillis: 1_000 })])
    assert.is(planAndAccept(scheduler, CRASH_FOUND_MS + 10).length, 1)
    reportRunning(scheduler, createVmEntry('b'), CRASH_FOUND_MS + 500)
    planAndAccept(scheduler, CRASH_FOUND_MS + 500)
    assert.is([...scheduler.state.vms.values()].some((vm) => vm.trialReservation !== undefined), false)
  })

  it('starts no other task on the VM of a trial until the VM has answered after it', () => {
    const scheduler = start()
    store(scheduler)
    planAndAccept(scheduler, CRASH_FOUND_MS + 10)
    scheduler.addJob(createTestJob({ id: OTHER, steps: [createTestStep({ taskCount: 1 })] }), 2, CRASH_FOUND_MS + 20)
    assert.equal(planAndAccept(scheduler, CRASH_FOUND_MS + 100), [])
    const vm = scheduler.state.vms.get('a-next')
    if (vm === undefined) throw new Error('no VM')
    scheduler.recordAnswer(vm, CRASH_FOUND_MS + 200)
    assert.is(planAndAccept(scheduler, CRASH_FOUND_MS + 210).length, 1)
  })

  it('fails the job if another VM crashes in the trial', () => {
    const scheduler = start()
    store(scheduler)
    planAndAccept(scheduler, CRASH_FOUND_MS + 10)
    crash(scheduler, 'a-next', 2 * CRASH_FOUND_MS, { machine: 'm-a', nextId: 'last' })
    assert.is(scheduler.state.jobs.get(SUSPECT)?.failed, true)
  })

  // Guards against starts beyond the verdict on crashes: a member started again before its crash was stored, which a successor then lacked.
  it('starts a gang again only once the crash of each member is stored', () => {
    const scheduler = createScheduler()
    for (const id of ['a', 'b']) reportRunning(scheduler, createVmEntry(id), 0)
    scheduler.addJob(createTestJob({ id: SUSPECT, steps: [createTestStep({ taskCount: 2, gang: true, maxTasksPerVm: 1 })] }), 1, 0)
    assert.is(planAndAccept(scheduler, 10).length, 2)
    crash(scheduler, 'a', CRASH_FOUND_MS)
    // The platform ends the other member, as its gang is broken.
    const vm = scheduler.state.vms.get('b')
    if (vm === undefined) throw new Error('no VM')
    scheduler.applyReport(vm, { clockMs: CRASH_FOUND_MS, bornMs: 1, running: [], ends: [{ number: 1, task: `${SUSPECT}.0.0.1`, run: 1, end: RunEnd.Broken, checkpoint: '' }] }, CRASH_FOUND_MS, CRASH_FOUND_MS)
    assert.equal(planAndAccept(scheduler, CRASH_FOUND_MS + 500), [])
    store(scheduler)
    assert.is(planAndAccept(scheduler, CRASH_FOUND_MS + 510).length, 2)
  })

  it('does not keep a VM reserved for a suspect whose job was cancelled, whichever pool is planned next', () => {
    const scheduler = createScheduler()
    reportRunning(scheduler, createVmEntry('a'), 0)
    reportRunning(scheduler, createVmEntry('c', { pool: 'other' }), 0)
    scheduler.addJob(createTestJob({ id: SUSPECT, steps: [createTestStep({ taskCount: 2 })] }), 1, 0)
    planAndAccept(scheduler, 10)
    crash(scheduler, 'a', CRASH_FOUND_MS)
    store(scheduler)
    const vm = scheduler.state.vms.get('a-next')
    if (vm === undefined) throw new Error('no VM')
    const step = scheduler.state.jobs.get(SUSPECT)?.occurrences.get(0)?.steps[0]
    if (step === undefined) throw new Error('no step')
    vm.trialReservation = { step, obstacle: PlaceObstacle.EndingRuns, sinceMs: CRASH_FOUND_MS }
    scheduler.cancelJob(SUSPECT, CRASH_FOUND_MS + 5)
    scheduler.addJob({ ...createTestJob({ id: '00000000000000cc', steps: [createTestStep({ taskCount: 1 })] }), pool: 'other' }, 2, CRASH_FOUND_MS + 10)
    planAndAccept(scheduler, CRASH_FOUND_MS + 20)
    scheduler.addJob(createTestJob({ id: OTHER, steps: [createTestStep({ taskCount: 1 })] }), 3, CRASH_FOUND_MS + 30)
    assert.is(planAndAccept(scheduler, CRASH_FOUND_MS + 500).length, 1)
  })
})
