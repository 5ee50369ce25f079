/**
 * Review of owners without proof of their ownership: faults that partitionedOwner.test does not cover.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab, type LabDaemon } from './lib/jobs/JobLab.js'

const SEEDS = [1, 2, 3]

async function startLab (seed: number, options: { load?: boolean, finite?: boolean } = {}): Promise<{ readonly lab: JobLab, readonly owner: LabDaemon }> {
  const lab = JobLab.create({ seed, daemons: 5 })
  await lab.start()
  lab.submit(createJob(createStep({ taskCount: 8, ...options.finite === true ? { estimateMs: 30_000 } : { longRunning: true, maxTasksPerVm: 2, mayMiss: 1 } })))
  if (options.load !== false) {
    const submission = lab.timers.every(100, () => { lab.submit(createJob(createStep({ taskCount: 2, estimateMs: 1_200 }))) })
    lab.timers.after(14_000, () => submission.dispose())
  }
  await lab.run(3_000 + 137 * seed)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  return { lab, owner }
}

function listTwice (lab: JobLab): string[] {
  return lab.history.violations.map(({ rule, detail }) => `${rule} ${detail}`).filter((violation) => violation.startsWith('TWICE'))
}

function countLostRuns (lab: JobLab): number {
  return lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.TaskLost).length
}

describe('owner that reaches the store again before it knows of its successor', ({ it }) => {
  it('does not start jobs that were accepted after the takeover and that its successor starts too', async () => {
    const found: string[] = []
    for (const afterMs of [1_300, 1_400]) {
      for (const seed of SEEDS) {
        const { lab, owner } = await startLab(seed)
        const vms = ['checks', 'certificates'].flatMap((pool) => {
          const inPool = lab.fleet.vms.filter((vm) => vm.entry.pool === pool)
          return inPool.slice(0, Math.round(inPool.length / 2))
        })
        lab.partition.isolate([owner], vms, 12_000)
        lab.timers.after(afterMs, () => { owner.store.fault = StoreFault.None })
        await lab.run(12_000)
        await lab.finish(20_000)
        found.push(...listTwice(lab).map((violation) => `seed ${seed}, store back after ${afterMs}: ${violation}`))
      }
    }
    assert.equal(found, [])
  })

  it('does not start them either if the store answers its reads but refuses its writes', async () => {
    const found: string[] = []
    for (const seed of SEEDS) {
      const { lab, owner } = await startLab(seed)
      const vms = ['checks', 'certificates'].flatMap((pool) => {
        const inPool = lab.fleet.vms.filter((vm) => vm.entry.pool === pool)
        return inPool.slice(0, Math.round(inPool.length / 2))
      })
      lab.partition.isolate([owner], vms, 12_000)
      owner.store.fault = StoreFault.None
      owner.store.refusesWrites = true
      lab.timers.after(12_000, () => { owner.store.refusesWrites = false })
      await lab.run(12_000)
      await lab.finish(20_000)
      found.push(...listTwice(lab).map((violation) => `seed ${seed}: ${violation}`))
    }
    assert.equal(found, [])
  })
})

describe('owner without the store that does not reach one other daemon', ({ it }) => {
  it('keeps all runs of an outage that ends before the leases would, which begin up to 2 s after the last proof', async () => {
    const lost: string[] = []
    for (const forMs of [4_500, 5_000, 5_500, 6_000]) {
      for (const seed of SEEDS) {
        const { lab, owner } = await startLab(seed, { load: false })
        const [other] = lab.daemons.filter((daemon) => daemon !== owner)
        lab.store.fault = StoreFault.Unresponsive
        if (other !== undefined) lab.partition.isolate([other], [], forMs)
        lab.timers.after(forMs, () => { lab.store.fault = StoreFault.None })
        await lab.run(12_000)
        const count = countLostRuns(lab)
        const ends = lab.daemons.flatMap(({ log }) => log.records).filter(({ code, fields }) => code === EventCode.TaskEnded && fields['end'] === 'lapsed').length
        if (count + ends > 0) lost.push(`outage of ${forMs}, seed ${seed}: ${count} runs lost, ${ends} lapsed`)
        for (const { daemon } of lab.daemons) await daemon?.kill()
      }
    }
    assert.equal(lost, [])
  })

  it('does not write store heartbeats without a pause to a store that refuses them', async () => {
    const { lab, owner } = await startLab(1)
    const [other] = lab.daemons.filter((daemon) => daemon !== owner)
    if (other !== undefined) lab.partition.isolate([other], [], 12_000)
    lab.partition.isolate([], lab.fleet.vms.slice(0, 2), 12_000)
    lab.store.fault = StoreFault.Refusing
    let writes = 0
    const transact = owner.store.transact.bind(owner.store)
    owner.store.transact = (transaction) => {
      if (transaction.puts.length === 1 && transaction.puts[0]?.table === 'beats') writes += 1
      return transact(transaction)
    }
    await lab.run(12_000)
    const perSecond = writes / 12
    for (const { daemon } of lab.daemons) await daemon?.kill()
    assert.is(perSecond <= 5, true, `${perSecond.toFixed(1)} store heartbeats a second`)
  })
})

describe('owner that asks daemons which have restarted since they took over', ({ it }) => {
  it('gets no proof from them, as leases that they gave before still hold', async () => {
    const found: string[] = []
    for (const seed of SEEDS) {
      const { lab, owner } = await startLab(seed, { load: false, finite: true })
      const vms = ['checks', 'certificates'].flatMap((pool) => {
        const inPool = lab.fleet.vms.filter((vm) => vm.entry.pool === pool)
        return inPool.slice(0, Math.round(inPool.length / 2))
      })
      lab.partition.isolate([owner], vms, 12_000)
      lab.timers.after(3_000, () => {
        lab.store.fault = StoreFault.Unresponsive
        lab.daemons.forEach((daemon, index) => { if (daemon !== owner) lab.crashDaemon(index, 300) })
      })
      // The daemons reach each other again; the VMs outside stay cut off from the owner.
      lab.timers.after(3_500, () => lab.peers.reconnect(owner.address))
      lab.timers.after(12_000, () => { lab.store.fault = StoreFault.None })
      await lab.run(12_000)
      await lab.finish(20_000)
      found.push(...listTwice(lab).map((violation) => `seed ${seed}: ${violation}`))
    }
    assert.equal(found, [])
  })
})
