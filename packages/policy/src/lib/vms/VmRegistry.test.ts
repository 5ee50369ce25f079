/**
 * What the owner keeps of VMs that are gone.
 */
import { assert, describe } from '@vanillathread/testing'
import type { JobScheduler } from '../jobs/JobScheduler.js'
import { OrderKind } from '../jobs/orders.js'
import { createScheduler, createTestJob, createTestStep, createVmEntry, planAndAccept, reportRunning } from '../jobs/testSupport.js'
import { SchedulerState } from '../jobs/SchedulerState.js'
import { TeamScheduling } from '../teams/TeamScheduling.js'
import type { TrackedVm } from './TrackedVm.js'
import { VmRegistry } from './VmRegistry.js'

function createRegistry (): VmRegistry {
  const teams = TeamScheduling.create({ previousOwnerUntilMs: 0, endedJobRunMs: 0, startedAtMs: 0, logDecision: () => {} })
  return VmRegistry.create({ state: SchedulerState.create(() => {}, 900, teams), leaseMs: 5_000, previousOwnerRenewalMs: 0, startedAtMs: 0, onForget: () => {} })
}

describe('VmRegistry', ({ describe, it }) => {
  it('ignores the registration of a retired VM for as long as it remains, and keeps nothing of it then', () => {
    const registry = createRegistry()
    for (let index = 0; index < 1_000; index++) {
      const entry = createVmEntry(`vm-${index}`)
      registry.apply(entry, 0)
      registry.retire(entry.id, 'its machine was moved')
      registry.apply({ ...entry, draining: true }, 0)
      assert.is(registry.isTracked(entry.id), false)
      registry.unregister(entry.id, index)
    }
    assert.is(registry.retiredCount, 0)
  })

  it('tracks a VM that starts again under the id of a retired one', () => {
    const registry = createRegistry()
    const entry = createVmEntry('vm')
    registry.apply(entry, 0)
    registry.retire('vm', 'its machine was moved')
    registry.apply({ ...entry, bornMs: entry.bornMs + 1 }, 0)
    assert.is(registry.isTracked('vm'), true)
  })

  it('does not track the record of a VM once another VM on its machine answers, whichever is read first and whatever their start times', () => {
    for (const ids of [['ended', 'alive'], ['alive', 'ended']]) {
      for (const bornMs of [{ ended: 1, alive: 2 }, { ended: 2, alive: 1 }]) {
        const scheduler = createScheduler({ generation: 1 })
        for (const id of ids) scheduler.restoreVm({ entry: createVmEntry(id, { machine: 'm', bornMs: id === 'ended' ? bornMs.ended : bornMs.alive }) }, CLOCKS)
        markSilent(scheduler, 'ended', 5)
        answer(scheduler, 'alive', 10)
        assert.equal([...scheduler.state.vms.keys()], ['alive'])
        assert.ok(scheduler.forgottenVms.has('ended'), 'its record is to be removed')
      }
    }
  })

  describe('registrations that name the machine of a VM', ({ it }) => {
    const start = (): JobScheduler => {
      const scheduler = createScheduler()
      reportRunning(scheduler, createVmEntry('a', { machine: 'm', bornMs: 10 }), 0)
      scheduler.addJob(createTestJob({ steps: [createTestStep({ taskCount: 1, longRunning: true })] }), 1, 0)
      planAndAccept(scheduler, 10)
      answer(scheduler, 'a', 20)
      reportRunning(scheduler, createVmEntry('b'), 25)
      return scheduler
    }
    const countStarts = (scheduler: JobScheduler, nowMs: number): number => planAndAccept(scheduler, nowMs).filter(({ kind }) => kind === OrderKind.Start).length

    // Guards against TWICE: another program's entry with the machine of a VM made the owner start the VM's running tasks elsewhere.
    it('end nothing on a VM that answers, whatever their start time and pool', () => {
      for (const pool of ['pool', 'print-spool']) {
        for (const bornMs of [5, 30]) {
          const scheduler = start()
          scheduler.applyRegistration(createVmEntry('other', { machine: 'm', pool, bornMs }), 30)
          assert.is(countStarts(scheduler, 40), 0)
          answer(scheduler, 'a', 100)
          assert.is(countStarts(scheduler, 110), 0)
          assert.is(scheduler.state.vms.get('a')?.runs.size, 1)
        }
      }
    })

    it('end nothing on a VM that answered after them and is silent for a moment, while the other one has not answered', () => {
      const scheduler = start()
      scheduler.applyRegistration(createVmEntry('other', { machine: 'm', bornMs: 30 }), 30)
      answer(scheduler, 'a', 32)
      markSilent(scheduler, 'a', 35)
      markSilent(scheduler, 'other', 36)
      assert.is(countStarts(scheduler, 40), 0)
      answer(scheduler, 'a', 100)
      assert.is(scheduler.state.vms.get('a')?.runs.size, 1)
    })

    // Guards against a wait for the end of the lease, which a clock that was set back would cause.
    it('end a VM that is silent once the other one answers a call that was sent after its last answer', () => {
      for (const bornMs of [5, 30]) {
        const scheduler = start()
        // The task has run for so long that it is not suspected of the crash.
        answer(scheduler, 'a', 2_500)
        scheduler.applyRegistration(createVmEntry('next', { machine: 'm', bornMs }), 3_000)
        answer(scheduler, 'next', 3_010)
        assert.ok(scheduler.state.vms.has('a'), 'it was not found silent yet')
        markSilent(scheduler, 'a', 3_020)
        assert.is(scheduler.state.vms.has('a'), false)
        assert.is(countStarts(scheduler, 3_100), 1)
      }
    })

    it('are kept aside while their pool is not configured, and tracked from then on', () => {
      const scheduler = createScheduler()
      scheduler.setPools(new Set(['pool']), 0)
      scheduler.applyRegistration(createVmEntry('spool', { pool: 'print-spool' }), 0)
      scheduler.applyRegistration(createVmEntry('gone', { pool: 'print-spool' }), 0)
      scheduler.unregisterVm('gone', 1)
      assert.equal([...scheduler.state.vms.keys()], [])
      scheduler.setPools(new Set(['pool', 'print-spool']), 2)
      assert.equal([...scheduler.state.vms.keys()], ['spool'])
    })
  })
})

const CLOCKS = { nowMs: 0, storeNowMs: 0 }

function getVm (scheduler: JobScheduler, id: string): TrackedVm {
  const vm = scheduler.state.vms.get(id)
  if (vm === undefined) throw new Error(`${id} is not tracked`)
  return vm
}

function markSilent (scheduler: JobScheduler, id: string, nowMs: number): void {
  scheduler.markUnresponsive(getVm(scheduler, id), nowMs)
}

/** Has a VM answer a call with the runs that the owner knows. */
function answer (scheduler: JobScheduler, id: string, sentAtMs: number): void {
  reportRunning(scheduler, getVm(scheduler, id).entry, sentAtMs)
}
