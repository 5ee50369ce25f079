/**
 * Cancellations of jobs whose write had no outcome: the store carries the write out seconds later, or the caller sends the job again.
 */
import { IngressAnswerKind } from '@vanillathread/ports'
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const JOB_ID = '00000000000000e1'
const CALL = { host: 'lab', path: `/checks/${JOB_ID}`, deadlineMs: 3_000 }
const SPEC = createJob(createStep({ taskCount: 4, longRunning: true }))

/** RULES, UNASKED: time after the acknowledgement of a cancellation from which no task of the job may begin. */
const CANCEL_MS = 3_000
/** Longer than the store of the lab takes to carry out a write late. */
const WATCH_MS = 9_000

interface Outcome {
  readonly submitted: IngressAnswerKind | undefined
  readonly cancelled: IngressAnswerKind | undefined
  /** Tasks of the job that ran later than `CANCEL_MS` after the cancellation. */
  readonly lateRuns: readonly string[]
  readonly lab: JobLab
}

/** Submits a job while the store is silent, cancels it through another daemon once the store answers, and watches the VMs. */
async function cancelUnstoredJob (seed: number, killsDaemons: boolean): Promise<Outcome> {
  const lab = JobLab.create({ seed })
  await lab.start()
  lab.history.jobs.set(JOB_ID, { id: JOB_ID, spec: SPEC, poison: false, accepted: false, refused: false, cancelled: true, submittedAtMs: lab.timers.now(), queue: 0 })
  lab.store.fault = StoreFault.Stalled
  const submitted = lab.daemons[0]?.api?.submit(CALL, SPEC)
  await lab.timers.advance(3_000)
  lab.store.fault = StoreFault.None
  let cancelled: IngressAnswerKind | undefined
  for (let attempt = 0; attempt < 10 && cancelled !== IngressAnswerKind.Cancelled && cancelled !== IngressAnswerKind.UnknownJob; attempt++) {
    const answer = lab.daemons[1 + attempt % 2]?.api?.cancel(CALL)
    await lab.timers.advance(500)
    cancelled = (await answer)?.kind
  }
  for (const index of killsDaemons ? lab.daemons.keys() : []) lab.crashDaemon(index, 500)
  await lab.timers.advance(CANCEL_MS)
  const lateRuns = new Set<string>()
  for (let leftMs = WATCH_MS; leftMs > 0; leftMs -= 50) {
    await lab.timers.advance(50)
    for (const vm of lab.fleet.vms) for (const { task } of vm.runs.values()) lateRuns.add(task)
  }
  return { submitted: (await submitted)?.kind, cancelled, lateRuns: [...lateRuns], lab }
}

async function stop (lab: JobLab): Promise<void> {
  for (const { daemon } of lab.daemons) await daemon?.kill()
}

describe('cancellation of a job whose write had no outcome', ({ it }) => {
  // Guards against UNASKED: a cancellation that found no row left nothing behind, and the row that was written later ran.
  it('keeps a late write from starting the job, also if every daemon is killed in between', async () => {
    for (const killsDaemons of [false, true]) {
      const answers = new Set<IngressAnswerKind | undefined>()
      for (const seed of SEEDS) {
        const { cancelled, lateRuns, lab } = await cancelUnstoredJob(seed, killsDaemons)
        assert.equal(lateRuns, [], `seed ${seed}, ${killsDaemons ? 'daemons killed' : 'daemons left alone'}`)
        answers.add(cancelled)
        await stop(lab)
      }
      assert.ok(answers.has(IngressAnswerKind.UnknownJob), 'on some seed the cancellation came before the write')
    }
  })

  // Guards against REFUSED and UNASKED: the same job, sent again after it was cancelled, would be a job that nobody asks for.
  it('bars the job from being stored by a repeated request, for the time that ended jobs are kept', async () => {
    const lab = JobLab.create({ seed: 1, settings: { stateKeptMs: 2_000 } })
    await lab.start()
    const [first, second] = lab.daemons.map(({ api }) => api)
    const answers = [first?.cancel(CALL)]
    await lab.timers.advance(500)
    answers.push(first?.query(CALL), second?.submit(CALL, SPEC))
    await lab.timers.advance(500)
    answers.push(second?.query(CALL))
    await lab.timers.advance(500)
    const { UnknownJob, Refused, Accepted } = IngressAnswerKind
    assert.equal((await Promise.all(answers)).map((answer) => answer?.kind), [UnknownJob, UnknownJob, Refused, UnknownJob])
    const countRows = () => [...lab.store.rows.values()].filter(({ key }) => key.includes(JOB_ID)).length
    assert.is(countRows(), 1)
    await lab.timers.advance(10_000)
    assert.is(countRows(), 0)
    const again = second?.submit(CALL, SPEC)
    await lab.timers.advance(500)
    assert.is((await again)?.kind, Accepted)
    await stop(lab)
  })
})
