/**
 * VMs that start again under their ids before their owner has noticed that they were gone.
 */
import { assert, describe } from '@vanillathread/testing'
import { VmFault, type VmStandIn } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

const SEEDS = [1, 2, 3]

/** Age of the VMs at their restart, which the clock of the former incarnation shows. It is longer than a lease. */
const AGE_MS = 12_000

/** Time from the restart of a VM until its registration shows it: a heartbeat interval. */
const REGISTER_DELAY_MS = 1_500

/** Starts a lab, keeps three VMs in the pool `checks`, and lets them grow old. */
async function startLab (seed: number): Promise<JobLab> {
  const lab = JobLab.create({ seed })
  await lab.start()
  lab.submit(createJob(createStep({ taskCount: 3, longRunning: true, maxTasksPerVm: 1 })))
  await lab.run(AGE_MS)
  return lab
}

/** Starts all VMs of the pool `checks` again under their ids, and returns them. */
function restartVms (lab: JobLab): VmStandIn[] {
  const machines = [...lab.fleet.machines].filter(([, { machine }]) => machine.pool === 'checks').map(([id]) => id)
  for (const machine of machines) lab.fleet.restart(machine, REGISTER_DELAY_MS)
  return machines.map((machine) => lab.fleet.machines.get(machine)?.vm).filter((vm) => vm !== undefined)
}

describe('a VM that starts again under its id', ({ it }) => {
  // Guards against TWICE: a lease by the clock of the former incarnation outlived the time at which its owner started the tasks elsewhere.
  it('gets no lease that is meant for its former incarnation', async () => {
    for (const seed of SEEDS) {
      for (const cutAfterMs of [300, 1_000, 2_000]) {
        const lab = await startLab(seed)
        const vms = restartVms(lab)
        await lab.timers.advance(50)
        lab.submit(createJob(createStep({ longRunning: true })))
        await lab.run(cutAfterMs)
        const [cutOff] = vms.sort((a, b) => b.runs.size - a.runs.size)
        if (cutOff === undefined) throw new Error('no VM has started again')
        cutOff.fault = VmFault.Partitioned
        await lab.run(9_000)
        cutOff.fault = VmFault.None
        await lab.finish(6_000)
        assert.equal(lab.history.violations, [], `seed ${seed}, cut off after ${cutAfterMs} ms`)
      }
    }
  })

  // Guards against TWICE: a renewal that acknowledged ends of the former incarnation dropped ends of the new one, and their tasks ran again.
  it('drops no ends of its own because ends of its former incarnation are acknowledged', async () => {
    for (const seed of SEEDS) {
      for (const restartAfterMs of [200, 700, 1_200]) {
        const lab = await startLab(seed)
        lab.submit(createJob(createStep({ taskCount: 16, estimateMs: 60 })))
        await lab.run(2_000 + restartAfterMs)
        restartVms(lab)
        for (let job = 0; job < 10; job++) {
          lab.submit(createJob(createStep({ estimateMs: 60 })))
          await lab.timers.advance(150)
        }
        await lab.finish(8_000)
        assert.equal(lab.history.violations, [], `seed ${seed}, restart after ${restartAfterMs} ms`)
      }
    }
  })
})
