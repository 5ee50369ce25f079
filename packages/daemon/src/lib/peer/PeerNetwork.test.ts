/**
 * Checks that an address for which no socket can be opened loses a message, as the error ended the process.
 */
import { assert, describe } from '@vanillathread/testing'
import { FakeTimerService, MemoryEventLog, NullMetrics } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { DEFAULT_VM_RESOURCES } from '@vanillathread/policy'
import { PeerMessageKind, type PeerMessage } from './messages.js'
import { PeerNetwork } from './PeerNetwork.js'

const HELLO: PeerMessage = { kind: PeerMessageKind.Hello, name: 'd-1', address: { host: 'h', port: 1 }, speed: 1 }

describe('PeerNetwork', ({ it }) => {
  it('logs and loses a message to a port that is out of range, and does not take the connection as refused', async () => {
    const log = MemoryEventLog.create()
    const network = PeerNetwork.create({ listen: { host: '127.0.0.1', port: 0 }, timers: FakeTimerService.create(), log, metrics: NullMetrics.create(), resources: DEFAULT_VM_RESOURCES })
    const address = { host: '127.0.0.1', port: 99_999 }
    await network.listen()
    network.send(address, HELLO)
    network.sendExpectingReply(address, HELLO)
    assert.is(await network.isConnectionRefused(address, 100), false)
    await network.dispose()
    assert.equal(log.records.map(({ code, fields }) => [code, fields['port']]), [[EventCode.HandlerFailed, 99_999], [EventCode.HandlerFailed, 99_999], [EventCode.HandlerFailed, 99_999]])
  })
})
