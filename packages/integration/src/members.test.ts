/**
 * Tests which daemons the others know: one that was replaced for good is forgotten, one that was only cut off is not lost.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { JobLab } from './lib/jobs/JobLab.js'

/** Time within which a daemon that never returns is forgotten by all others. */
const FORGET_WITHIN_MS = 60_000

/** Returns the names of the daemons that have a row in the store, sorted. */
function listRows (lab: JobLab): string[] {
  return [...lab.store.rows.values()].filter(({ table }) => table === 'members').map(({ key }) => key).sort()
}

/** Returns the names of the daemons whose row was removed. */
function listRemovals (lab: JobLab): unknown[] {
  return lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.MemberRemoved).map(({ fields }) => fields['member'])
}

/** Returns the index of a daemon that does not own the shard. */
function findOther (lab: JobLab): number {
  return lab.findOwner() === 0 ? 1 : 0
}

/** Counts the messages that are sent to a daemon in the given time. */
async function countMessagesTo (lab: JobLab, index: number, forMs: number): Promise<number> {
  const address = lab.daemons[index]?.address
  const before = lab.peers.countSentTo(address ?? { host: '', port: 0 })
  await lab.timers.advance(forMs)
  return lab.peers.countSentTo(address ?? { host: '', port: 0 }) - before
}

async function stop (lab: JobLab): Promise<void> {
  for (const { daemon } of lab.daemons) await daemon?.kill()
}

describe('known daemons', ({ it }) => {
  it('do not include one that was lost for good: its row is removed, which is logged, and it gets no more heartbeats', async () => {
    const lab = JobLab.create({ seed: 1, daemons: 4 })
    await lab.start()
    const lost = findOther(lab)
    await lab.crashDaemon(lost)
    assert.ok(await countMessagesTo(lab, lost, 5_000) > 0)
    await lab.timers.advance(FORGET_WITHIN_MS)
    assert.equal(listRows(lab), lab.daemons.filter((_daemon, index) => index !== lost).map(({ name }) => name))
    assert.is(await countMessagesTo(lab, lost, 10_000), 0)
    assert.equal(listRemovals(lab), [lab.daemons[lost]?.name])
    await stop(lab)
  })

  it('do not include the former owner if that was lost for good', async () => {
    const lab = JobLab.create({ seed: 2, daemons: 4 })
    await lab.start()
    const lost = lab.findOwner()
    await lab.crashDaemon(lost)
    await lab.timers.advance(FORGET_WITHIN_MS)
    assert.equal(listRows(lab), lab.daemons.filter((_daemon, index) => index !== lost).map(({ name }) => name))
    assert.is(await countMessagesTo(lab, lost, 10_000), 0)
    await stop(lab)
  })

  it('include one again that was cut off for long, and one that restarts after it was forgotten', async () => {
    const lab = JobLab.create({ seed: 3, daemons: 4 })
    await lab.start()
    const cut = findOther(lab)
    const { host, port } = lab.daemons[cut]?.address ?? { host: '', port: 0 }
    lab.peers.cutAddresses.add(`${host}:${port}`)
    await lab.timers.advance(FORGET_WITHIN_MS)
    lab.peers.cutAddresses.clear()
    await lab.timers.advance(30_000)
    assert.is(listRows(lab).length, 4)
    assert.ok(await countMessagesTo(lab, cut, 5_000) > 0)
    const restarted = findOther(lab)
    await lab.crashDaemon(restarted, FORGET_WITHIN_MS)
    await lab.timers.advance(FORGET_WITHIN_MS + 5_000)
    assert.is(listRows(lab).length, 4)
    assert.ok(await countMessagesTo(lab, restarted, 5_000) > 0)
    await stop(lab)
  })

  it('include all daemons that run, through changes of the owner and an outage of the store', async () => {
    const lab = JobLab.create({ seed: 4, daemons: 4 })
    await lab.start()
    for (let round = 0; round < 4; round++) {
      await lab.crashDaemon(lab.findOwner(), 2_000)
      await lab.timers.advance(20_000)
    }
    lab.store.fault = StoreFault.Unresponsive
    await lab.timers.advance(FORGET_WITHIN_MS)
    lab.store.fault = StoreFault.None
    await lab.timers.advance(FORGET_WITHIN_MS)
    assert.equal(listRemovals(lab), [])
    assert.is(listRows(lab).length, 4)
    await stop(lab)
  })

  it('include all others while the owner is cut off from them and reaches the store', async () => {
    const lab = JobLab.create({ seed: 5, daemons: 4 })
    await lab.start()
    const owner = lab.findOwner()
    const { host, port } = lab.daemons[owner]?.address ?? { host: '', port: 0 }
    lab.peers.cutAddresses.add(`${host}:${port}`)
    await lab.timers.advance(FORGET_WITHIN_MS)
    assert.is(lab.findOwner(), owner)
    assert.equal(listRemovals(lab), [])
    assert.is(listRows(lab).length, 4)
    await stop(lab)
  })
})
