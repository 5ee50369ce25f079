/**
 * Fleets with so many VMs that other daemons make the owner's calls: loss of relays and owners, and waves of many machines.
 */
import { assert, describe } from '@vanillathread/testing'
import { VmFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

/** A third of the machines is in standby, and relays are used from 100 VMs on. */
const MACHINES = 180

/** Time from the restart of a VM until its registration shows it: a heartbeat interval. */
const REGISTER_DELAY_MS = 1_500

async function startLab (seed: number, daemons = 5): Promise<JobLab> {
  const lab = JobLab.create({ seed, machines: MACHINES, daemons })
  await lab.start()
  // Keeps the machines in their pools: idle ones would be sent to standby.
  for (const queue of [0, 1]) await submit(lab, createJob(createStep({ taskCount: MACHINES / 3, longRunning: true, maxTasksPerVm: 1, mayMiss: 3 })), queue)
  await lab.run(6_000)
  return lab
}

async function submit (lab: JobLab, job = createJob(createStep({ taskCount: 8 }), createStep({ taskCount: 8, after: [0] })), queue = 0): Promise<void> {
  const submitted = lab.submit(job, { queue })
  await lab.timers.advance(200)
  await submitted
}

async function submitMany (lab: JobLab, count: number): Promise<void> {
  for (let index = 0; index < count; index++) await submit(lab, undefined, index % 2)
}

function getOwner (lab: JobLab): string {
  return lab.daemons[lab.findOwner()]?.name ?? ''
}

function checkHistory (lab: JobLab): void {
  assert.equal(lab.history.violations, [])
}

describe('jobs on many VMs', ({ it, describe }) => {
  it('are started through relays, and the owner makes hardly any call itself', async () => {
    const lab = await startLab(1)
    lab.vmCalls.clear()
    await submitMany(lab, 10)
    await lab.run(3_000)
    const own = lab.vmCalls.get(getOwner(lab)) ?? 0
    const all = [...lab.vmCalls.values()].reduce((sum, calls) => sum + calls, 0)
    assert.ok(all > 500 && own < all / 20, `the owner made ${own} of ${all} calls`)
    await lab.finish()
    checkHistory(lab)
  })

  describe('when a daemon is lost with calls under way', ({ it }) => {
    for (const seed of [1, 2, 3]) {
      it(`goes on through other relays (seed ${seed})`, async () => {
        const lab = await startLab(seed)
        const owner = getOwner(lab)
        const relay = lab.daemons.findIndex(({ name }) => name !== owner)
        lab.timers.after(450, () => { lab.crashDaemon(relay, 3_000) })
        await submitMany(lab, 10)
        await lab.run(4_000)
        assert.is(getOwner(lab), owner, 'the loss of a relay needs no takeover')
        await lab.finish()
        checkHistory(lab)
      })

      it(`hands the VMs to a successor if it is the owner (seed ${seed})`, async () => {
        const lab = await startLab(seed)
        lab.timers.after(450, () => { lab.crashDaemon(lab.findOwner(), 3_000) })
        await submitMany(lab, 10)
        await lab.finish()
        checkHistory(lab)
      })
    }

    it('hands the VMs over twice if the successor is lost as well', async () => {
      const lab = await startLab(4)
      lab.timers.after(450, () => { lab.crashDaemon(lab.findOwner(), 4_000) })
      lab.timers.after(1_900, () => { lab.crashDaemon(lab.findOwner(), 4_000) })
      await submitMany(lab, 15)
      await lab.finish()
      checkHistory(lab)
    })
  })

  // Guards against TWICE: a relay carried out calls that were meant for the former incarnations of VMs.
  it('run once each while many VMs start again under their ids, which shows late, and some are cut off then', async () => {
    for (const seed of [6, 7]) {
      const lab = await startLab(seed)
      // Ends that are acknowledged, and VMs that are older than a lease.
      await submitMany(lab, 20)
      await lab.run(4_000)
      const machines = lab.random.sample([...lab.fleet.machines].filter(([, { vm }]) => vm?.entry.pool === 'checks').map(([id]) => id), 20)
      for (const machine of machines) lab.fleet.restart(machine, REGISTER_DELAY_MS)
      await submit(lab, createJob(createStep({ taskCount: 40, longRunning: true, maxTasksPerVm: 2 })))
      await submitMany(lab, 8)
      for (const machine of machines.slice(0, 6)) {
        const vm = lab.fleet.machines.get(machine)?.vm
        if (vm === undefined) continue
        vm.fault = VmFault.Partitioned
        lab.timers.after(9_000, () => { vm.fault = VmFault.None })
      }
      await lab.run(9_500)
      await lab.finish()
      checkHistory(lab)
    }
  })

  it('run once each while a former owner that is cut off from its peers still gives orders', async () => {
    const lab = await startLab(5)
    const { host, port } = lab.daemons[lab.findOwner()]?.address ?? { host: '', port: 0 }
    lab.timers.after(500, () => lab.peers.cutAddresses.add(`${host}:${port}`))
    lab.timers.after(5_000, () => lab.peers.cutAddresses.delete(`${host}:${port}`))
    await submitMany(lab, 20)
    await lab.finish()
    checkHistory(lab)
  })

  it('do not slow down a wave: all machines that are ready are ordered at once', async () => {
    const lab = await startLab(6)
    const idle = [...lab.fleet.machines.values()].filter(({ vm }) => vm === undefined).map(({ machine }) => machine.id)
    assert.ok(idle.length >= 50, `${idle.length} machines are in standby`)
    lab.requestWave(1, idle, idle.length)
    await lab.run(5_000)
    assert.ok(lab.history.completeWaves.has(1), 'the wave is complete')
    await lab.finish()
    checkHistory(lab)
  })
})
