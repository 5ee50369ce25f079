/**
 * Checks that an unexpected error while the machines are listed does not end the reading of lists.
 */
import { assert, describe } from '@vanillathread/testing'
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { EventCode, Result } from '@vanillathread/model'
import { JobScheduler } from '@vanillathread/policy'
import { MachineRefusal, MachineState, type Machine, type MachineAnswer } from '@vanillathread/ports'
import { MachineDirectory } from './MachineDirectory.js'

const MACHINE: Machine = { id: 'm-1', pool: 'p', state: MachineState.Up, zone: 'z', labels: [], capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 } }

describe('MachineDirectory', ({ it }) => {
  it('logs an unexpected error of a list, and reads the next one', async () => {
    const log = MemoryEventLog.create()
    const refuse = async (): Promise<MachineAnswer> => ({ kind: 'refused', refusal: MachineRefusal.Unavailable })
    let lists = 0
    const directory = MachineDirectory.create({
      timers: FakeTimerService.create(),
      log,
      scheduler: JobScheduler.create({ generation: 0, fencingToken: 1, leaseMs: 1, stopMs: 1, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {} }),
      machines: {
        list: async () => {
          lists += 1
          if (lists === 1) throw new RangeError('Maximum call stack size exceeded')
          return Result.ok([MACHINE])
        },
        move: refuse,
        maintain: refuse,
      },
      onList: () => {},
    })
    await directory.refresh(0)
    await directory.refresh(0)
    assert.equal(directory.machines, [MACHINE])
    assert.equal(log.records.map(({ code, fields }) => [code, fields['reason']]), [[EventCode.StoreCallFailed, 'RangeError: Maximum call stack size exceeded']])
  })
})
