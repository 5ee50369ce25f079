/**
 * Which ends of leases are recorded for a successor, and when they are withdrawn.
 */
import { assert, describe } from '@vanillathread/testing'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { planRosterWrite } from './rosterRecords.js'
import { TrackedVm } from './TrackedVm.js'

const LEASE_EXPIRY_MS = 15_000

function createRecordedVm (): TrackedVm {
  const scheduler = createScheduler()
  reportRunning(scheduler, createVmEntry('a'), 0)
  scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 2, 0)
  planAndAccept(scheduler, 0)
  const vm = scheduler.state.vms.get('a')
  if (vm === undefined) throw new Error('VM is not tracked')
  return vm
}

/** Plans at `nowMs` with an answer of the store, whose clock is 1 h ahead, to a request that was sent `sentAgoMs` before. */
function plan (vm: TrackedVm, nowMs: number, sentAgoMs = 20) {
  return planRosterWrite(vm, LEASE_EXPIRY_MS, { nowMs, storeReading: { clockMs: nowMs - sentAgoMs + 3_600_000, sentAgoMs } })
}

describe('planRosterWrite', ({ it }) => {
  it('records a VM that the store does not list', () => {
    const vm = TrackedVm.create(createVmEntry('a'))
    assert.equal(plan(vm, 10_000)?.record, { entry: vm.entry })
  })

  it('records the end of the lease of an unresponsive VM on the store\'s clock, not before it has certainly expired', () => {
    const vm = createRecordedVm()
    vm.unresponsiveSinceMs = 10_000
    assert.is(plan(vm, 12_000)?.record.leaseEndMs, LEASE_EXPIRY_MS + 3_600_000)
    // The answer may have been given as soon as the request was sent, so a slow one gives a later end.
    const slowReading = { clockMs: 12_000 + 3_600_000, sentAgoMs: 900 }
    assert.is(planRosterWrite(vm, LEASE_EXPIRY_MS, { nowMs: 12_000, storeReading: slowReading })?.record.leaseEndMs, LEASE_EXPIRY_MS + 3_600_000 + 900)
  })

  it('records nothing for a registered VM that has missed answers for a moment only', () => {
    const vm = createRecordedVm()
    vm.unresponsiveSinceMs = 10_000
    assert.is(plan(vm, 10_500), undefined)
    vm.unregisteredAtMs = 10_400
    assert.ok(plan(vm, 10_500)?.record.leaseEndMs !== undefined)
  })

  it('records the runs that an unresponsive VM may have, and at once that it has none', () => {
    const vm = createRecordedVm()
    vm.unresponsiveSinceMs = 10_000
    assert.equal(plan(vm, 12_000)?.record.runs, [['00000000000000aa.0.0.0', 1]])
    for (const run of [...vm.runs.values()]) vm.removeRun(run)
    const { leaseEndMs, runs } = plan(vm, 10_100)?.record ?? {}
    assert.equal({ leaseEndMs, runs }, { leaseEndMs: 0, runs: [] })
  })

  it('does not use a reading of the store\'s clock from before the last lease, as the owner may have been suspended since', () => {
    const vm = createRecordedVm()
    vm.unresponsiveSinceMs = 10_000
    assert.is(plan(vm, 12_000, 2_100), undefined)
    assert.is(planRosterWrite(vm, LEASE_EXPIRY_MS, { nowMs: 12_000, storeReading: undefined }), undefined)
  })

  it('writes a recorded end once, and again if the outcome of the write is unknown', () => {
    const vm = createRecordedVm()
    vm.unresponsiveSinceMs = 10_000
    vm.recordedLeaseEndMs = plan(vm, 12_000)?.record.leaseEndMs
    assert.is(plan(vm, 13_000), undefined)
    vm.recordUnconfirmed = true
    assert.is(plan(vm, 13_000)?.record.leaseEndMs, vm.recordedLeaseEndMs)
  })

  it('withdraws a recorded end once the VM answers, and until then the VM gets neither leases nor tasks', () => {
    const vm = createRecordedVm()
    vm.recordedLeaseEndMs = 1
    assert.not.ok(vm.mayBeLeased)
    assert.not.ok(vm.isUsable(20_000))
    assert.equal(plan(vm, 20_000)?.record, { entry: vm.entry })
    vm.recordedLeaseEndMs = undefined
    assert.ok(vm.mayBeLeased)
    assert.ok(vm.isUsable(20_000))
  })

  it('keeps a recorded end that a previous owner left until the VM answers this owner', () => {
    const vm = createRecordedVm()
    vm.isReconciled = false
    vm.recordedLeaseEndMs = 1
    assert.is(plan(vm, 20_000), undefined)
  })
})
