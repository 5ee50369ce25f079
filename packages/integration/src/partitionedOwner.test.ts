/**
 * A partition separates the owner, and some of the VMs, from the store and from all others; a daemon on the other side takes the shard over.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab, type LabDaemon } from './lib/jobs/JobLab.js'

const SEEDS = [1, 2, 3]

/** Longer than a takeover, the time for which a superseded owner may extend leases, and a lease. */
const FAULT_MS = 12_000

const TASKS = 8

/** Starts a lab under a steady load, with long-running tasks, and returns it with its owner. */
async function startLab (seed: number): Promise<{ readonly lab: JobLab, readonly owner: LabDaemon }> {
  const lab = JobLab.create({ seed, daemons: 5 })
  await lab.start()
  lab.submit(createJob(createStep({ taskCount: TASKS, longRunning: true, maxTasksPerVm: 2, mayMiss: 1 })))
  const submission = lab.timers.every(200, () => { lab.submit(createJob(createStep({ taskCount: 4, estimateMs: 1_200 }), createStep({ taskCount: 4, estimateMs: 1_200, after: [0] }))) })
  lab.timers.after(FAULT_MS + 5_000, () => submission.dispose())
  await lab.run(3_000 + 137 * seed)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  return { lab, owner }
}

/** Isolates the owner with a share of the VMs of each pool. */
async function playPartition (seed: number, share: number): Promise<JobLab> {
  const { lab, owner } = await startLab(seed)
  const vms = ['checks', 'certificates'].flatMap((pool) => {
    const inPool = lab.fleet.vms.filter((vm) => vm.entry.pool === pool)
    return inPool.slice(0, Math.round(inPool.length * share))
  })
  lab.partition.isolate([owner], vms, FAULT_MS)
  await lab.run(FAULT_MS)
  await lab.finish(20_000)
  return lab
}

function listViolations (lab: JobLab): string[] {
  return lab.history.violations.map(({ rule, detail }) => `${rule} ${detail}`)
}

function countLostRuns (lab: JobLab): number {
  return lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.TaskLost).length
}

describe('owner behind a partition', ({ it }) => {
  it('does not run tasks a second time that its successor, or it itself, goes on running on the other side', async () => {
    for (const seed of SEEDS) assert.equal(listViolations(await playPartition(seed, 0.5)).filter((violation) => violation.startsWith('TWICE')), [], `seed ${seed}`)
  })

  it('does not run tasks a second time if it alone reaches the VMs, or none of them', async () => {
    for (const share of [0, 1]) {
      for (const seed of SEEDS) assert.equal(listViolations(await playPartition(seed, share)).filter((violation) => violation.startsWith('TWICE')), [], `seed ${seed}, share ${share}`)
    }
  })
})

describe('owner behind a partition with all daemons that it knows', ({ it }) => {
  it('does not run tasks a second time if a daemon that it does not know joins on the other side', async () => {
    for (const seed of SEEDS) {
      const { lab } = await startLab(seed)
      const vms = lab.fleet.vms.filter((_vm, index) => index % 2 === 0)
      lab.partition.isolate(lab.daemons, vms, FAULT_MS + 3_000)
      lab.addDaemon()
      await lab.run(FAULT_MS + 3_000)
      await lab.finish(20_000)
      assert.equal(listViolations(lab).filter((violation) => violation.startsWith('TWICE')), [], `seed ${seed}`)
    }
  })
})

describe('owner during an outage of the store for all daemons', ({ it }) => {
  it('goes on granting leases while the other daemons answer or have ended, so that no run is lost', async () => {
    for (const killed of [0, 2]) {
      for (const seed of SEEDS) {
        const { lab, owner } = await startLab(seed)
        lab.store.fault = StoreFault.Unresponsive
        lab.timers.after(FAULT_MS, () => { lab.store.fault = StoreFault.None })
        const others = lab.daemons.filter((daemon) => daemon !== owner)
        for (const daemon of others.slice(0, killed)) await lab.crashDaemon(lab.daemons.indexOf(daemon))
        await lab.run(FAULT_MS)
        const lost = countLostRuns(lab)
        await lab.finish(20_000)
        assert.is(lost, 0, `seed ${seed}, ${killed} daemons killed`)
        assert.equal(listViolations(lab), [], `seed ${seed}, ${killed} daemons killed`)
      }
    }
  })

  it('does not run tasks twice if it does not reach another daemon, which may have taken over', async () => {
    for (const seed of SEEDS) {
      const { lab, owner } = await startLab(seed)
      const [other] = lab.daemons.filter((daemon) => daemon !== owner)
      lab.store.fault = StoreFault.Unresponsive
      if (other !== undefined) lab.partition.isolate([other], [], FAULT_MS)
      lab.timers.after(FAULT_MS, () => { lab.store.fault = StoreFault.None })
      await lab.run(FAULT_MS)
      await lab.finish(20_000)
      assert.equal(listViolations(lab).filter((violation) => violation.startsWith('TWICE')), [], `seed ${seed}`)
    }
  })
})
