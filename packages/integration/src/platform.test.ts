/**
 * Tests the HTTP adapter, with a platform server, and the in-memory adapter against the same expectations.
 */
import { assert, describe } from '@vanillathread/testing'
import { getDigest } from '@vanillathread/model'
import { FleetVmState, HttpPlatform, MemoryPlatform, PlatformErrorKind, VmPowerState, type Platform } from '@vanillathread/ports'
import { PlatformFault, PlatformFaults, PlatformServer } from '@vanillathread/stand-ins'

interface Adapter {
  readonly platform: Platform
  readonly memory: MemoryPlatform
  readonly faults: PlatformFaults
}

async function withHttp (body: (adapter: Adapter) => Promise<void>, timeoutMs = 2_000): Promise<void> {
  const memory = MemoryPlatform.create()
  const faults = PlatformFaults.create()
  const server = await PlatformServer.create({ platform: memory, faults })
  const platform = HttpPlatform.create({ url: server.url, timeoutMs })
  try {
    await body({ platform, memory, faults })
  } finally {
    await platform.dispose()
    await server.dispose()
  }
}

async function withMemory (body: (adapter: Adapter) => Promise<void>): Promise<void> {
  const memory = MemoryPlatform.create()
  await body({ platform: memory, memory, faults: PlatformFaults.create() })
}

describe('platform adapters', ({ describe }) => {
  for (const [name, withAdapter] of [['memory', withMemory], ['http', withHttp]] as const) {
    describe(name, ({ it }) => {
      it('executes a transaction only if every condition holds', () => withAdapter(async ({ platform: { table } }) => {
        assert.equal(await table.transact({ conditions: [{ key: 'a', revision: 0 }], writes: [{ key: 'a', value: { n: 1 } }] }), { ok: true, value: 1 })
        const conflict = await table.transact({ conditions: [{ key: 'a', revision: 0 }, { key: 'b', revision: 0 }], writes: [{ key: 'b', value: 1 }] })
        assert.equal(conflict, { ok: false, error: { kind: PlatformErrorKind.Conflict, keys: ['a'] } })
        assert.equal(await table.read('b'), { ok: true, value: undefined })
        assert.equal(await table.read('a'), { ok: true, value: { key: 'a', value: { n: 1 }, revision: 1 } })
      }))

      it('returns the changes since a revision, including deletions', () => withAdapter(async ({ platform: { table } }) => {
        await table.transact({ conditions: [], writes: [{ key: 'x/a', value: 1 }, { key: 'y/a', value: 1 }] })
        await table.transact({ conditions: [], writes: [{ key: 'x/b', value: 2 }] })
        await table.transact({ conditions: [], writes: [{ key: 'x/a' }] })
        const res = await table.readChanges('x/', 1)
        assert.equal(res.ok ? res.value.changes.map(({ key, value }) => [key, value]) : [], [['x/b', 2], ['x/a', undefined]])
      }))

      it('stores objects by digest, and reboots a VM once for an operation', () => withAdapter(async ({ platform, memory }) => {
        const bytes = new Uint8Array([1, 2, 3])
        await platform.objects.put(getDigest(bytes), bytes)
        const res = await platform.objects.get(getDigest(bytes))
        assert.equal(res.ok && res.value !== undefined ? [...res.value] : [], [1, 2, 3])
        assert.equal(await platform.objects.get('absent'), { ok: true, value: undefined })
        memory.fleet.setVm('vm-1', FleetVmState.Live)
        await platform.vms.reboot('vm-1', 'op-1')
        memory.fleet.setPower('vm-1', VmPowerState.Running)
        await platform.vms.reboot('vm-1', 'op-1')
        assert.equal(await platform.vms.readState('vm-1'), { ok: true, value: { vmId: 'vm-1', power: VmPowerState.Running, lastOperationId: 'op-1' } })
      }))
    })
  }

  describe('faults over http', ({ it }) => {
    it('are reported as unavailable if the call was not executed, and as outcome unknown if its answer was lost', () => withHttp(async ({ platform: { table }, memory, faults }) => {
      const transaction = { conditions: [], writes: [{ key: 'a', value: 1 }] }
      faults.fault = PlatformFault.Down
      const down = await table.transact(transaction)
      assert.is(down.ok ? '' : down.error.kind, PlatformErrorKind.Unavailable)
      assert.is(memory.table.counters.writes, 0)
      faults.fault = PlatformFault.AnswerLost
      const lost = await table.transact(transaction)
      assert.is(lost.ok ? '' : lost.error.kind, PlatformErrorKind.OutcomeUnknown)
      assert.is(memory.table.counters.writes, 1)
    }))

    it('are reported as outcome unknown if a slow call exceeds the timeout', () => withHttp(async ({ platform: { table }, faults }) => {
      faults.fault = PlatformFault.Slow
      faults.slowMs = 400
      const slow = await table.transact({ conditions: [], writes: [{ key: 'a', value: 1 }] })
      assert.is(slow.ok ? '' : slow.error.kind, PlatformErrorKind.OutcomeUnknown)
    }, 100))

    it('can return a stale fleet list', () => withHttp(async ({ platform: { fleet }, memory, faults }) => {
      memory.fleet.setVm('vm-1', FleetVmState.Live)
      await fleet.list()
      faults.staleList = true
      memory.fleet.setVm('vm-1', FleetVmState.Leaving)
      const res = await fleet.list()
      assert.is(res.ok ? res.value.vms[0]?.state : '', FleetVmState.Live)
    }))
  })
})
