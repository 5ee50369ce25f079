/**
 * An owner whose own connections to the store fail while other daemons reach it goes on as the owner, and callers notice next to nothing.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab, type LabDaemon } from './lib/jobs/JobLab.js'
import { measureOwnerCut } from './lib/jobs/measureOwnerCut.js'

const SEEDS = [1, 2, 3]

/** Faults of the owner's own connections, with the longest time from a job's last end until it is shown: takeovers made it 2.2 s. */
const FAULTS: ReadonlyArray<readonly [StoreFault, number]> = [[StoreFault.Resetting, 200], [StoreFault.Unresponsive, 500]]

/** Starts a lab under a steady load, with its owner. */
async function startLab (seed: number): Promise<{ readonly lab: JobLab, readonly owner: LabDaemon, readonly others: readonly LabDaemon[] }> {
  const lab = JobLab.create({ seed, daemons: 5 })
  await lab.start()
  const submission = lab.timers.every(100, () => { lab.submit(createJob(createStep({ taskCount: 2, estimateMs: 400 }), createStep({ taskCount: 2, after: [0] }))) })
  lab.timers.after(12_000, () => submission.dispose())
  await lab.run(3_000)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  return { lab, owner, others: lab.daemons.filter((each) => each !== owner) }
}

function countEvents (daemons: readonly LabDaemon[], code: EventCode): number {
  return daemons.flatMap(({ log }) => log.records).filter((record) => record.code === code).length
}

async function finish (lab: JobLab, seed: number): Promise<void> {
  await lab.finish(20_000)
  assert.equal(lab.history.violations, [], `seed ${seed}`)
}

describe('owner cut off from the store', ({ it, describe }) => {
  for (const [fault, maxShownMs] of FAULTS) {
    it(`commits and shows final states through another daemon without a takeover (${fault})`, async () => {
      for (const seed of SEEDS) {
        const { shown, takeovers, violations } = await measureOwnerCut(fault, seed)
        assert.ok((shown.at(-1) ?? Infinity) <= maxShownMs, `seed ${seed}: shown after ${shown.at(-1)} ms`)
        assert.is(takeovers, 0, `seed ${seed}`)
        assert.is(violations, 0, `seed ${seed}`)
      }
    })
  }

  it('is not ready for clients meanwhile, and uses its own connections again once they work', async () => {
    const { lab, owner } = await startLab(1)
    owner.store.fault = StoreFault.Unresponsive
    // A long poll that was under way may still be answered in the first 1.2 s.
    await lab.run(4_000)
    assert.is(owner.api?.isReady(), false)
    owner.store.fault = StoreFault.None
    await lab.run(1_500)
    assert.is(owner.api?.isReady(), true)
    assert.is(owner.log.records.filter(({ code }) => code === EventCode.StorePathChanged).at(-1)?.fields['path'], 'own connections')
    await finish(lab, 1)
  })

  it('sees VMs that register and drain, and waves, so that it maintains machines', async () => {
    for (const seed of SEEDS) {
      const { lab, owner } = await startLab(seed)
      owner.store.fault = StoreFault.Unresponsive
      lab.requestWave(1, [...lab.fleet.machines.keys()].slice(0, 2), 1)
      await lab.run(15_000)
      assert.ok(lab.history.completeWaves.has(1), `seed ${seed}: the wave is complete`)
      assert.is(lab.daemons[lab.findOwner()], owner, `seed ${seed}: no takeover`)
      owner.store.fault = StoreFault.None
      await finish(lab, seed)
    }
  })

  describe('when other daemons fail too', ({ it }) => {
    it('goes on through the remaining ones if those that make its calls crash or are cut off halfway', async () => {
      for (const seed of SEEDS) {
        const { lab, owner, others } = await startLab(seed)
        const before = countEvents(lab.daemons, EventCode.ShardTaken)
        owner.store.fault = StoreFault.Unresponsive
        lab.timers.after(1_030, () => { lab.crashDaemon(lab.daemons.indexOf(others[0] ?? owner)) })
        lab.timers.after(1_500, () => { if (others[1] !== undefined) others[1].store.fault = StoreFault.Unresponsive })
        lab.timers.after(2_000, () => { if (others[2] !== undefined) lab.peers.cutAddresses.add(`peer:${others[2].address.port}`) })
        await lab.run(6_000)
        const after = countEvents(lab.daemons, EventCode.ShardTaken)
        assert.is(after, before, `seed ${seed}: no takeover`)
        lab.peers.cutAddresses.clear()
        for (const { store } of lab.daemons) store.fault = StoreFault.None
        await finish(lab, seed)
      }
    })

    it('loses the shard as before if it reaches the other daemons no more, and its late transactions change nothing', async () => {
      for (const seed of SEEDS) {
        const { lab, owner } = await startLab(seed)
        owner.store.fault = StoreFault.LosingAnswers
        await lab.run(500)
        owner.store.fault = StoreFault.Unresponsive
        lab.peers.cutAddresses.add(`peer:${owner.address.port}`)
        await lab.run(4_000)
        assert.not.equal(lab.daemons[lab.findOwner()]?.name, owner.name, `seed ${seed}: another daemon has taken over`)
        lab.peers.cutAddresses.clear()
        owner.store.fault = StoreFault.None
        await finish(lab, seed)
      }
    })

    it('sends hardly anything through peers while the store is away for all daemons, and keeps the shard', async () => {
      for (const seed of SEEDS) {
        const { lab, owner } = await startLab(seed)
        lab.store.fault = StoreFault.Unresponsive
        await lab.run(2_500)
        const countSent = (): number => lab.daemons.reduce((sum, { address }) => sum + lab.peers.countSentTo(address, 'store-call'), 0)
        const sentAtFirst = countSent()
        await lab.run(4_000)
        assert.is(countSent(), sentAtFirst, `seed ${seed}: no calls through peers once all are known to be cut off`)
        assert.ok(sentAtFirst < 40, `seed ${seed}: ${sentAtFirst} calls`)
        lab.store.fault = StoreFault.None
        await lab.run(1_000)
        assert.is(lab.daemons[lab.findOwner()], owner, `seed ${seed}`)
        await finish(lab, seed)
      }
    })
  })
})

describe('owner that reaches the store', ({ it }) => {
  it('sends no call through another daemon, although other daemons are cut off', async () => {
    const { lab, others } = await startLab(1)
    for (const { store } of others.slice(0, 2)) store.fault = StoreFault.Unresponsive
    await lab.run(4_000)
    assert.is(lab.daemons.reduce((sum, { address }) => sum + lab.peers.countSentTo(address, 'store-call'), 0), 0)
    for (const { store } of others) store.fault = StoreFault.None
    await finish(lab, 1)
  })
})
