/**
 * Calls to VMs as other daemons get them.
 */
import { assert, describe } from '@vanillathread/testing'
import type { VmEntry } from '@vanillathread/model'
import { decodeVmCalls, encodeVmCalls, VmCallKind, type NumberedVmCall } from './vmCallCodec.js'

const VM: VmEntry = { id: 'vm', pool: 'p', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, labels: ['k', 'r'], draining: false, bornMs: 1_700_000_000_000 }

const RUN = { task: '00000000000000aa.0.0.0', run: 1, fencingToken: 7, bornMs: 1_700_000_000_000 }

describe('vmCallCodec', ({ it }) => {
  // Guards against TWICE: a relay that did not know the incarnation would let any one carry the call out.
  it('keeps the incarnation that a call is meant for, beside all other arguments', () => {
    const calls: NumberedVmCall[] = [
      { seq: 1, vm: VM, kind: VmCallKind.Start, call: { ...RUN, payload: 'text', leaseUntilMs: 9, checkpoint: '' } },
      { seq: 2, vm: VM, kind: VmCallKind.Stop, call: RUN },
      { seq: 3, vm: VM, kind: VmCallKind.Pace, call: { ...RUN, percent: 50 } },
      { seq: 4, vm: VM, kind: VmCallKind.Renew, call: { fencingToken: 7, bornMs: RUN.bornMs, acknowledgedEnd: 6, leaseUntilMs: 9, waitMs: 1_500 } },
    ]
    assert.equal(decodeVmCalls(encodeVmCalls(calls)), calls)
  })
})
