/**
 * VMs whose capacity shrinks and grows again while they run tasks.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode, JobState } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import { SEEDS } from './lib/jobs/simulateWithFault.js'

const SMALL = { cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0 }
const FULL = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }

/** Time that a move takes, and time until it is planned: two periods of planning, and the delay of the feed. */
const MOVE_MS = 1_500
const PLANNING_MS = 500

/** Time for which VMs are small: longer than the time after which the owner must know it. */
const SMALL_FOR_MS = 8_000

/** Submits a steady load for 12 s, during which most VMs with runs shrink, and lets it settle. */
async function simulateShrinking (seed: number, onShrunk: (lab: JobLab) => void = () => {}): Promise<JobLab> {
  const lab = JobLab.create({ seed, daemons: 5 })
  await lab.start()
  for (let job = 0; job < 40; job++) {
    lab.submit(createJob(createStep({ taskCount: 8, estimateMs: 900 }), createStep({ taskCount: 3, after: [0] })))
    if (job === 6) {
      const machines = lab.random.sample(lab.fleet.vms.filter(({ runs }) => runs.size > 0), 5).map((vm) => vm.entry.machine ?? '')
      for (const machine of machines) lab.fleet.resize(machine, SMALL)
      lab.timers.after(SMALL_FOR_MS, () => { for (const machine of machines) lab.fleet.resize(machine, FULL) })
      onShrunk(lab)
    }
    await lab.run(300)
  }
  await lab.finish(40_000)
  return lab
}

describe('tasks on VMs that shrink while they run', ({ it }) => {
  const cases: ReadonlyArray<readonly [string, (lab: JobLab) => void]> = [
    ['the owner goes on', () => {}],
    ['the owner is killed', (lab) => { lab.timers.after(300, () => { lab.crashDaemon(lab.findOwner(), 1_500) }) }],
    ['the store is away for 3 s', (lab) => {
      lab.store.fault = StoreFault.Unresponsive
      lab.timers.after(3_000, () => { lab.store.fault = StoreFault.None })
    }],
  ]
  for (const [name, onShrunk] of cases) {
    it(`fit into what is left of them if ${name}, and all jobs complete`, async () => {
      for (const seed of SEEDS) {
        const lab = await simulateShrinking(seed, onShrunk)
        assert.equal(lab.history.violations, [], `seed ${seed}`)
        assert.ok([...lab.history.jobs.values()].every(({ accepted, shownState }) => !accepted || shownState === JobState.Complete), `seed ${seed}: all jobs complete`)
      }
    })
  }

  it('do not wait for longer than a move takes, as their pool gets other machines', async () => {
    for (const seed of SEEDS) {
      const lab = JobLab.create({ seed, daemons: 5 })
      await lab.start()
      for (let job = 0; job < 40; job++) {
        lab.submit(createJob(createStep({ taskCount: 3, estimateMs: 900 })))
        if (job === 10) for (const { entry } of lab.fleet.vms.filter((vm) => vm.entry.pool === 'checks')) lab.fleet.resize(entry.machine ?? '', SMALL)
        await lab.run(300)
      }
      await lab.finish(20_000)
      const waits = lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.TaskStartOrdered).map(({ fields }) => Number(fields['waitedMs']))
      assert.ok(Math.max(...waits) <= MOVE_MS + PLANNING_MS, `seed ${seed}: a task waited for ${Math.max(...waits)} ms`)
      assert.equal(lab.history.violations, [], `seed ${seed}`)
    }
  })
})
