/**
 * Tests that daemons log the loss and the return of the store once each, and that the rows of ended jobs are removed from it.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode, JobState, ResultCode } from '@vanillathread/model'
import { IngressAnswerKind } from '@vanillathread/ports'
import { StoreFault, type VmStandIn } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'
import type { SubmittedJob } from './lib/jobs/SubmittedJob.js'

describe('the store', ({ it }) => {
  it('is logged as lost once and as regained once after it was silent, with the length of the outage', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    lab.store.fault = StoreFault.Unresponsive
    await lab.run(5_000)
    lab.store.fault = StoreFault.None
    await lab.run(4_000)
    for (const { name, log } of lab.daemons) {
      const seen = log.records.filter(({ code }) => code === EventCode.StoreLost || code === EventCode.StoreRegained)
      assert.equal(seen.map(({ code }) => code), [EventCode.StoreLost, EventCode.StoreRegained], name)
      const outageMs = Number(seen[1]?.fields['awayMs'])
      assert.ok(outageMs > 4_000 && outageMs < 8_000, `${name}: ${outageMs} ms`)
    }
    await lab.finish(1_000)
  })

  it('keeps no rows of jobs that ended longer ago than the retention time, and these jobs do not run again', async () => {
    const lab = JobLab.create({ seed: 1, settings: { stateKeptMs: 4_000 } })
    await lab.start()
    const countRows = () => [...lab.store.rows.values()].filter(({ table }) => table === 'jobs' || table === 'progress').length
    const jobs = await submitAll(lab, 30)
    await lab.run(6_000)
    assert.ok(countRows() >= 60, 'rows were removed before the retention time ended')
    const { starts } = lab.history
    // A job that is submitted again within the retention time is recognized and does not run again.
    const resubmission = lab.daemons[0]?.api?.submit({ host: 'lab', path: `/checks/${jobs[0]?.id ?? ''}`, deadlineMs: 3_000 }, createJob())
    await lab.run(1_000)
    assert.is((await resubmission)?.kind, IngressAnswerKind.Accepted)
    await lab.run(12_000)
    assert.is(countRows(), 0)
    assert.is(lab.history.starts, starts)
    const query = lab.daemons[1]?.api?.query({ host: 'lab', path: '/checks/00000000000000ee', deadlineMs: 3_000 })
    await lab.run(500)
    assert.is((await query)?.kind, IngressAnswerKind.UnknownJob)
    await lab.crashDaemon(lab.findOwner(), 1_000)
    await lab.run(6_000)
    assert.is(lab.history.starts, starts)
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })

  // Guards against jobs that can never be stored: they were answered 503 for ever, and the jobs that shared their transaction with them.
  it('is not asked to store a job that does not fit into a row; the job is refused as invalid', async () => {
    const lab = JobLab.create({ seed: 1, settings: { rowBytes: 2_000 } })
    await lab.start()
    const submit = (digit: string, payload: string) => lab.daemons[0]?.api?.submit({ host: 'lab', path: `/checks/${digit.repeat(16)}`, deadlineMs: 3_000 }, { ...createJob(createStep({ taskCount: 1 })), payload })
    const answers = [submit('a', 'x'.repeat(2_000)), submit('b', 'x')]
    await lab.run(1_000)
    const [large, small] = await Promise.all(answers)
    assert.is(large?.kind === IngressAnswerKind.Refused && large.code, ResultCode.InvalidJob)
    assert.is(small?.kind, IngressAnswerKind.Accepted)
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })

  // Guards against LOST (review/13): the crash of one rack made the progress of a wide job outgrow its row, and the job was shown as failed.
  it('keeps a job on many VMs that crash together, in a row of bounded size, also if its owner is lost then', async () => {
    for (const isOwnerLost of [false, true]) {
      const lab = JobLab.create({ seed: 1, settings: { rowBytes: 2_000 } })
      await lab.start()
      const job = await submitWide(lab)
      const countRuns = ({ vm }: { readonly vm?: VmStandIn }): number => vm?.runs.size ?? 0
      const listBusy = (): string[] => [...lab.fleet.machines].filter(([, machine]) => countRuns(machine) > 0).map(([id]) => id)
      // Machines move into the pool of the job.
      for (let waits = 0; waits < 50 && listBusy().length < 4; waits++) await lab.run(100)
      const crashing = listBusy().slice(0, 3)
      assert.is(crashing.length, 3)
      for (const id of crashing) lab.fleet.crash(id, 4_500)
      await lab.run(6_000)
      if (isOwnerLost) await lab.crashDaemon(lab.findOwner(), 1_500)
      await lab.finish(30_000)
      assert.equal(lab.history.violations, [])
      assert.is(job.shownState, JobState.Complete)
      assert.ok([...lab.store.rows.values()].every(({ value }) => value.length <= 2_000))
    }
  })

  // Guards against LOST: such a job was accepted, and failed once many of its tasks had.
  it('is not asked to store a job whose progress can outgrow a row; the job is refused as invalid', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    const submit = (digit: string, taskCount: number) => lab.daemons[0]?.api?.submit({ host: 'lab', path: `/checks/${digit.repeat(16)}`, deadlineMs: 3_000 }, createJob(...Array.from({ length: 8 }, () => createStep({ taskCount }))))
    const answers = [submit('a', 100_000), submit('b', 10)]
    await lab.run(1_000)
    const [wide, narrow] = await Promise.all(answers)
    assert.is(wide?.kind === IngressAnswerKind.Refused && wide.code, ResultCode.InvalidJob)
    assert.is(narrow?.kind, IngressAnswerKind.Accepted)
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })
})

async function submitWide (lab: JobLab): Promise<SubmittedJob> {
  const pending = lab.submit(createJob(createStep({ taskCount: 320, estimateMs: 4_000, need: { cpuMillis: 200, memoryMb: 10, accelerators: 0 } })))
  await lab.run(100)
  return pending
}

async function submitAll (lab: JobLab, count: number): Promise<Array<{ id: string }>> {
  const pending = []
  for (let job = 0; job < count; job++) pending.push(lab.submit(createJob(createStep({ taskCount: 1, estimateMs: 300 }))))
  await lab.run(2_000)
  return Promise.all(pending)
}
