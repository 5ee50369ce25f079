/**
 * One TCP connection between two daemons.
 */
import { connect, type Socket } from 'node:net'
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { encodeFrame, FrameReader } from './FrameCodec.js'
import type { PeerMessage } from './messages.js'

/** Traffic over all links of a daemon since its start. @public */
export interface LinkCounters {
  sentBytes: number
  receivedBytes: number
  sentMessages: number
}

/** Options of a link. */
export interface PeerLinkOptions {
  readonly log: EventLog
  readonly counters: LinkCounters
  onMessage (message: PeerMessage, link: PeerLink): void
  onClose (link: PeerLink): void
  /** Called after each read with the memory that a message takes that is not whole. */
  onHeldBytes? (bytes: number): void
}

/** Unsent bytes above which a link is regarded as stuck and is closed. */
const MAX_UNSENT_BYTES = 16 * 1024 * 1024

/** Longest time that a link may take to send its buffered messages before it is closed. */
const FINISH_TIMEOUT_MS = 500

/** A connection that carries messages as frames. */
export class PeerLink {
  /** Monotonic time since which a reply is awaited, or undefined if none is. */
  awaitingReplySinceMs: number | undefined
  private readonly reader = FrameReader.create()
  private closed = false

  private constructor (private readonly socket: Socket, private readonly options: PeerLinkOptions) {
    socket.setNoDelay(true)
    socket.on('data', (bytes) => this.onData(bytes))
    socket.on('error', () => this.close())
    socket.on('close', () => this.close())
  }

  /** Opens a connection to a peer. Messages sent before it is open are buffered. */
  static connect (address: Address, options: PeerLinkOptions): PeerLink {
    return new PeerLink(connect({ host: address.host, port: address.port }), options)
  }

  /** Wraps a connection that a peer has opened. */
  static accept (socket: Socket, options: PeerLinkOptions): PeerLink {
    return new PeerLink(socket, options)
  }

  send (message: PeerMessage): void {
    if (this.closed) return
    const frame = encodeFrame(message)
    this.options.counters.sentBytes += frame.length
    this.options.counters.sentMessages += 1
    this.socket.write(frame)
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.close()
  }

  /** Closes the link after its buffered messages have been sent, or after a timeout. Resolves when the link is closed. */
  finish (): Promise<void> {
    if (this.closed) return Promise.resolve()
    return new Promise((resolve) => {
      this.socket.once('close', () => resolve())
      this.socket.end()
      setTimeout(() => this.close(), FINISH_TIMEOUT_MS).unref()
    })
  }

  close (): void {
    if (this.closed) return
    this.closed = true
    this.socket.destroy()
    this.reader.clear()
    this.options.log.write(EventCode.PeerLinkClosed, { remote: this.socket.remoteAddress, port: this.socket.remotePort })
    this.options.onClose(this)
  }

  private onData (bytes: Buffer): void {
    this.options.counters.receivedBytes += bytes.length
    const res = this.reader.push(bytes)
    if (!res.ok) {
      this.options.log.write(EventCode.PeerFrameInvalid, { remote: this.socket.remoteAddress, reason: res.error })
      this.close()
      return
    }
    this.options.onHeldBytes?.(this.reader.heldBytes)
    for (const message of res.value) this.options.onMessage(message, this)
  }
}
