/**
 * Simulates a steady load with one fault.
 */
import { assert } from '@vanillathread/testing'
import { createJob, createStep, JobLab, type JobLabOptions } from './JobLab.js'

/** Seeds of the simulations that CI runs. */
export const SEEDS = [1, 2, 3]

/** Builds a job of two steps, the second with more tasks, so that a fault affects tasks of both. */
export const createTwoStepJob = () => createJob(createStep(), createStep({ taskCount: 6, after: [0] }))

/** Runs a steady load, injects the fault during it, and returns the lab after the system has settled. */
export async function simulateWithFault (options: JobLabOptions, injectFault: (lab: JobLab) => Promise<void> | void): Promise<JobLab> {
  const lab = JobLab.create(options)
  await lab.start()
  for (let job = 0; job < 12; job++) {
    lab.submit(createTwoStepJob())
    if (job === 3) await injectFault(lab)
    await lab.run(400)
  }
  await lab.finish(20_000)
  return lab
}

/** Runs the fault with every seed, and asserts that no invariant is violated and at least one job is accepted. */
export async function expectNoViolations (injectFault: (lab: JobLab) => Promise<void> | void, options: Partial<JobLabOptions> = {}): Promise<void> {
  for (const seed of SEEDS) {
    const lab = await simulateWithFault({ seed, ...options }, injectFault)
    assert.equal(lab.history.violations, [], `seed ${seed}`)
    assert.ok([...lab.history.jobs.values()].some((job) => job.accepted), `seed ${seed} accepted no job`)
  }
}
