/**
 * Tests that the cause of a refused, failed or late job can be found from its id and the daemons' log lines alone.
 */
import { assert, describe } from '@vanillathread/testing'
import { buildTimeline, explainLogs, LoggedKind, parseLine, type Explanation, type TimelineEntry } from '@vanillathread/cli'
import { EventCode, JobState } from '@vanillathread/model'
import { StoreFault, VmFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './lib/jobs/JobLab.js'

/** Returns the log lines as the daemons would have written them, daemon by daemon. */
function listLines (lab: JobLab): string[] {
  return lab.daemons.flatMap(({ name, log }) => log.records.map((record, index) => JSON.stringify({
    time: new Date(index).toISOString(), daemon: name, event: record.code, ...record.fields,
  })))
}

function listTimeline (lab: JobLab, id: string): TimelineEntry[] {
  return buildTimeline(listLines(lab), id)
}

function findCause (lab: JobLab, id: string): Explanation | undefined {
  return explainLogs(LoggedKind.Job, id, listLines(lab).map((line) => parseLine(line)).filter((entry) => entry !== undefined))
}

describe('explanation of a refused, failed or late job from log lines', ({ it }) => {
  it('names the cause if a job was refused because the store accepted no write', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    lab.store.fault = StoreFault.Refusing
    const job = lab.submit(createJob())
    await lab.run(2_000)
    const [entry] = listTimeline(lab, (await job).id)
    assert.is(entry?.event, EventCode.JobRefused)
    assert.is(entry?.fields['reason'], 'store took no write')
    assert.is(findCause(lab, (await job).id)?.cause, 'store took no write')
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })

  it('lists the failed attempts of a job that is shown as failed', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    const submission = lab.submit(createJob(createStep({ taskCount: 1 })), { poison: true })
    await lab.run(4_000)
    const job = await submission
    assert.is(job.accepted, true)
    assert.is(job.shownState, JobState.Failed)
    const entries = listTimeline(lab, job.id)
    const ends = entries.filter((entry) => entry.event === EventCode.TaskEnded).map((entry) => entry.fields['end'])
    assert.equal(ends, ['failed', 'failed'])
    assert.is(findCause(lab, job.id)?.outcome, 'failed')
    const jobEnds = entries.filter((entry) => entry.event === EventCode.JobEnded).map((entry) => entry.fields['state'])
    assert.equal(jobEnds, [JobState.Failed])
    assert.is(entries.at(-1)?.event, EventCode.JobEnded)
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })

  it('names the cause if a job is late because its VM is unresponsive and the lease has to end before the run is given up', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    lab.submit(createJob(createStep({ taskCount: 1, estimateMs: 2_000 })))
    await lab.run(500)
    const vm = lab.fleet.vms.find((each) => each.runs.size > 0)
    if (vm === undefined) throw new Error('nothing runs')
    vm.fault = VmFault.Partitioned
    await lab.run(10_000)
    const id = [...lab.history.jobs.keys()][0] ?? ''
    const lost = listTimeline(lab, id).find((entry) => entry.event === EventCode.TaskLost)
    assert.is(lost?.fields['reason'], 'lease is over and the VM does not answer')
    assert.match(findCause(lab, id)?.cause ?? '', 'lease is over and the VM does not answer')
    assert.ok(listTimeline(lab, String(lost?.fields['vm'])).some((entry) => entry.event === EventCode.VmSilent))
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })

  it('names the VMs that crashed under a task of a job that was given up', async () => {
    const lab = JobLab.create({ seed: 1 })
    await lab.start()
    const submission = lab.submit(createJob(createStep({ taskCount: 2 })), { deadlyTask: 1 })
    await lab.run(15_000)
    const { id } = await submission
    const explanation = findCause(lab, id)
    assert.is(explanation?.outcome, 'failed')
    assert.match(explanation?.cause ?? '', /^VMs crashed under its tasks: vm-\d+ vm-\d+$/)
    assert.is(explanation?.facts.filter((fact) => fact.includes('crashed, found at')).length, 2)
    for (const { daemon } of lab.daemons) await daemon?.kill()
  })
})
