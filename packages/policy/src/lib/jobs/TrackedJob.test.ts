/**
 * Size of a job in memory and in its row of progress, for schedules with many due times and for wide steps.
 */
import { assert, describe } from '@vanillathread/testing'
import type { AcceptedJob } from '@vanillathread/model'
import { getMaxOpenOccurrences } from './dueOccurrences.js'
import type { JobProgress } from './JobProgress.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from './testSupport.js'
import { TrackedJob } from './TrackedJob.js'

/** Limit of the platform for a row. The rows are encoded as CBOR, which is shorter than JSON. */
const ROW_BYTES = 65_536
const HOUR_MS = 3_600_000

function track (accepted: AcceptedJob, progress?: JobProgress): TrackedJob {
  return TrackedJob.create(accepted, { acceptedVersion: 1, baseRunNumber: 0, mayHavePreviousRuns: progress !== undefined, progress })
}

function measureRow ({ occurrences, ...rest }: JobProgress): number {
  const bits = occurrences.flatMap(({ doneBits = [] }) => doneBits.map(([, bytes]) => bytes.length)).reduce((sum, bytes) => sum + bytes, 0)
  return bits + JSON.stringify({ ...rest, occurrences: occurrences.map(({ doneBits, ...other }) => other) }).length
}

describe('TrackedJob', ({ describe, it }) => {
  describe('with many due occurrences', ({ it }) => {
    // Guards against LOST: the progress of a schedule whose times had passed outgrew its row, and no job of the shard was committed any more.
    it('runs each of them once, in a row and a memory of bounded size, also if owners change', () => {
      for (const repeatCount of [10_080, 60_000, 300_000]) {
        const accepted = createTestJob({ steps: [createTestStep({ taskCount: 1 }), createTestStep({ taskCount: 2, after: [0] })], repeatCount, firstRunMs: 0, intervalMs: 1 })
        let job = track(accepted)
        let ended = 0
        let rounds = 0
        for (; !job.isComplete && rounds < 20_000; rounds++) {
          job.openDueOccurrences(HOUR_MS)
          assert.ok(job.occurrences.size <= getMaxOpenOccurrences(accepted.spec), `${job.occurrences.size} occurrences are tracked`)
          for (const occurrence of [...job.occurrences.values()]) {
            // The first occurrence, and the second steps of some others, take longer than all else.
            if (occurrence.index === 0 && ended < repeatCount - 1) continue
            const step = occurrence.steps.find((each) => !each.isDone)
            if (step === undefined || (step.index === 1 && (occurrence.index + rounds) % 7 !== 0)) continue
            for (const task of step.tasks) job.markDone(task)
            if (occurrence.isDone) ended += 1
          }
          if (rounds % 50 !== 0) continue
          const progress = job.toProgress(0)
          assert.ok(measureRow(progress) <= ROW_BYTES, `${measureRow(progress)} bytes of progress`)
          job = track(accepted, progress)
        }
        assert.equal({ ended, isComplete: job.isComplete }, { ended: repeatCount, isComplete: true })
      }
    })

    it('opens none before it is due, and those that are due in their order', () => {
      const accepted = createTestJob({ repeatCount: 1_000, firstRunMs: 10_000, intervalMs: 100 })
      const job = track(accepted)
      for (const [wallClockMs, count] of [[9_999, 0], [10_000, 1], [10_099, 1], [10_100, 2], [10_900, 10]] as const) {
        job.openDueOccurrences(wallClockMs)
        assert.equal([...job.occurrences.keys()], Array.from({ length: count }, (_, index) => index))
      }
    })

    it('uses all room of the pool, and leaves jobs with less slack their turn', () => {
      const scheduler = createScheduler()
      for (let index = 0; index < 60; index++) reportRunning(scheduler, createVmEntry(`vm-${index}`), 0)
      scheduler.addJob(createTestJob({ id: '1'.repeat(16), steps: [createTestStep({ taskCount: 1 })], repeatCount: 10_000, firstRunMs: 0, intervalMs: 0 }), 1, 0)
      let starts = 0
      for (let nowMs = 0; nowMs < 10; nowMs++) starts += planAndAccept(scheduler, nowMs).length
      assert.is(starts, 480)
    })
  })

  // Guards against LOST: the list of a wide step's done tasks outgrew the row.
  it('stores a step of 100,000 tasks, every second of which is done, in one row', () => {
    const accepted = createTestJob({ steps: [createTestStep({ taskCount: 100_000 })] })
    const job = track(accepted)
    for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) if (task.index % 2 === 0) job.markDone(task)
    const progress = job.toProgress(0)
    assert.ok(measureRow(progress) <= ROW_BYTES)
    const restored = track(accepted, progress).occurrences.get(0)?.steps[0]
    assert.is(restored?.doneCount, 50_000)
    assert.ok(restored?.tasks.every((task) => task.done === (task.index % 2 === 0)))
  })
})
