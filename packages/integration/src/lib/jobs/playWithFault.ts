/**
 * A steady load with one fault, played on the lab.
 */
import { assert } from '@vanillathread/testing'
import { createJob, createStep, JobLab, type JobLabOptions } from './JobLab.js'

/** Seeds that CI plays. */
export const SEEDS = [1, 2, 3]

/** Two steps, the second wider, so that faults meet both. */
export const twoSteps = () => createJob(createStep(), createStep({ taskCount: 6, after: [0] }))

/** Runs a steady load with a fault and returns the lab once all is quiet. */
export async function playWithFault (options: JobLabOptions, disturb: (lab: JobLab) => Promise<void> | void): Promise<JobLab> {
  const lab = JobLab.create(options)
  await lab.start()
  for (let job = 0; job < 12; job++) {
    lab.submit(twoSteps())
    if (job === 3) await disturb(lab)
    await lab.run(400)
  }
  await lab.finish(20_000)
  return lab
}

/** Plays the fault on every seed and expects that no promise is broken. */
export async function expectKept (disturb: (lab: JobLab) => Promise<void> | void, options: Partial<JobLabOptions> = {}): Promise<void> {
  for (const seed of SEEDS) {
    const lab = await playWithFault({ seed, ...options }, disturb)
    assert.equal(lab.history.violations, [], `seed ${seed}`)
    assert.ok([...lab.history.jobs.values()].some((job) => job.accepted), `seed ${seed} accepted nothing`)
  }
}
