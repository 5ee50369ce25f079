/**
 * Links to other daemons, which are opened on demand and replaced if the peer does not reply.
 */
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { Subscription } from '@vanillathread/kernel'
import { EventCode, type Address } from '@vanillathread/model'
import { ServerRole, type ConnectionTimeouts } from '@vanillathread/policy'
import { ConnectionGuard, type ServerContext } from '../server/ConnectionGuard.js'
import { peerOptions } from '../options.js'
import type { PeerMessage, PeerMessageKind } from './messages.js'
import type { MessageHandler, PeerTransport } from './PeerTransport.js'
import { PeerLink, type LinkCounters, type PeerLinkOptions } from './PeerLink.js'

/** Options of {@link PeerNetwork.create}. @public */
export interface PeerNetworkOptions extends ServerContext {
  readonly listen: Address
}

/** Links may be silent at any time, but a message that has begun must end. */
const TIMEOUTS: ConnectionTimeouts = { headerMs: Infinity, idleMs: Infinity, bodyMs: 60_000 }

/** Sends and receives messages between daemons. @public */
export class PeerNetwork implements PeerTransport {
  readonly counters: LinkCounters = { sentBytes: 0, receivedBytes: 0, sentMessages: 0 }
  private readonly handlers = new Map<PeerMessageKind, MessageHandler<PeerMessageKind>>()
  private readonly outgoing = new Map<string, PeerLink>()
  private readonly incoming = new Set<PeerLink>()
  private readonly server: Server
  private readonly guard: ConnectionGuard
  private readonly unresponsiveCheck: Subscription

  private constructor (private readonly options: PeerNetworkOptions) {
    this.guard = ConnectionGuard.create({ ...options, server: 'peers', role: ServerRole.Peers, getTimeouts: () => TIMEOUTS })
    this.server = createServer()
    this.guard.watch(this.server)
    this.server.on('connection', (socket) => this.accept(socket))
    this.unresponsiveCheck = options.timers.every(peerOptions.unresponsiveAfterMs / 2, () => this.closeUnresponsive())
  }

  static create (options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options)
  }

  /** Starts to listen. @returns the address, with the port that the system chose if the given port is 0. */
  async listen (): Promise<Address> {
    const { host, port } = this.options.listen
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const bound = this.server.address()
    return { host, port: typeof bound === 'object' && bound !== null ? bound.port : port }
  }

  /** Sets the handler of a kind of message. */
  on<K extends PeerMessageKind> (kind: K, handler: MessageHandler<K>): void {
    this.handlers.set(kind, handler as unknown as MessageHandler<PeerMessageKind>)
  }

  /** Sends a message, which is lost if the peer cannot be reached. */
  send (address: Address, message: PeerMessage): void {
    this.getLink(address)?.send(message)
  }

  /** Sends a message to which the peer replies. If nothing arrives on the link in time, the link is replaced. */
  sendExpectingReply (address: Address, message: PeerMessage): void {
    const link = this.getLink(address)
    if (link === undefined) return
    link.awaitingReplySinceMs ??= this.options.timers.now()
    link.send(message)
  }

  isConnectionRefused (address: Address, limitMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = this.open(address, () => connect({ host: address.host, port: address.port }))
      if (socket === undefined) return resolve(false)
      const finish = (refused: boolean): void => {
        socket.destroy()
        resolve(refused)
      }
      socket.setTimeout(limitMs, () => finish(false))
      socket.once('connect', () => finish(false))
      socket.once('error', (err) => finish('code' in err && err.code === 'ECONNREFUSED'))
    })
  }

  async dispose (): Promise<void> {
    this.unresponsiveCheck.dispose()
    await Promise.all([...this.outgoing.values()].map((link) => link.finish()))
    for (const link of this.incoming) link.close()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
    this.guard.dispose()
  }

  private accept (socket: Socket): void {
    const connection = this.guard.find(socket)
    if (connection === undefined) return
    const link = PeerLink.accept(socket, { ...this.createLinkOptions(), onHeldBytes: (bytes) => this.guard.setHeldBytes(connection, bytes) })
    this.incoming.add(link)
  }

  /** Returns the link to an address, or undefined if none can be opened. */
  private getLink (address: Address): PeerLink | undefined {
    const key = `${address.host}:${address.port}`
    const existing = this.outgoing.get(key)
    if (existing !== undefined) return existing
    const link = this.open(address, () => PeerLink.connect(address, this.createLinkOptions()))
    if (link !== undefined) this.outgoing.set(key, link)
    return link
  }

  /** Opens a socket. Returns undefined if the address allows none, for example as its port is out of range, which would end the process. */
  private open<T> (address: Address, connectTo: () => T): T | undefined {
    try {
      return connectTo()
    } catch (err) {
      this.options.log.write(EventCode.HandlerFailed, { operation: 'connect to a daemon', remote: address.host, port: address.port, reason: String(err) })
      return undefined
    }
  }

  private createLinkOptions (): PeerLinkOptions {
    return {
      log: this.options.log,
      counters: this.counters,
      onMessage: (message, link) => this.onMessage(message, link),
      onClose: (link) => this.onClose(link),
    }
  }

  private onMessage (message: PeerMessage, link: PeerLink): void {
    link.awaitingReplySinceMs = undefined
    this.handlers.get(message.kind)?.(message as never, (answer) => link.send(answer))
  }

  private onClose (link: PeerLink): void {
    this.incoming.delete(link)
    for (const [key, open] of this.outgoing) {
      if (open === link) this.outgoing.delete(key)
    }
  }

  /** Closes links on which no reply has arrived in time; the next message opens a new link. */
  private closeUnresponsive (): void {
    const nowMs = this.options.timers.now()
    for (const link of this.outgoing.values()) {
      if (link.awaitingReplySinceMs !== undefined && nowMs - link.awaitingReplySinceMs >= peerOptions.unresponsiveAfterMs) link.close()
    }
  }
}
