/**
 * Checks that parts of any size come out as they went in, and that the buffer takes little more than what has been added.
 */
import { assert, describe } from '@vanillathread/testing'
import { GrowingBuffer } from './GrowingBuffer.js'

describe('GrowingBuffer', ({ it }) => {
  // Guards against bodies that are mixed up, also with segments of an earlier one.
  it('returns the parts in order, and starts anew afterwards', () => {
    const buffer = GrowingBuffer.create()
    const parts = [1, 5_000, 3, 100_000, 4_096, 64 * 1024, 0, 1].map((size, index) => Buffer.alloc(size, index + 1))
    for (let round = 0; round < 2; round++) {
      for (const part of parts) buffer.append(part, 300_000)
      const whole = Buffer.concat(parts)
      assert.is(buffer.length, whole.length)
      assert.ok(buffer.take().equals(whole))
      assert.equal([buffer.length, buffer.capacity, buffer.take().length], [0, 0, 0])
    }
  })

  // Guards against memory for what is only announced.
  it('takes at most twice what has been added and a first segment, however much is expected', () => {
    const buffer = GrowingBuffer.create()
    for (let index = 0; index < 200_000; index++) {
      buffer.append(Buffer.from([index % 256]), 4_000_000)
      if (buffer.capacity > 2 * buffer.length + 4 * 1024) assert.unreachable(`${buffer.capacity} bytes for ${buffer.length}`)
    }
    const exact = GrowingBuffer.create()
    exact.append(Buffer.alloc(300), 300)
    assert.is(exact.capacity, 300)
  })
})
