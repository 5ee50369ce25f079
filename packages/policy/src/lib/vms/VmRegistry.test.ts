/**
 * What the owner keeps of VMs that are gone.
 */
import { assert, describe } from '@vanillathread/testing'
import { createVmEntry } from '../jobs/testSupport.js'
import { SchedulerState } from '../jobs/SchedulerState.js'
import { TeamScheduling } from '../teams/TeamScheduling.js'
import { VmRegistry } from './VmRegistry.js'

function createRegistry (): VmRegistry {
  const teams = TeamScheduling.create({ previousOwnerUntilMs: 0, endedJobRunMs: 0, startedAtMs: 0, logDecision: () => {} })
  return VmRegistry.create({ state: SchedulerState.create(() => {}, 900, teams), leaseMs: 5_000, previousOwnerRenewalMs: 0, startedAtMs: 0, onForget: () => {} })
}

describe('VmRegistry', ({ it }) => {
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

  it('does not track the record of a VM whose machine runs a newer VM, whichever is read first', () => {
    const registry = createRegistry()
    const older = createVmEntry('older', { machine: 'm', bornMs: 1 })
    const newer = createVmEntry('newer', { machine: 'm', bornMs: 2 })
    for (const entry of [newer, older]) registry.restore({ entry }, 0, 0)
    assert.equal([registry.isTracked('older'), registry.isTracked('newer')], [false, true])
    assert.ok(registry.forgotten.has('older'), 'its record is to be removed')
  })
})
