/**
 * Frames over TCP: a length of four bytes, then one CBOR item.
 */
import { Encoder } from 'cbor-x'
import { Result } from '@vanillathread/model'
import { GrowingBuffer } from '../server/GrowingBuffer.js'
import { peerOptions } from '../options.js'
import { peerMessageSchema, type PeerMessage } from './messages.js'

const LENGTH_BYTES = 4
const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** Encodes a message as a frame. */
export function encodeFrame (message: PeerMessage): Buffer {
  const body = codec.encode(message)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/** Reasons why a byte stream cannot be read any further. */
export enum FrameError {
  TooLong = 'frame too long',
  Invalid = 'frame does not match the protocol',
}

/** Splits a byte stream into messages. */
export class FrameReader {
  /** Bytes of a frame that is not whole. */
  private readonly unfinished = GrowingBuffer.create()
  /** Bytes of that frame, or of its length prefix. */
  private neededBytes = LENGTH_BYTES

  private constructor () {}

  static create (): FrameReader {
    return new FrameReader()
  }

  /** Memory that the frame takes that is not whole. */
  get heldBytes (): number {
    return this.unfinished.capacity
  }

  /** Drops an unfinished frame. */
  clear (): void {
    this.unfinished.clear()
  }

  /** Adds received bytes. Returns the messages that they complete. */
  push (bytes: Buffer): Result<PeerMessage[], FrameError> {
    if (this.unfinished.length === 0) return this.read(bytes)
    // A frame that is not whole yet only grows, so that a long one is not copied with each part.
    if (this.unfinished.length + bytes.length < this.neededBytes) {
      this.unfinished.append(bytes, this.neededBytes)
      return Result.ok([])
    }
    this.unfinished.append(bytes, this.neededBytes)
    return this.read(this.unfinished.take())
  }

  private read (bytes: Buffer): Result<PeerMessage[], FrameError> {
    const messages: PeerMessage[] = []
    let start = 0
    this.neededBytes = LENGTH_BYTES
    while (bytes.length - start >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(start)
      if (length > peerOptions.maxFrameBytes) return Result.err(FrameError.TooLong)
      this.neededBytes = LENGTH_BYTES + length
      if (bytes.length - start < this.neededBytes) break
      const message = decodeMessage(bytes.subarray(start + LENGTH_BYTES, start + this.neededBytes))
      if (message === undefined) return Result.err(FrameError.Invalid)
      messages.push(message)
      start += this.neededBytes
      this.neededBytes = LENGTH_BYTES
    }
    if (start < bytes.length) this.unfinished.append(bytes.subarray(start), this.neededBytes)
    return Result.ok(messages)
  }
}

function decodeMessage (bytes: Buffer): PeerMessage | undefined {
  try {
    const res = peerMessageSchema.safeParse(codec.decode(bytes))
    return res.success ? res.data : undefined
  } catch {
    return undefined
  }
}
