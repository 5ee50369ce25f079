/**
 * Tasks that crash every VM that starts them, beside jobs that are innocent.
 */
import { assert, describe } from '@vanillathread/testing'
import { JobState } from '@vanillathread/model'
import { createJob, createStep, JobLab, type JobLabOptions } from './lib/jobs/JobLab.js'
import { SEEDS } from './lib/jobs/simulateWithFault.js'

/** Crashes that show that a task is at fault: the first one, and that of the VM on which it was started alone. */
const EXPECTED_CRASHES = 2

/** Owners that are killed during the load. Each may have known of one crash that its successor cannot know of. */
const KILLED_OWNERS = 3

/** Submits a steady load with one deadly job in six, for 6 s, and lets it settle. */
async function simulateLoad (lab: JobLab, onJob: (job: number) => void = () => {}): Promise<void> {
  await lab.start()
  for (let job = 0; job < 24; job++) {
    lab.submit(createJob(createStep({ taskCount: 4, estimateMs: 500 })), { deadlyTask: job % 6 === 2 ? job % 4 : undefined })
    onJob(job)
    await lab.run(250)
  }
  await lab.finish(40_000)
}

function listStates (lab: JobLab, deadly: boolean): Array<JobState | undefined> {
  return [...lab.history.jobs.values()].filter((job) => job.accepted && (job.deadlyTask !== undefined) === deadly).map(({ shownState }) => shownState)
}

function createLab (seed: number, options: Partial<JobLabOptions> = {}): JobLab {
  return JobLab.create({ seed, daemons: 5, ...options })
}

describe('a task that crashes every VM that starts it', ({ it }) => {
  it('is given up after two crashes, and innocent jobs of its queue complete', async () => {
    for (const seed of SEEDS) {
      const lab = createLab(seed)
      await simulateLoad(lab)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
      assert.ok(listStates(lab, true).every((state) => state === JobState.Failed), `seed ${seed}: deadly jobs are failed`)
      assert.ok(listStates(lab, false).every((state) => state === JobState.Complete), `seed ${seed}: innocent jobs are complete`)
      assert.ok(Math.max(...lab.history.crashes.values()) <= EXPECTED_CRASHES, `seed ${seed}: ${[...lab.history.crashes.values()].join()} crashes`)
    }
  })

  it('is given up although owners are killed between its crashes', async () => {
    for (const seed of SEEDS) {
      const lab = createLab(seed)
      await simulateLoad(lab, (job) => { if (job % 8 === 5) lab.crashDaemon(lab.findOwner(), 1_500) })
      assert.equal(lab.history.violations, [], `seed ${seed}`)
      assert.ok(Math.max(...lab.history.crashes.values()) <= EXPECTED_CRASHES + KILLED_OWNERS, `seed ${seed}: ${[...lab.history.crashes.values()].join()} crashes`)
    }
  })

  it('is given up if it is long-running, and so is one that may have copies', async () => {
    for (const seed of SEEDS) {
      const lab = createLab(seed)
      await lab.start()
      lab.submit(createJob(createStep({ longRunning: true, taskCount: 3 })), { deadlyTask: 1 })
      lab.submit(createJob(createStep({ speculative: true, taskCount: 3 })), { deadlyTask: 1 })
      await lab.finish(30_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
      assert.ok(listStates(lab, true).every((state) => state === JobState.Failed), `seed ${seed}: deadly jobs are failed`)
      assert.ok(Math.max(...lab.history.crashes.values()) <= EXPECTED_CRASHES, `seed ${seed}: ${[...lab.history.crashes.values()].join()} crashes`)
    }
  })

  // Guards against a task that takes one VM after the other because the crashes of its wide job are stored in a smaller form.
  it('is given up in a job whose progress outgrows a row, and the job beside it completes', async () => {
    for (const seed of SEEDS) {
      const lab = createLab(seed, { settings: { rowBytes: 2_000 } })
      await lab.start()
      const need = { cpuMillis: 100, memoryMb: 10, accelerators: 0 }
      lab.submit(createJob(createStep({ taskCount: 400, estimateMs: 3_000, need })), { deadlyTask: 7 })
      lab.submit(createJob(createStep({ taskCount: 20, estimateMs: 1_000, need })))
      await lab.finish(40_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
      assert.equal([...listStates(lab, true), ...listStates(lab, false)], [JobState.Failed, JobState.Complete], `seed ${seed}`)
      const crashes = Math.max(...lab.history.crashes.values())
      assert.ok(crashes === EXPECTED_CRASHES || crashes === EXPECTED_CRASHES + 1, `seed ${seed}: ${crashes} crashes`)
    }
  })
})

/** Time for which a VM that flaps is down, and for which it is up, as the platform's sites state. */
const FLAP_MS = 1_400

/** Crashes the VM of one machine again and again, as the platform's VMs do that flap. */
function flap (lab: JobLab, machine: string, times: number): void {
  for (let time = 0; time < times; time++) lab.timers.after(time * 2 * FLAP_MS, () => { lab.fleet.crash(machine, FLAP_MS) })
}

describe('jobs on VMs that crash without any task being at fault', ({ it }) => {
  it('are not given up, also beside a deadly task', async () => {
    for (const seed of [...SEEDS, 4, 5, 6]) {
      const lab = createLab(seed)
      await simulateLoad(lab, (job) => {
        const busy = lab.random.sample(lab.fleet.vms.filter(({ runs }) => runs.size > 0), 2).map((vm) => vm.entry.machine ?? '')
        if (job === 4 || job === 16) for (const machine of busy) lab.fleet.crash(machine, 2_000)
        if (job === 8) flap(lab, busy[0] ?? '', 3)
      })
      assert.equal(lab.history.violations, [], `seed ${seed}`)
      assert.ok(listStates(lab, false).every((state) => state === JobState.Complete), `seed ${seed}: innocent jobs are complete`)
    }
  })
})
