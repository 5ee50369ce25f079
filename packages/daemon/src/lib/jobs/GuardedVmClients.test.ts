/**
 * Checks that a client of a VM that throws is a VM that does not answer, as an error in the call to one VM ended the calls to others.
 */
import { assert, describe } from '@vanillathread/testing'
import { MemoryEventLog } from '@vanillathread/kernel'
import { EventCode, OrderRefusal, type VmEntry } from '@vanillathread/model'
import { VmAnswerKind, type VmClient } from '@vanillathread/ports'
import { GuardedVmClients } from './GuardedVmClients.js'

const ENTRY: VmEntry = { id: 'vm', pool: 'p', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, labels: [], draining: false, bornMs: 1 }
const RUN = { task: 'a.0.0', run: 1, fencingToken: 1 }
const RENEWAL = { fencingToken: 1, acknowledgedEnd: 0, waitMs: 0 }
const NOT_SENT = { kind: VmAnswerKind.Refused, refusal: OrderRefusal.NotSent }
const UNKNOWN = { kind: VmAnswerKind.Unknown, reason: 'Error: broken' }

function throwError (): never {
  throw new Error('broken')
}

/** Opens a guarded client on what `open` returns, and returns it with its log. */
function openGuarded (open: () => VmClient): { client: VmClient, listLogged: () => unknown[] } {
  const log = MemoryEventLog.create()
  const client = GuardedVmClients.create({ vms: { open }, log }).open(ENTRY)
  return { client, listLogged: () => log.records.map(({ code, fields }) => [code, fields['vm'], fields['call'], fields['reason']]) }
}

function callAll (client: VmClient): Promise<unknown[]> {
  return Promise.all([client.start({ ...RUN, payload: '', leaseUntilMs: 1, checkpoint: '' }), client.stop(RUN), client.pace({ ...RUN, percent: 1 }), client.renew(RENEWAL)])
}

describe('GuardedVmClients', ({ it }) => {
  it('refuse the calls to a VM whose client cannot be opened, and log it once without opening it again', async () => {
    let opened = 0
    const { client, listLogged } = openGuarded(() => {
      opened += 1
      return throwError()
    })
    for (let round = 0; round < 3; round++) assert.equal(await callAll(client), [NOT_SENT, NOT_SENT, NOT_SENT, NOT_SENT])
    client.dispose()
    assert.is(opened, 1)
    assert.equal(listLogged(), [[EventCode.VmCallFailed, 'vm', 'open', 'Error: broken']])
  })

  it('answer a call that throws or rejects with an unknown outcome, and log the same failure of repeated calls once', async () => {
    for (const fail of [throwError, async () => throwError()]) {
      const { client, listLogged } = openGuarded(() => ({ start: fail, stop: fail, pace: fail, renew: fail, dispose: throwError }))
      for (let round = 0; round < 3; round++) assert.equal(await client.renew(RENEWAL), UNKNOWN)
      assert.equal(await callAll(client), [UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN])
      assert.equal(listLogged(), [[EventCode.VmCallFailed, 'vm', 'renew', 'Error: broken']])
      client.dispose()
      assert.equal(listLogged().at(-1), [EventCode.VmCallFailed, 'vm', 'dispose', 'Error: broken'])
    }
  })

  it('log a failure again after a call that was answered', async () => {
    let fails = true
    const { client, listLogged } = openGuarded(() => ({
      start: throwError, stop: throwError, pace: throwError, dispose: () => {}, renew: async () => fails ? throwError() : NOT_SENT as never,
    }))
    await client.renew(RENEWAL)
    fails = false
    assert.equal(await client.renew(RENEWAL), NOT_SENT)
    fails = true
    await client.renew(RENEWAL)
    assert.is(listLogged().length, 2)
  })
})
