/**
 * Long-running tasks of a VM that drains move to another VM before it leaves.
 */
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

/** Time for which a VM drains: a move of a machine takes 1.5 s, and the platform gives 2 s at least. */
const DRAIN_MS = 6_000

/** Time from a stop order until a task works at full pace elsewhere: 0.2 s for the stop, 0.3 s to restore, and the calls between. */
const MAX_INTERRUPTION_MS = 1_000

const SEEDS = [1, 2, 3]
const TASKS = 4

describe('long-running tasks of a VM that drains', ({ it }) => {
  it('are not down until the VM leaves if their pool has no other VM with room, as it gets a machine meanwhile', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      lab.submit(createJob(createStep({ taskCount: TASKS, longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
      await lab.run(4_000)
      const vm = lab.fleet.vms.find((each) => each.runs.size === 2)
      if (vm === undefined) throw new Error('tasks were not spread')
      vm.entry = { ...vm.entry, draining: true }
      lab.fleet.register(vm)
      lab.timers.after(DRAIN_MS, () => lab.fleet.leave(vm.entry.machine ?? ''))
      let downMs = 0
      for (let atMs = 0; atMs < DRAIN_MS + 12_000; atMs += 10) {
        await lab.timers.advance(10)
        const running = new Set(lab.fleet.vms.flatMap((each) => [...each.runs.values()].map(({ task }) => task)))
        if (running.size < TASKS) downMs += 10
      }
      assert.ok(downMs <= MAX_INTERRUPTION_MS, `seed ${seed}: down for ${downMs} ms`)
      await lab.finish(8_000)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
})
