/**
 * Checks the outcomes and causes that are derived from log lines alone.
 */
import { assert, describe } from '@vanillathread/testing'
import { EventCode } from '@vanillathread/model'
import { parseLine, sortByTime, type TimelineEntry } from '../logTimeline.js'
import { explainLogs, LoggedKind } from './explainLogs.js'

const JOB = 'aaaaaaaaaaaaaaaa'
const TASK = `${JOB}.0.0.0`

/** Parses and sorts log lines that have a collector's prefix. Each is given as the second of the day, the daemon, the event and its fields. */
function createEntries (...lines: Array<[second: number, daemon: string, event: EventCode, fields: Record<string, unknown>]>): TimelineEntry[] {
  const entries = lines.map(([second, daemon, event, fields]) =>
    parseLine(`collector: ${JSON.stringify({ time: new Date(second * 1_000).toISOString(), daemon, event, ...fields })}`))
  return sortByTime(entries.filter((entry) => entry !== undefined))
}

const accepted = [1, 'b', EventCode.JobAccepted, { job: JOB, queue: 'q' }] as [number, string, EventCode, Record<string, unknown>]
const started = (second: number, vm: string, waitedMs: number): [number, string, EventCode, Record<string, unknown>] =>
  [second, 'a', EventCode.TaskStartOrdered, { task: TASK, run: second, vm, waitedMs }]
const ended = (second: number, state: string): [number, string, EventCode, Record<string, unknown>] => [second, 'a', EventCode.JobEnded, { job: JOB, state }]

describe('explainLogs', ({ it }) => {
  it('returns undefined for a job that no line names', () => {
    assert.is(explainLogs(LoggedKind.Job, 'bbbbbbbbbbbbbbbb', createEntries(accepted)), undefined)
  })

  it('reports a refusal with its reason', () => {
    const found = explainLogs(LoggedKind.Job, JOB, createEntries([1, 'b', EventCode.JobRefused, { job: JOB, code: 2104, reason: 'store took no write' }]))
    assert.equal([found?.outcome, found?.cause], ['refused', 'store took no write'])
  })

  it('distinguishes a job at fault from a VM at fault', () => {
    const failure = (second: number, vm: string): [number, string, EventCode, Record<string, unknown>] => [second, 'a', EventCode.TaskEnded, { task: TASK, vm, end: 'failed' }]
    const job = explainLogs(LoggedKind.Job, JOB, createEntries(accepted, started(2, 'v1', 5), failure(3, 'v1'), started(4, 'v2', 9), failure(5, 'v2'), ended(6, 'failed')))
    assert.equal([job?.outcome, job?.cause], ['failed', 'its tasks failed on 2 VMs, so the job is at fault'])
    const vm = explainLogs(LoggedKind.Job, JOB, createEntries(accepted, started(2, 'v1', 5), failure(3, 'v1'), started(4, 'v1', 9), failure(5, 'v1'), ended(6, 'failed')))
    assert.is(vm?.cause, 'every failed run was on VM v1')
  })

  it('attributes a late job to a lost VM, to a new owner, or to a full pool', () => {
    const lost = createEntries(accepted, started(2, 'v1', 5), [7, 'a', EventCode.TaskLost, { task: TASK, vm: 'v1', reason: 'lease is over and the VM does not answer' }], started(8, 'v2', 7_000), ended(9, 'complete'))
    assert.is(explainLogs(LoggedKind.Job, JOB, lost)?.cause, 'VM v1: lease is over and the VM does not answer')
    const owner = createEntries(accepted, [2, 'c', EventCode.ShardTaken, { shard: 'main', reason: 'owner process is gone' }], started(3, 'v1', 2_000), ended(4, 'complete'))
    assert.is(explainLogs(LoggedKind.Job, JOB, owner)?.cause, 'the shard changed its owner: owner process is gone')
    const full = createEntries(accepted, started(5, 'v1', 4_000), ended(6, 'complete'))
    assert.is(explainLogs(LoggedKind.Job, JOB, full)?.cause, 'waited 4000 ms for room in its pool')
    const capped = createEntries(accepted, [3, 'a', EventCode.JobWaits, { job: JOB, team: 't', reason: 'cap', waitedMs: 500, cpuMillis: 4_000, capCpuMillis: 4_500, memoryMb: 9, capMemoryMb: 0 }], started(5, 'v1', 4_000))
    assert.match(explainLogs(LoggedKind.Job, JOB, capped)?.cause ?? '', 'team t was at its cap: 4000 of 4500')
    assert.is(explainLogs(LoggedKind.Job, JOB, createEntries(accepted, started(1, 'v1', 20), ended(2, 'complete')))?.cause, undefined)
  })

  it('shows the wait for a near place with both costs and its outcome', () => {
    const waits: [number, string, EventCode, Record<string, unknown>] = [1, 'a', EventCode.NearPlaceWait, { job: JOB, step: 0, outcome: 'waits', rack: 'r1', tasks: 2, farCostMs: 900, waitCostMs: 150, untilMs: 700 }]
    const over: [number, string, EventCode, Record<string, unknown>] = [2, 'a', EventCode.NearPlaceWait, { job: JOB, step: 0, outcome: 'over', waitedMs: 210, near: 2, far: 0 }]
    assert.equal(explainLogs(LoggedKind.Job, JOB, createEntries(accepted, waits, over))?.facts.slice(1), [
      'step 0: 2 tasks wait for rack r1 for up to 700 ms: expected wait 150 ms, a far place costs 900 ms',
      'step 0: wait for a near place over after 210 ms: 2 tasks near, 0 far',
    ])
  })

  it('reports the owner of a shard, and which machines of a wave are not yet down', () => {
    const shard = explainLogs(LoggedKind.Shard, 'main', createEntries(
      [1, 'a', EventCode.ShardTaken, { shard: 'main', fencingToken: 5, reason: 'no owner' }],
      [1, 'a', EventCode.ShardReady, { shard: 'main', fencingToken: 5, jobs: 0, tookMs: 3 }],
      [9, 'b', EventCode.ShardTaken, { shard: 'main', fencingToken: 77, reason: 'owner process is gone' }]
    ))
    assert.equal([shard?.outcome, shard?.facts.length], ['owned by b', 2])
    assert.match(shard?.facts[1] ?? '', 'never loaded')
    const wave = explainLogs(LoggedKind.Wave, '3', createEntries(
      [1, 'a', EventCode.WaveSeen, { wave: 3, machines: 2, cap: 1 }],
      [2, 'a', EventCode.EvacuationStarted, { wave: 3, machine: 'm1', vm: 'v1' }],
      [3, 'a', EventCode.MaintenanceAnswered, { wave: 3, machine: 'm1', outcome: 'done' }],
      [4, 'a', EventCode.EvacuationStarted, { wave: 3, machine: 'm2', vm: 'v2' }]
    ))
    assert.equal([wave?.outcome, wave?.cause], ['not complete', 'not yet down: m2'])
  })

  it('reports the state of a VM, and how long a queue\'s jobs waited', () => {
    const vm = explainLogs(LoggedKind.Vm, 'v1', createEntries([1, 'a', EventCode.VmSeen, { vm: 'v1', pool: 'p' }], [2, 'a', EventCode.VmAvoided, { vm: 'v1', reason: 'tasks of several jobs failed' }]))
    assert.equal([vm?.outcome, vm?.cause], ['avoided', 'tasks of several jobs failed'])
    const queue = explainLogs(LoggedKind.Queue, 'q', createEntries([1, 'a', EventCode.JobOwned, { job: JOB, queue: 'q' }], started(2, 'v1', 900), ended(3, 'complete')))
    assert.equal([queue?.outcome, queue?.cause], ['1 jobs, 1 ended', 'jobs waited up to 900 ms for room in the pool'])
  })
})
