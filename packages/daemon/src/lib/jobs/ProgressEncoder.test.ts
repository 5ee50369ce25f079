/**
 * Size and content of the row that holds a job's progress, for jobs of many tasks.
 */
import { assert, describe } from '@vanillathread/testing'
import { MemoryEventLog } from '@vanillathread/kernel'
import { EventCode, STEP_DEFAULTS, type AcceptedJob, type StepSpec } from '@vanillathread/model'
import { getMaxSmallestProgressBytes, PROGRESS_FORMS, ProgressForm, RandomSource, TrackedJob, type JobProgress, type TrackedTask } from '@vanillathread/policy'
import { ProgressEncoder } from './ProgressEncoder.js'
import { decodeProgressRow, encodeRow } from './rows.js'

/** Limit of the platform for a row. */
const ROW_BYTES = 65_536

/** Id of a VM as the platform gives them. */
function nameVm (index: number): string {
  return `i-07f3a91c2e4b5d6${index}`
}

function createJob (steps: ReadonlyArray<Partial<StepSpec>>, fields: Partial<AcceptedJob> = {}, repeatCount = 0): AcceptedJob {
  return {
    id: '5c0e7a21d94b36f8',
    queue: 'q',
    pool: 'p',
    spec: { payload: '', steps: steps.map((step) => ({ ...STEP_DEFAULTS, taskCount: 1, need: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 1, ...step })), repeatCount, firstRunMs: 0, intervalMs: 0 },
    priority: 0,
    maxAttempts: 3,
    deadlineFactor: 1,
    targetLatencyMs: 1,
    acceptedAtMs: 0,
    configurationVersion: 1,
    ...fields,
  }
}

function track (accepted: AcceptedJob, progress?: JobProgress): TrackedJob {
  return TrackedJob.create(accepted, { acceptedVersion: 1, baseRunNumber: 0, mayHavePreviousRuns: progress !== undefined, progress })
}

function listTasks (job: TrackedJob): TrackedTask[] {
  return [...job.occurrences.values()].flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks))
}

/** What has to be the same after a takeover. */
function describeTasks (job: TrackedJob): unknown[] {
  return listTasks(job).map(({ done, failedRuns, crashes }) => done ? 'done' : [[...failedRuns].sort((a, b) => a - b), crashes])
}

/** Returns the job as a successor reads it from the row. */
function restore (accepted: AcceptedJob, value: Uint8Array): TrackedJob {
  return track(accepted, decodeProgressRow(value))
}

function createEncoder (rowBytes = ROW_BYTES): { readonly encoder: ProgressEncoder, readonly log: MemoryEventLog } {
  const log = MemoryEventLog.create()
  return { encoder: ProgressEncoder.create({ shard: 's', log, rowBytes }), log }
}

describe('ProgressEncoder', ({ describe, it }) => {
  it('writes the usual form while it fits, which former builds read', () => {
    const accepted = createJob([{ taskCount: 400 }])
    const job = track(accepted)
    for (const task of listTasks(job)) {
      if (task.index % 4 === 0) job.markDone(task)
      else if (task.index % 4 === 1) job.markFailed(task, 1)
      else if (task.index % 4 === 2) task.recordCrash({ vm: nameVm(task.index % 3), confirmed: true }, true)
    }
    const { encoder, log } = createEncoder()
    const { progress, value } = encoder.encode(job, 0)
    const [occurrence] = progress.occurrences
    assert.equal(Object.keys(occurrence ?? {}).sort(), ['crashed', 'done', 'failed', 'index'])
    assert.equal(value, encodeRow(job.toProgress(0)))
    assert.equal(log.records, [])
  })

  describe('of a job that outgrows a row', ({ it }) => {
    // Guards against LOST (review/13): the crash of one rack under 1,600 tasks made the progress of their job outgrow a row, and the job was shown as failed.
    it('keeps which VMs crashed under each of 2,400 tasks', () => {
      const accepted = createJob([{ taskCount: 2_400 }])
      const job = track(accepted)
      for (const task of listTasks(job)) if (task.index % 4 !== 3) task.recordCrash({ vm: nameVm(task.index % 5), confirmed: task.index % 7 !== 0 }, true)
      assert.ok(encodeRow(job.toProgress(0)).length > ROW_BYTES)
      const { encoder, log } = createEncoder()
      const { value } = encoder.encode(job, 0)
      assert.ok(value.length <= ROW_BYTES, `${value.length} bytes`)
      assert.is(job.failed, false)
      assert.equal(describeTasks(restore(accepted, value)), describeTasks(job))
      assert.equal(log.records.map(({ code }) => code), [EventCode.ProgressCompacted])
      encoder.encode(job, 0)
      assert.is(log.records.length, 1, 'the form is logged once')
    })

    // Guards against LOST: 12,000 tasks that had failed once of three allowed times made their job outgrow a row.
    it('keeps which runs of 12,000 tasks have failed', () => {
      const accepted = createJob([{ taskCount: 12_000 }])
      const job = track(accepted)
      for (const task of listTasks(job)) {
        job.markFailed(task, 1)
        if (task.index % 10 === 0) job.markFailed(task, 3)
      }
      const { value } = createEncoder().encoder.encode(job, 0)
      assert.ok(value.length <= ROW_BYTES, `${value.length} bytes`)
      assert.equal(describeTasks(restore(accepted, value)), describeTasks(job))
    })

    it('keeps the failures of a schedule with as many open occurrences as are allowed', () => {
      const accepted = createJob([{ taskCount: 1 }], {}, 5_000)
      const job = track(accepted)
      // Each occurrence has begun, so that the next ones are opened.
      for (let round = 0; round < 20; round++) {
        job.openDueOccurrences(1)
        for (const task of listTasks(job)) if (task.failedRuns.size === 0) task.runs.add({} as never)
      }
      assert.ok(job.occurrences.size > 1_000, `${job.occurrences.size} occurrences`)
      for (const task of listTasks(job)) {
        task.runs.clear()
        job.markFailed(task, 1)
        task.recordCrash({ vm: nameVm(1), confirmed: true }, true)
      }
      const { value } = createEncoder().encoder.encode(job, 0)
      assert.ok(value.length <= ROW_BYTES, `${value.length} bytes`)
      assert.ok(listTasks(restore(accepted, value)).filter(({ failureCount }) => failureCount === 1).length > 1_000)
    })

    // Guards against LOST: tasks waited for ever for crashes that are in no row.
    it('leaves out crashes before failed runs, tells so, and lets their tasks start', () => {
      const accepted = createJob([{ taskCount: 300 }])
      const job = track(accepted)
      for (const task of listTasks(job)) {
        job.markFailed(task, 1 + task.index % 4)
        task.recordCrash({ vm: nameVm(task.index), confirmed: true }, true)
        if (task.index < 2) task.recordCrash({ vm: nameVm(300), confirmed: true }, true)
      }
      const forms = [[1_000, ProgressForm.WithoutSingleCrashes, 2], [220, ProgressForm.WithoutCrashes, 0]] as const
      for (const [rowBytes, form, storedCrashes] of forms) {
        const { encoder, log } = createEncoder(rowBytes)
        const { progress, value } = encoder.encode(job, 0)
        assert.ok(value.length <= rowBytes, `${value.length} bytes`)
        assert.equal(log.records.map(({ code, fields }) => [code, fields['form']]), [[EventCode.ProgressReduced, ProgressForm[form]]])
        const restored = restore(accepted, value)
        assert.is(restored.listSuspects().length, storedCrashes)
        assert.equal(listTasks(restored).map(({ failedRuns }) => [...failedRuns]), listTasks(job).map(({ failedRuns }) => [...failedRuns]))
        job.markStored(progress)
        assert.ok(listTasks(job).every((task) => task.isWaiting))
      }
    })

    // Guards against BUDGET: a run that failed and is listed again after a takeover, or one that fails later, is counted wrongly.
    it('counts a failed run once across owners if only the numbers of failed runs are stored', () => {
      const accepted = createJob([{ taskCount: 8 }])
      const job = track(accepted)
      for (const task of listTasks(job)) for (let run = 1; run <= task.index % 3; run++) job.markFailed(task, run)
      const restored = restore(accepted, encodeRow(job.toProgress(0, ProgressForm.FailureCounts)))
      assert.equal(listTasks(restored).map(({ failureCount }) => failureCount), listTasks(job).map(({ failureCount }) => failureCount))
      for (const task of listTasks(restored)) for (let run = 1; run <= task.index % 3; run++) restored.markFailed(task, run)
      assert.is(restored.failed, false, 'runs that are listed again do not count again')
      const again = restore(accepted, encodeRow(restored.toProgress(0)))
      assert.equal(listTasks(again).map(({ failureCount }) => failureCount), listTasks(job).map(({ failureCount }) => failureCount), 'the next successor knows the same')
      const [, , third] = listTasks(again)
      if (third === undefined) throw new Error('no task')
      again.markFailed(third, 3)
      assert.is(again.failed, true, 'the third failure fails the job')
    })

    // Guards against a job that is accepted and can't be kept.
    it('fits into a row in its smallest form whatever fails, if the job was accepted', () => {
      const random = RandomSource.create(1)
      for (const maxAttempts of [1, 3, 10]) {
        const accepted = findWidest(maxAttempts)
        for (const share of [0.1, 1]) {
          const job = track(accepted)
          for (const task of listTasks(job)) {
            if (random.nextFloat() < 0.2) job.markDone(task)
            else if (random.nextFloat() < share) for (let failures = random.nextBelow(maxAttempts); failures > 0; failures--) job.markFailed(task, 1 + random.nextBelow(3_000))
          }
          assert.is(job.failed, false)
          const { length } = encodeRow(job.toProgress(0, ProgressForm.FailureTotals))
          assert.ok(length <= getMaxSmallestProgressBytes(accepted.spec, maxAttempts), `${length} bytes with ${maxAttempts} attempts`)
          assert.ok(createEncoder().encoder.encode(job, 0).value.length <= ROW_BYTES)
        }
      }
    })

    it('takes the next smaller form if the store rejects one, and says when there is none', () => {
      const accepted = createJob([{ taskCount: 50 }])
      const job = track(accepted)
      for (const task of listTasks(job)) job.markFailed(task, 1)
      const { encoder } = createEncoder()
      const sizes = PROGRESS_FORMS.map((_, position) => {
        assert.is(position === 0 || encoder.requireSmallerForm(job), true)
        return encoder.encode(job, 0).value.length
      })
      assert.is(encoder.requireSmallerForm(job), false)
      assert.ok(sizes.every((size, position) => size <= (sizes[position - 1] ?? Infinity)), sizes.join())
    })
  })
})

/** Returns a job of one step that may just be accepted. */
function findWidest (maxAttempts: number): AcceptedJob {
  let accepted = createJob([{ taskCount: 1 }], { maxAttempts })
  for (let taskCount = 100_000; taskCount > 0; taskCount -= 1_000) {
    accepted = createJob([{ taskCount }], { maxAttempts })
    if (getMaxSmallestProgressBytes(accepted.spec, maxAttempts) <= ROW_BYTES) break
  }
  return accepted
}
