/**
 * Frames over TCP: a length of four bytes, then one CBOR item.
 */
import { Encoder } from 'cbor-x'
import { Result } from '@vanillathread/model'
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
  private buffered: Buffer = Buffer.alloc(0)

  private constructor () {}

  static create (): FrameReader {
    return new FrameReader()
  }

  /** Adds received bytes. Returns the messages that they complete. */
  push (bytes: Buffer): Result<PeerMessage[], FrameError> {
    this.buffered = this.buffered.length === 0 ? bytes : Buffer.concat([this.buffered, bytes])
    const messages: PeerMessage[] = []
    while (this.buffered.length >= LENGTH_BYTES) {
      const length = this.buffered.readUInt32BE(0)
      if (length > peerOptions.maxFrameBytes) return Result.err(FrameError.TooLong)
      if (this.buffered.length < LENGTH_BYTES + length) break
      const message = decodeMessage(this.buffered.subarray(LENGTH_BYTES, LENGTH_BYTES + length))
      if (message === undefined) return Result.err(FrameError.Invalid)
      messages.push(message)
      this.buffered = this.buffered.subarray(LENGTH_BYTES + length)
    }
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
