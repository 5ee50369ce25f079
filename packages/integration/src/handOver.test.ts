/**
 * Hand-over of a shard by an owner that is told to stop while it is busy.
 */
import { EventCode } from '@vanillathread/model'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

/** Longest time from the stop signal until the successor starts tasks: far below the 1.2 s that an owner has for its last commit. */
const HAND_OVER_LIMIT_MS = 300

/** Stops the owner and returns the time until another daemon has ordered the start of a task. */
async function measureHandOver (lab: JobLab): Promise<number> {
  const owner = lab.findOwner()
  const others = lab.daemons.filter((_daemon, index) => index !== owner)
  const stoppedAtMs = lab.timers.now()
  lab.daemons[owner]?.daemon?.stop()
  while (lab.timers.now() - stoppedAtMs < 5_000) {
    await lab.timers.advance(10)
    if (others.some(({ log }) => log.records.some(({ code }) => code === EventCode.TaskStartOrdered))) break
  }
  return lab.timers.now() - stoppedAtMs
}

describe('hand-over of a busy shard', ({ it }) => {
  for (const seed of [1, 2, 3]) {
    it(`lets the successor start tasks at once, although VMs report and register all the time (seed ${seed})`, async () => {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      const submission = lab.timers.every(20, () => { lab.submit(createJob(createStep({ taskCount: 2, estimateMs: 150 }))) })
      const registration = lab.timers.every(30, () => { for (const vm of lab.fleet.vms) lab.fleet.register(vm) })
      await lab.timers.advance(2_000 + 13 * seed)
      const tookMs = await measureHandOver(lab)
      assert.ok(tookMs <= HAND_OVER_LIMIT_MS, `took ${tookMs} ms`)
      submission.dispose()
      registration.dispose()
      await lab.finish()
      assert.equal(lab.history.violations, [])
    })
  }
})
