/**
 * Calls of an owner whose process or VM stood still between a decision and the call.
 */
import { assert, describe } from '@vanillathread/testing'
import { FakeTimerService, MemoryEventLog } from '@vanillathread/kernel'
import { STEP_DEFAULTS, type AcceptedJob, type VmEntry } from '@vanillathread/model'
import { JobScheduler, OwnershipProof } from '@vanillathread/policy'
import { VmAnswerKind, type StartCall, type VmClient } from '@vanillathread/ports'
import { VmSession } from './VmSession.js'

const VALID_MS = 2_000

const JOB: AcceptedJob = {
  id: '00000000000000aa',
  queue: 'q',
  pool: 'p',
  spec: { payload: '', steps: [{ ...STEP_DEFAULTS, taskCount: 1, need: { cpuMillis: 1, memoryMb: 1, accelerators: 0 }, estimateMs: 1_000 }], repeatCount: 0, firstRunMs: 0, intervalMs: 0 },
  priority: 0,
  maxAttempts: 1,
  deadlineFactor: 1,
  targetLatencyMs: 1,
  acceptedAtMs: 0,
  configurationVersion: 1,
}

const ENTRY: VmEntry = { id: 'vm', pool: 'p', address: { host: 'h', port: 1 }, zone: 'z', capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 }, labels: [], draining: false, bornMs: 1 }

describe('start order of an owner', ({ it }) => {
  it('is not sent once the proof of the ownership has run out since the plan, as after a freeze', async () => {
    const timers = FakeTimerService.create({ wallClockStartMs: 0 })
    await timers.advance(10)
    const proof = OwnershipProof.create({ provenAt: { nowMs: 10, wallClockMs: 10 }, validMs: VALID_MS, refreshMs: 1_000, peersForMs: 30_000 })
    const scheduler = JobScheduler.create({ generation: 0, fencingToken: 1, leaseMs: 5_000, stopMs: 900, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {}, proof })
    scheduler.applyRegistration(ENTRY, timers.now())
    const vm = scheduler.state.vms.get('vm')
    if (vm === undefined) throw new Error('no VM')
    scheduler.applyReport(vm, { clockMs: 100, bornMs: 1, running: [], ends: [] }, timers.now(), timers.now())
    vm.recorded = true
    scheduler.addJob(JOB, 2, timers.now())
    const orders = scheduler.plan({ nowMs: timers.now(), storeNowMs: timers.now(), wallClockMs: timers.wallClock() }, () => undefined)
    assert.is(orders.length, 1)
    await timers.advance(10_000)
    const starts: StartCall[] = []
    const client = {
      start: async (call: StartCall) => {
        starts.push(call)
        return { kind: VmAnswerKind.Unknown, reason: 'none' }
      },
      dispose: () => {},
    } as unknown as VmClient
    const session = VmSession.create({
      vm, client, scheduler, timers, log: MemoryEventLog.create(), fencingToken: 1, leaseMs: 5_000, onChange: () => {}, onFenced: () => {}, onReplaced: () => {}, onTicketRefused: () => {}, onResponsive: () => {},
    })
    for (const order of orders) await session.execute(order)
    session.dispose()
    assert.equal(starts.map(({ leaseUntilMs }) => leaseUntilMs), [])
  })
})
