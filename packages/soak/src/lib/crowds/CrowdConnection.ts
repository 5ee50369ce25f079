/**
 * A raw TCP connection of a test client. Nothing checks what is sent on it, and answers may stay unread.
 */
import { connect, type Socket } from 'node:net'
import type { Address } from '@vanillathread/model'

/** A connection of one member of a crowd. */
export class CrowdConnection {
  private isOpen = true
  private readonly opened: Promise<void>
  /** Resumes a write that waits until the daemon has read more, or until the connection is closed. */
  private wake: (() => void) | undefined

  private constructor (private readonly socket: Socket) {
    // A connection that the daemon closes or refuses is an expected outcome.
    socket.on('error', () => {})
    this.opened = new Promise((resolve) => {
      socket.once('connect', resolve)
      socket.once('close', resolve)
    })
    socket.on('drain', () => this.wake?.())
    socket.on('close', () => {
      this.isOpen = false
      this.wake?.()
    })
  }

  /** Opens a connection. If it does not read answers, they stay in the buffers of the system and of the daemon. */
  static open (address: Address, { readsAnswers }: { readsAnswers: boolean }): CrowdConnection {
    const socket = connect({ ...address, allowHalfOpen: true })
    if (readsAnswers) socket.resume()
    else socket.pause()
    return new CrowdConnection(socket)
  }

  /** Resolves when the connection is open or has failed. */
  waitUntilOpen (): Promise<void> {
    return this.opened
  }

  /** Sends bytes. Resolves when more can be sent: true, or false if the connection is closed. */
  async send (bytes: Buffer | string): Promise<boolean> {
    if (!this.isOpen) return false
    if (!this.socket.write(bytes)) {
      await new Promise<void>((resolve) => { this.wake = resolve })
      this.wake = undefined
    }
    return this.isOpen
  }

  close (): void {
    this.socket.destroy()
  }
}
