/**
 * Decisions of an owner that may have been superseded without knowing.
 */
import { assert, describe } from '@vanillathread/testing'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind, type Order } from '../jobs/orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { OwnershipProof, type Moment } from './OwnershipProof.js'

function at (nowMs: number): Moment {
  return { nowMs, wallClockMs: nowMs }
}

function plan (scheduler: JobScheduler, nowMs: number): Order[] {
  return scheduler.plan({ nowMs, storeNowMs: nowMs, wallClockMs: nowMs }, () => undefined)
}

/** Creates a scheduler with one task on the VM `a`, beside an idle VM `b`. */
function createRunning (): { scheduler: JobScheduler, proof: OwnershipProof } {
  const proof = OwnershipProof.create({ provenAt: at(0), validMs: 2_000, refreshMs: 1_000, peersForMs: 30_000 })
  const scheduler = createScheduler({ proof })
  reportRunning(scheduler, createVmEntry('a'), 10)
  scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1 })] }), 2, 10)
  planAndAccept(scheduler, 20)
  reportRunning(scheduler, createVmEntry('a'), 30)
  reportRunning(scheduler, createVmEntry('b'), 30)
  return { scheduler, proof }
}

describe('owner without proof of its ownership', ({ it }) => {
  it('does not take a lease for expired that a successor may have extended', () => {
    const { scheduler, proof } = createRunning()
    const vm = scheduler.state.vms.get('a')
    if (vm === undefined) throw new Error('no VM')
    scheduler.markUnresponsive(vm, 100)
    proof.record(at(5_000))
    assert.equal(plan(scheduler, 6_000), [])
    assert.is(scheduler.ownership.isProofWanted, true)
    assert.is(vm.runs.size, 1)
    proof.record(at(5_900))
    assert.equal(plan(scheduler, 6_100).map(({ kind, run }) => [kind, run.vmId]), [[OrderKind.Start, 'b']])
    assert.is(scheduler.ownership.isProofWanted, false)
  })

  it('starts no task, as a successor that does not reach the VM starts it elsewhere', () => {
    const { scheduler, proof } = createRunning()
    scheduler.addJob(createTestJob({ id: '00000000000000bb', steps: [createTestStep({ taskCount: 1 })] }), 3, 2_050)
    assert.equal(plan(scheduler, 2_100), [])
    proof.record(at(2_150))
    assert.is(plan(scheduler, 2_200).length, 1)
  })
})
