/**
 * Checks that messages are read in whatever pieces they arrive, and that an unfinished one holds no more than has arrived.
 */
import { assert, describe } from '@vanillathread/testing'
import { encodeFrame, FrameError, FrameReader } from './FrameCodec.js'
import { PeerMessageKind, type PeerMessage } from './messages.js'

const messages: readonly PeerMessage[] = [1, 300, 100_000].map((size) => ({ kind: PeerMessageKind.Hello, name: 'x'.repeat(size), address: { host: 'h', port: 1 }, speed: 1 }))

describe('FrameReader', ({ it }) => {
  // Guards against messages that are lost or doubled where a read ends.
  it('returns the messages in order, in whatever pieces their bytes arrive', () => {
    const bytes = Buffer.concat([...messages, ...messages].map(encodeFrame))
    for (const size of [1, 3, 4, 5, 1_000, 64 * 1024, bytes.length]) {
      const reader = FrameReader.create()
      const read: PeerMessage[] = []
      for (let start = 0; start < bytes.length; start += size) {
        const res = reader.push(bytes.subarray(start, start + size))
        assert.ok(res.ok)
        if (res.ok) read.push(...res.value)
      }
      assert.equal(read, [...messages, ...messages])
      assert.is(reader.heldBytes, 0)
    }
  })

  // Guards against memory for what a length prefix announces.
  it('holds about as much as has arrived of a message, and rejects one that is too long at its first bytes', () => {
    const reader = FrameReader.create()
    const prefix = Buffer.alloc(4)
    prefix.writeUInt32BE(8 * 1024 * 1024)
    reader.push(prefix)
    for (let index = 0; index < 100; index++) reader.push(Buffer.alloc(1_000))
    assert.ok(reader.heldBytes >= 100_000 && reader.heldBytes <= 250_000, `${reader.heldBytes} bytes`)
    prefix.writeUInt32BE(8 * 1024 * 1024 + 1)
    const res = FrameReader.create().push(prefix)
    assert.is(!res.ok && res.error, FrameError.TooLong)
  })
})
