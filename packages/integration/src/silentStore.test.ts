/**
 * What clients get while the store is silent, slow or loses answers in the middle of a burst.
 */
import { IngressAnswerKind } from '@vanillathread/ports'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import { playSilence, summarizeSilence } from './lib/jobs/playSilence.js'
import { SEEDS } from './lib/jobs/simulateWithFault.js'

const BURST = { faultFromMs: 2_000, faultToMs: 9_000, burstMs: 11_000, jobsPerSecond: 40 }

/** Long polls that were sent before the silence are answered up to 1.2 s into it, and the store counts as silent 1.3 s later. */
const MAX_HELD_MS = 2_500

describe('store that fails in the middle of a burst', ({ it }) => {
  it('holds no request until its deadline while it is silent, and refuses no job that is stored', async () => {
    for (const fault of [StoreFault.Unresponsive, StoreFault.Stalled]) {
      for (const seed of SEEDS) {
        const options = { ...BURST, seed, fault }
        const result = await playSilence(options)
        const summary = summarizeSilence(options, result)
        const name = `fault ${fault}, seed ${seed}`
        assert.is(summary.byAnswer.get('none') ?? 0, 0, `${name}: requests without an answer`)
        assert.ok(summary.maxHeldMs <= MAX_HELD_MS, `${name}: held for ${summary.maxHeldMs} ms`)
        assert.ok(summary.acceptedSoon >= 0.9 * summary.openAtEnd, `${name}: ${summary.acceptedSoon} of ${summary.openAtEnd} accepted soon`)
        assert.equal({ lost: summary.lost, falseRefusals: result.falseRefusals }, { lost: 0, falseRefusals: [] }, name)
      }
    }
  })

  it('accepts every job at the first attempt while it is slow or loses answers', async () => {
    for (const fault of [StoreFault.Slow, StoreFault.LosingAnswers]) {
      for (const seed of SEEDS) {
        const options = { ...BURST, seed, fault }
        const { byAnswer, attempts } = summarizeSilence(options, await playSilence(options))
        assert.equal([...byAnswer], [[IngressAnswerKind.Accepted, attempts]], `fault ${fault}, seed ${seed}`)
      }
    }
  })

  it('lets no cancellation or query wait until its deadline', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    const api = lab.daemons.find((_daemon, index) => index !== lab.findOwner())?.api
    const job = { host: 'lab', path: '/checks/00000000000000ab', deadlineMs: 3_000 }
    const stored = api?.submit(job, createJob(createStep({ longRunning: true })))
    await lab.timers.advance(500)
    assert.is((await stored)?.kind, IngressAnswerKind.Accepted)
    lab.store.fault = StoreFault.Unresponsive
    await lab.timers.advance(1_300)
    const answers: unknown[] = []
    const sentAtMs = lab.timers.now()
    api?.cancel(job).then(({ kind }) => answers.push(kind, lab.timers.now() - sentAtMs <= 1_325))
    await lab.timers.advance(1_400)
    assert.equal(answers, [IngressAnswerKind.OutcomeUnknown, true])
    const unknownJob = { ...job, path: '/checks/00000000000000ac' }
    // The cancellation is tried to find out whether the store answers again. The queries are sent to the owner first.
    for (const call of [api?.cancel(job), api?.query(unknownJob), api?.query(unknownJob)]) call?.then(({ kind }) => answers.push(kind))
    await lab.timers.advance(300)
    assert.equal(answers.slice(2), [IngressAnswerKind.Refused, IngressAnswerKind.Refused])
    await lab.timers.advance(500)
    assert.equal(answers.slice(4), [IngressAnswerKind.OutcomeUnknown])
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })
})
