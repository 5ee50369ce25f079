/**
 * VMs that start while the store loses its history of changes, so that the owner's feed does not deliver them.
 */
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

const TASK_MS = 150
/** Time in which a new VM is read, recorded and called, and the end of a task is stored; below the pause after a failed call. */
const OVERHEAD_LIMIT_MS = 180
const JOBS = 20

describe('VMs that start while the history of changes is lost', ({ it }) => {
  for (const seed of [1, 2, 3, 4]) {
    it(`get the tasks that wait for them at once (seed ${seed})`, async () => {
      const lab = JobLab.create({ seed, machines: 6 })
      await lab.start()
      await lab.timers.advance(2_000 + 37 * seed)
      const jobs = []
      for (let index = 0; index < JOBS; index++) jobs.push(lab.submit(createJob(createStep({ requiredLabel: 'new', estimateMs: TASK_MS }))))
      await lab.timers.advance(700)
      const capacity = { cpuMillis: 64_000, memoryMb: 131_072, accelerators: 0 }
      for (let index = 0; index < 4; index++) lab.fleet.addMachine(`new-${index}`, 'checks', 'new', capacity)
      lab.store.dropHistory()
      const startedAtMs = lab.timers.now()
      for (let index = 0; index < 100; index++) {
        await lab.timers.advance(19)
        await lab.pollJobs()
      }
      for (const job of await Promise.all(jobs)) {
        const tookMs = (job.completeAtMs ?? Infinity) - startedAtMs
        assert.ok(tookMs <= TASK_MS + OVERHEAD_LIMIT_MS, `took ${tookMs} ms`)
      }
      await lab.finish()
      assert.equal(lab.history.violations, [])
    })
  }
})
