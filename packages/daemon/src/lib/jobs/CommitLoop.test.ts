/**
 * Size of a commit's transactions.
 */
import { assert, describe } from '@vanillathread/testing'
import { delay, FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { JobState, RunEnd, STEP_DEFAULTS, Result, type AcceptedJob, type StepSpec, type VmEntry } from '@vanillathread/model'
import { JobScheduler, type TrackedJob } from '@vanillathread/policy'
import { StoreFailureKind, type RowStore, type RowTransaction } from '@vanillathread/ports'
import { CommitLoop } from './CommitLoop.js'
import { decodeProgressRow, decodeRosterRow } from './rows.js'

/** Platform limit on the entries of one transaction. */
const MAX_ENTRIES = 100

function createJob (index: number): AcceptedJob {
  const step = { ...STEP_DEFAULTS, taskCount: 1, need: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 1 }
  return {
    id: index.toString(16).padStart(16, '0'),
    queue: 'q',
    pool: 'p',
    spec: { payload: '', steps: [step], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
    priority: 0,
    maxAttempts: 1,
    deadlineFactor: 1,
    targetLatencyMs: 1,
    acceptedAtMs: 0,
    configurationVersion: 1,
  }
}

function createVm (index: number): VmEntry {
  return { id: `vm-${index}`, pool: 'p', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, labels: [], draining: false, bornMs: 1 }
}

interface Fixture {
  readonly scheduler: JobScheduler
  readonly timers: FakeTimerService
  readonly transactions: RowTransaction[]
  readonly loop: CommitLoop
}

/** Adds a job of one step whose tasks have all failed once. */
function addWideJob (scheduler: JobScheduler, taskCount: number): TrackedJob {
  const wide = createJob(1)
  const [step] = wide.spec.steps
  if (step === undefined) throw new Error('job has no step')
  scheduler.addJob({ ...wide, maxAttempts: 9, spec: { ...wide.spec, steps: [{ ...step, taskCount }] } }, 2, 0)
  const job = scheduler.state.jobs.get(wide.id)
  if (job === undefined) throw new Error('job is not tracked')
  for (const task of job.occurrences.get(0)?.steps[0]?.tasks ?? []) job.markFailed(task, 1)
  return job
}

/**
 * @param isRejected - true for a row that the store refuses for good.
 * @param transactionMs - time until the store answers.
 */
function createFixture (isRejected: (key: string, value: Uint8Array) => boolean = () => false, transactionMs = 0): Fixture {
  const timers = FakeTimerService.create()
  const scheduler = JobScheduler.create({ generation: 0, fencingToken: 1, leaseMs: 5_000, stopMs: 900, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {} })
  const transactions: RowTransaction[] = []
  const rows = {
    getStoreClockMs: () => timers.now(),
    getStoreClockReading: () => ({ clockMs: timers.now(), sentAgoMs: 0 }),
    transact: async (transaction: RowTransaction) => {
      if (transaction.puts.some(({ key, value }) => isRejected(key, value))) return Result.err({ kind: StoreFailureKind.NotDone, reason: 'status 400', rejected: true })
      transactions.push(transaction)
      if (transactionMs > 0) await delay(timers, transactionMs)
      return Result.ok({ version: transactions.length + 1 })
    }
  } as unknown as RowStore
  const loop = CommitLoop.create({
    shard: 's',
    scheduler,
    rows,
    timers,
    rowBytes: 65_536,
    onStored: () => {},
    log: MemoryEventLog.create(),
    ownerRow: { table: 'shards', part: 's', key: 'owner', version: 1 },
    versions: new Map(),
    onCommitted: () => {},
    onSuperseded: () => {},
  })
  return { scheduler, timers, transactions, loop }
}

describe('CommitLoop', ({ it }) => {
  it('writes all changes in transactions within the platform limit', async () => {
    const { scheduler, timers, transactions, loop } = createFixture()
    for (let index = 0; index < 90; index++) {
      scheduler.addJob(createJob(index), 2, 0)
      scheduler.cancelJob(createJob(index).id, 0)
    }
    for (let index = 0; index < 30; index++) {
      scheduler.applyRegistration(createVm(index), 0)
      scheduler.forgottenVms.add(`gone-${index}`)
    }
    loop.request()
    await timers.advance(0)
    await timers.advance(2_000)
    for (const { conditions, puts, removes } of transactions) assert.ok(conditions.length + puts.length + removes.length <= MAX_ENTRIES)
    assert.is(transactions.reduce((sum, { puts }) => sum + puts.length, 0), 120)
    assert.is(scheduler.listJobsToStore().length, 0)
    loop.dispose()
  })

  it('removes the roster rows of VMs that are gone although no job changes, as a successor would wait for these VMs', async () => {
    const { scheduler, timers, transactions, loop } = createFixture()
    for (let index = 0; index < 5; index++) scheduler.forgottenVms.add(`gone-${index}`)
    loop.request()
    await timers.advance(0)
    await timers.advance(2_000)
    assert.is(transactions.reduce((sum, { removes }) => sum + removes.length, 0), 5)
    assert.is(scheduler.forgottenVms.size, 0)
    for (const { conditions, removes } of transactions) {
      const conditional = new Set(conditions.map(({ key }) => key))
      assert.ok(removes.every(({ key }) => conditional.has(key)), 'a late copy must not remove a row that was written again')
    }
    loop.dispose()
  })

  it('adds the VMs of a large fleet to the roster within a second, as none gets tasks before', async () => {
    const { scheduler, timers, transactions, loop } = createFixture()
    for (let index = 0; index < 540; index++) scheduler.applyRegistration(createVm(index), 0)
    loop.request()
    await timers.advance(0)
    await timers.advance(1_000)
    assert.is(transactions.reduce((sum, { puts }) => sum + puts.length, 0), 540)
    for (const { conditions, puts, removes } of transactions) assert.ok(conditions.length + puts.length + removes.length <= MAX_ENTRIES)
    loop.dispose()
  })

  // Guards against LOST: one row that the store refused for good kept the progress of all jobs from being stored.
  it('stores the rows of other jobs and VMs beside one that the store rejects', async () => {
    const rejected = new Set([createJob(3).id, 'vm-2'])
    const { scheduler, timers, transactions, loop } = createFixture((key) => rejected.has(key))
    for (let index = 0; index < 20; index++) {
      scheduler.addJob(createJob(index), 2, 0)
      scheduler.cancelJob(createJob(index).id, 0)
    }
    for (let index = 0; index < 5; index++) scheduler.applyRegistration(createVm(index), 0)
    loop.request()
    await timers.advance(0)
    await timers.advance(5_000)
    assert.is(new Set(transactions.flatMap(({ puts }) => puts.map(({ key }) => key))).size, 23)
    assert.is(scheduler.listJobsToStore().length, 0, 'nothing is repeated for ever')
    assert.equal([...scheduler.state.vms.values()].filter((vm) => !vm.recorded).map(({ id }) => id), ['vm-2'])
    const stored = transactions.length
    scheduler.addJob(createJob(30), 2, 0)
    scheduler.cancelJob(createJob(30).id, 0)
    loop.request()
    await timers.advance(0)
    await timers.advance(100)
    assert.is(transactions.length, stored + 1)
    loop.dispose()
  })

  // Guards against LOST: a job whose progress outgrew a row was shown as failed, although no task of it had failed as often as it may.
  it('stores a job whose progress exceeds a row in a smaller form, and goes on with it', async () => {
    const { scheduler, timers, transactions, loop } = createFixture()
    const job = addWideJob(scheduler, 20_000)
    loop.request()
    await timers.advance(0)
    await timers.advance(100)
    assert.equal([job.failed, job.storedState], [false, JobState.Queued])
    assert.is(transactions.flatMap(({ puts }) => puts).filter(({ key }) => key === job.id).length, 1)
    assert.ok(transactions.every(({ puts }) => puts.every(({ value }) => value.length <= 65_536)))
    const successor = createFixture().scheduler
    successor.addJob(job.accepted, 2, 0, decodeProgressRow(transactions.at(-1)?.puts[0]?.value ?? Uint8Array.of()))
    const tasks = successor.state.jobs.get(job.id)?.occurrences.get(0)?.steps[0]?.tasks ?? []
    assert.ok(tasks.every(({ failureCount }) => failureCount === 1))
    loop.dispose()
  })

  // Guards against LOST: the same if the store allows less than it says.
  it('stores a job in a smaller form if the store rejects its row', async () => {
    const { scheduler, timers, transactions, loop } = createFixture((_key, { length }) => length > 1_000)
    const job = addWideJob(scheduler, 2_000)
    scheduler.addJob(createJob(2), 2, 0)
    scheduler.cancelJob(createJob(2).id, 0)
    loop.request()
    await timers.advance(0)
    await timers.advance(5_000)
    assert.is(job.failed, false)
    assert.equal(new Set(transactions.flatMap(({ puts }) => puts.map(({ key }) => key))), new Set([job.id, createJob(2).id]))
    assert.is(scheduler.listJobsToStore().length, 0)
    loop.dispose()
  })

  // Guards against LOST: the row of a silent VM with thousands of runs was rejected, and the VM got no tasks any more.
  it('records the end of the lease of a silent VM whose runs do not fit into a row', async () => {
    const { scheduler, timers, transactions, loop } = createFixture((_key, { length }) => length > 65_536)
    const entry = { ...createVm(0), capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 } }
    scheduler.applyRegistration(entry, 0)
    const vm = scheduler.state.vms.get(entry.id)
    if (vm === undefined) throw new Error('no VM')
    const report = (): void => {
      const running = [...vm.runs.values()].map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
      scheduler.applyReport(vm, { clockMs: timers.now(), bornMs: 1, running, ends: [] }, timers.now(), timers.now())
    }
    report()
    vm.recorded = true
    const [step] = createJob(1).spec.steps
    scheduler.addJob({ ...createJob(1), spec: { ...createJob(1).spec, steps: [{ ...step ?? {}, taskCount: 4_000 } as StepSpec] } }, 2, 0)
    scheduler.plan({ nowMs: 0, storeNowMs: 0, wallClockMs: 0 }, () => undefined)
    report()
    assert.is(vm.runs.size, 4_000)
    scheduler.markUnresponsive(vm, timers.now())
    await timers.advance(1_500)
    loop.requestDueRecords()
    await timers.advance(0)
    await timers.advance(1_000)
    assert.is(vm.recordRejected, false)
    const rows = transactions.flatMap(({ puts }) => puts).filter(({ key }) => key === entry.id)
    const record = decodeRosterRow(rows.at(-1)?.value ?? Uint8Array.of())
    assert.ok(record?.leaseEndMs !== undefined && record.runs === undefined)
    loop.dispose()
  })

  // Guards against TWICE: ends of a VM that had started again were acknowledged, and so dropped there, before they were stored.
  it('does not acknowledge ends of a new incarnation because as many of the former one are stored', async () => {
    const { scheduler, timers, transactions, loop } = createFixture(() => false, 100)
    scheduler.applyRegistration(createVm(0), 0)
    const vm = scheduler.state.vms.get('vm-0')
    if (vm === undefined) throw new Error('no VM')
    const report = (bornMs: number, endCount: number): void => {
      const ends = Array.from({ length: endCount }, (_, index) => ({ number: index + 1, task: `${createJob(index).id}.0.0.0`, run: 1, end: RunEnd.Done, checkpoint: '' }))
      scheduler.applyReport(vm, { clockMs: timers.now(), bornMs, running: [], ends }, timers.now(), timers.now())
    }
    for (let index = 0; index < 8; index++) scheduler.addJob(createJob(index), 2, 0)
    report(1, 6)
    loop.request()
    await timers.advance(50)
    assert.is(transactions.length, 1, 'the first commit is under way')
    report(2, 8)
    await timers.advance(60)
    assert.is(vm.acknowledgedEnd, 0)
    loop.request()
    await timers.advance(500)
    assert.is(vm.acknowledgedEnd, 8)
    loop.dispose()
  })
})
