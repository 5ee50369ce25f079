/**
 * How long trials, and reservations for them, may keep other tasks from a VM, whatever the suspects need.
 */
import { assert, describe } from '@vanillathread/testing'
import { RunEnd, type StepSpec } from '@vanillathread/model'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { PauseReason } from '../vms/VmPause.js'
import { PlaceObstacle } from './findPlaceObstacle.js'
import { MAX_RESERVATION_MS } from './TrialReservations.js'

const SUSPECT = '00000000000000aa'
const SECOND_SUSPECT = '00000000000000ab'
const OTHER = '00000000000000bb'
const LASTING = '00000000000000cc'

/** VM that crashes, and the pool's other VMs. */
const CRASHING = 'x'
const VMS = ['a', 'b', 'c', 'd', 'e'] as const

const CRASH_MS = 5_000
const PLAN_MS = 10

/** Time for which a long-running task may be without a run by the rules of the platform, less its start and end. */
const MAX_WITHOUT_RUN_MS = 6_000 - 1_500

/** A pool of VMs with 8 cores each, a scheduler, and a clock. */
class Pool {
  nowMs = 0
  readonly scheduler: JobScheduler = createScheduler()
  private readonly ends = new Map<string, number>()

  private constructor (private readonly ids: readonly string[]) {
    for (const id of ids) this.report(id)
  }

  static create (ids: readonly string[] = VMS): Pool {
    return new Pool(ids)
  }

  addJob (id: string, step: Partial<StepSpec>, pool = 'pool'): void {
    this.scheduler.addJob({ ...createTestJob({ id, steps: [createTestStep(step)] }), pool, maxAttempts: 100 }, 1, this.nowMs)
  }

  get (id: string): TrackedVm {
    const vm = this.scheduler.state.vms.get(id)
    if (vm === undefined) throw new Error(`VM ${id} is not tracked`)
    return vm
  }

  /** Plans once and accepts all starts. Returns the names of the VMs on which tasks of the job were started. */
  plan (job: string): string[] {
    return planAndAccept(this.scheduler, this.nowMs).flatMap((order) => order.kind === 'start' && order.run.name.startsWith(job) ? [order.run.vmId] : [])
  }

  /** Plans for a time, in which all VMs answer, and returns the VMs on which tasks of the job were started. */
  run (forMs: number, job: string, beforePlan: () => void = () => {}): string[] {
    const started: string[] = []
    for (const untilMs = this.nowMs + forMs; this.nowMs < untilMs;) {
      this.nowMs += PLAN_MS
      for (const id of this.ids) if (this.scheduler.state.vms.has(id)) this.report(id)
      beforePlan()
      started.push(...this.plan(job))
    }
    return started
  }

  /** Has a VM list its runs, and the end of those of a job if that is given. */
  report (id: string, ended?: { job: string, end: RunEnd }): void {
    const { scheduler, nowMs } = this
    const vm = scheduler.state.vms.get(id)
    const runs = [...vm?.runs.values() ?? []].filter(({ name }) => ended !== undefined && name.startsWith(ended.job))
    if (vm === undefined || runs.length === 0) {
      reportRunning(scheduler, createVmEntry(id), nowMs)
      return
    }
    const ends = runs.map((run) => {
      const number = (this.ends.get(id) ?? 0) + 1
      this.ends.set(id, number)
      return { number, task: run.name, run: run.number, end: ended?.end ?? RunEnd.Done, checkpoint: '' }
    })
    const running = [...vm.runs.values()].filter((run) => !runs.includes(run)).map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
    scheduler.applyReport(vm, { clockMs: nowMs, bornMs: vm.entry.bornMs, running, ends }, nowMs, nowMs)
  }

  /** Ends a VM for good, under the tasks that have just started there, and stores what is known of the crash. */
  crash (id: string): void {
    this.scheduler.replaceVm(id, this.nowMs)
    for (const job of this.scheduler.listJobsToStore()) {
      job.changed = false
      this.scheduler.markStored(job, job.toProgress(0))
    }
  }
}

/** Creates a pool in which tasks of suspects that have just started on `CRASHING` crash it, after `prepare` has filled the other VMs. */
function createAfterCrash (suspects: ReadonlyArray<readonly [id: string, step: Partial<StepSpec>]>, prepare: (pool: Pool) => void = () => {}, vms: readonly string[] = VMS): Pool {
  const pool = Pool.create(vms)
  prepare(pool)
  pool.nowMs = CRASH_MS
  for (const id of vms) pool.report(id)
  for (const id of vms) pool.get(id).pause.begin(PauseReason.Refusal, 1, CRASH_MS)
  reportRunning(pool.scheduler, createVmEntry(CRASHING), CRASH_MS)
  for (const [id, step] of suspects) pool.addJob(id, step)
  assert.ok(pool.plan('').includes(CRASHING))
  pool.nowMs += 1
  pool.crash(CRASHING)
  return pool
}

/** Returns the longest time for which a task that fits on one VM only waits there, while suspects wait for trials. */
function measureLongestWait (pool: Pool, id: string, forMs: number, beforePlan?: () => void): number {
  let longestMs = 0
  for (let waitedMs = 0, time = 0; time < forMs; time += PLAN_MS) {
    pool.run(PLAN_MS, '', beforePlan)
    waitedMs = pool.get(id).isKeptForTrials ? waitedMs + PLAN_MS : 0
    longestMs = Math.max(longestMs, waitedMs)
  }
  return longestMs
}

describe('TrialReservations', ({ describe, it }) => {
  describe('for a trial that no VM can give', ({ it }) => {
    // Each of these guards against LOST (review/12): a VM stayed reserved for good, and tasks that failed there had no run any more.
    const keepsNoVm = (pool: Pool, vms: readonly string[] = VMS): void => {
      pool.run(1_000, '')
      for (const id of vms) assert.is(pool.get(id).isKeptForTrials, false, `VM ${id} is kept`)
      pool.addJob(OTHER, { longRunning: true, taskCount: vms.length, maxTasksPerVm: 1, need: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } })
      assert.equal(pool.run(PLAN_MS, OTHER).sort(), [...vms])
      pool.run(20_000, '')
      for (const id of vms) {
        pool.report(id, { job: OTHER, end: RunEnd.Failed })
        assert.equal(pool.run(PLAN_MS, OTHER), [id], `task that failed on ${id}`)
      }
    }

    it('keeps no VM if each has as many tasks of the step as it may have', () => {
      const step = { longRunning: true, taskCount: VMS.length + 1, maxTasksPerVm: 1 }
      const pool = Pool.create([...VMS, CRASHING])
      pool.addJob(SUSPECT, step)
      pool.plan('')
      pool.nowMs = 50
      pool.crash(CRASHING)
      keepsNoVm(pool)
    })

    it('keeps no VM if long-running tasks take the room', () => {
      const suspect = { longRunning: true, taskCount: 1, need: { cpuMillis: 5_000, memoryMb: 1, accelerators: 0 } }
      keepsNoVm(createAfterCrash([[SUSPECT, suspect]], (pool) => {
        pool.addJob(LASTING, { longRunning: true, taskCount: VMS.length, maxTasksPerVm: 1, need: { cpuMillis: 5_500, memoryMb: 1, accelerators: 0 } })
        pool.plan('')
      }))
    })

    it('keeps no VM if all are smaller than the task', () => {
      const pool = createAfterCrash([[SUSPECT, { taskCount: 1, need: { cpuMillis: 5_000, memoryMb: 1, accelerators: 0 } }]])
      const shrink = (): void => { for (const id of VMS) pool.get(id).entry = createVmEntry(id, { capacity: { cpuMillis: 4_000, memoryMb: 8_000, accelerators: 0 } }) }
      assert.equal(pool.run(1_000, SUSPECT, shrink), [])
      for (const id of VMS) assert.is(pool.get(id).isKeptForTrials, false)
    })

    it('keeps no VM if none has the label', () => {
      const pool = Pool.create()
      reportRunning(pool.scheduler, createVmEntry(CRASHING, { labels: ['rare', 'r'] }), 0)
      pool.addJob(SUSPECT, { taskCount: 1, requiredLabel: 'rare' })
      assert.equal(pool.plan(SUSPECT), [CRASHING])
      pool.crash(CRASHING)
      keepsNoVm(pool)
    })

    // Guards against LOST: while trials were suspended, the reservation stayed as it was.
    it('ends a reservation once too many VMs are silent for another trial', () => {
      const pool = createAfterCrash([[SUSPECT, { taskCount: 1 }]], (filled) => {
        filled.addJob(LASTING, { longRunning: true, taskCount: VMS.length, maxTasksPerVm: 1 })
        filled.plan('')
      })
      const [suspect] = pool.scheduler.state.suspects
      if (suspect === undefined) throw new Error('no suspect')
      pool.scheduler.state.trialReservations.begin(pool.get('a'), { step: suspect.step, obstacle: PlaceObstacle.EndingRuns, sinceMs: pool.nowMs })
      for (const id of ['b', 'c', 'd']) {
        const vm = pool.get(id)
        vm.trialRuns = [...vm.runs.values()]
        for (const run of vm.trialRuns) run.confirmedAtMs = pool.nowMs
        pool.scheduler.markUnresponsive(vm, pool.nowMs)
      }
      assert.is(suspect.isWaiting, true)
      pool.plan('')
      assert.is(pool.get('a').trialReservation, undefined)
    })
  })

  describe('for a step whose trial no VM can give', ({ it }) => {
    // Guards against LOST: the first step without a VM ended the loop, so that no step behind it had a trial.
    it('does not hold up the suspects of other jobs', () => {
      const pool = Pool.create([...VMS, CRASHING])
      pool.addJob(SUSPECT, { longRunning: true, taskCount: VMS.length + 1, maxTasksPerVm: 1 })
      pool.plan('')
      for (const id of VMS) pool.get(id).pause.begin(PauseReason.Refusal, 1, pool.nowMs)
      pool.addJob(SECOND_SUSPECT, { longRunning: true, taskCount: 2, maxTasksPerVm: 2, need: { cpuMillis: 500, memoryMb: 1, accelerators: 0 } })
      assert.equal(pool.plan(SECOND_SUSPECT), [CRASHING, CRASHING])
      pool.nowMs = 10
      pool.crash(CRASHING)
      assert.is(pool.run(1_000, SECOND_SUSPECT).length, 2)
    })

    it('takes turns with the others if their tasks fail in each trial', () => {
      const pool = createAfterCrash([[SUSPECT, { longRunning: true, taskCount: 2 }], [SECOND_SUSPECT, { longRunning: true, taskCount: 2 }]], undefined, ['a'])
      const started = pool.run(2_000, SECOND_SUSPECT, () => pool.report('a', { job: SUSPECT, end: RunEnd.Failed }))
      assert.ok(started.length > 0)
    })
  })

  describe('for a trial that a VM can give later', ({ it }) => {
    const large = { taskCount: 1, need: { cpuMillis: 7_500, memoryMb: 1, accelerators: 0 } }
    const fill = (pool: Pool): void => {
      pool.addJob(LASTING, { taskCount: VMS.length, maxTasksPerVm: 1, need: { cpuMillis: 4_000, memoryMb: 1, accelerators: 0 } })
      pool.plan('')
    }

    it('reserves a VM until the runs there have ended, and begins the trial there', () => {
      const pool = createAfterCrash([[SUSPECT, large]], fill)
      pool.run(500, '')
      const reserved = VMS.filter((id) => pool.get(id).trialReservation !== undefined)
      assert.is(reserved.length, 1)
      for (const id of VMS) pool.report(id, { job: LASTING, end: RunEnd.Done })
      assert.equal(pool.run(500, SUSPECT).length, 1)
    })

    it('reserves a VM on which other tasks start all the time, until it is quiet', () => {
      const pool = createAfterCrash([[SUSPECT, { taskCount: 1 }]], undefined, ['a'])
      let next = 0x100
      const started = pool.run(1_500, SUSPECT, () => {
        pool.report('a', { job: '0000000000000', end: RunEnd.Done })
        if (pool.nowMs % 50 === 0) pool.addJob((next++).toString(16).padStart(16, '0'), { taskCount: 1, need: { cpuMillis: 10, memoryMb: 1, accelerators: 0 } })
      })
      assert.equal(started, ['a'])
    })

    // Guards against innocent tasks that wait for seconds: each trial of a busy pool had to wait for a quiet VM again.
    it('begins trials one after the other on a VM, as long as it may be kept from other tasks', () => {
      const suspects = Array.from({ length: 10 }, (_, index) => `000000000000005${index}`)
      const pool = createAfterCrash(suspects.map((id) => [id, { taskCount: 1, need: { cpuMillis: 100, memoryMb: 1, accelerators: 0 } }]), undefined, ['a'])
      const others: Array<{ readonly id: string, readonly untilMs: number }> = []
      const startedAtMs = pool.nowMs
      const isRunning = (id: string): boolean => [...pool.get('a').runs.values()].some(({ name }) => name.startsWith(id))
      while (!suspects.every(isRunning) && pool.nowMs < startedAtMs + 10_000) {
        pool.run(PLAN_MS, '', () => {
          while ((others[0]?.untilMs ?? Infinity) <= pool.nowMs) pool.report('a', { job: others.shift()?.id ?? '', end: RunEnd.Done })
          if (pool.nowMs % 50 === 0) {
            const id = (0x1000 + pool.nowMs).toString(16).padStart(16, '0')
            others.push({ id, untilMs: pool.nowMs + 600 })
            pool.addJob(id, { taskCount: 1, need: { cpuMillis: 10, memoryMb: 1, accelerators: 0 } })
          }
        })
      }
      assert.ok(pool.nowMs - startedAtMs <= MAX_RESERVATION_MS, `${pool.nowMs - startedAtMs} ms`)
    })

    // Guards against LOST: a reservation had no end while the suspect waited.
    it('keeps other tasks away for a bounded time if the runs do not end', () => {
      const pool = createAfterCrash([[SUSPECT, large]], (filled) => {
        fill(filled)
        filled.run(1_000, '')
      }, ['a'])
      assert.ok(measureLongestWait(pool, 'a', 20_000) <= MAX_RESERVATION_MS + PLAN_MS)
      assert.ok(MAX_RESERVATION_MS < MAX_WITHOUT_RUN_MS)
    })

    // Guards against LOST: a task that fails as it starts, and needs a trial for each start, kept its VM from all others.
    it('leaves other tasks their turn on the only VM if the suspect fails in each trial', () => {
      const pool = createAfterCrash([[SUSPECT, { longRunning: true, taskCount: 1 }]], undefined, ['a'])
      const wait = measureLongestWait(pool, 'a', 10_000, () => pool.report('a', { job: SUSPECT, end: RunEnd.Failed }))
      assert.ok(wait <= MAX_RESERVATION_MS, `${wait} ms`)
    })

    it('ends a reservation while the VM gets no tasks, and reserves another one', () => {
      const pool = createAfterCrash([[SUSPECT, large]], fill)
      pool.run(200, '')
      const reserved = VMS.find((id) => pool.get(id).trialReservation !== undefined)
      if (reserved === undefined) throw new Error('no VM is reserved')
      pool.get(reserved).pause.begin(PauseReason.Refusal, 1_000, pool.nowMs)
      pool.run(100, '')
      assert.is(pool.get(reserved).trialReservation, undefined)
      assert.is(VMS.filter((id) => pool.get(id).trialReservation !== undefined).length, 1)
    })
  })
})
