/**
 * Links between daemons in one process, on a fake clock, that can be cut.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { Address } from '@vanillathread/model'
import type { MessageHandler, PeerMessage, PeerMessageKind, PeerTransport } from '@vanillathread/daemon'

/** Latency of a message. */
const MESSAGE_MS = 1

/** All daemons' links. */
export class MemoryPeers {
  /** Daemons that reach no other one, by address. */
  readonly cut = new Set<string>()
  private readonly open = new Map<string, MemoryPeer>()

  private constructor (readonly timers: TimerService) {}

  static create (timers: TimerService): MemoryPeers {
    return new MemoryPeers(timers)
  }

  /** Opens the links of one process at an address. */
  connect (address: Address): PeerTransport {
    return MemoryPeer.create(this, address)
  }

  add (peer: MemoryPeer): void {
    this.open.set(nameOf(peer.address), peer)
  }

  remove (peer: MemoryPeer): void {
    if (this.open.get(nameOf(peer.address)) === peer) this.open.delete(nameOf(peer.address))
  }

  has (address: Address): boolean {
    return this.open.has(nameOf(address))
  }

  deliver (from: Address, to: Address, message: PeerMessage): void {
    this.timers.after(MESSAGE_MS, () => {
      if (this.cut.has(nameOf(from)) || this.cut.has(nameOf(to))) return
      this.open.get(nameOf(to))?.receive(message, from)
    })
  }
}

class MemoryPeer implements PeerTransport {
  private readonly handlers = new Map<PeerMessageKind, MessageHandler<PeerMessageKind>>()

  private constructor (private readonly hub: MemoryPeers, readonly address: Address) {}

  static create (hub: MemoryPeers, address: Address): MemoryPeer {
    return new MemoryPeer(hub, address)
  }

  async listen (): Promise<Address> {
    this.hub.add(this)
    return this.address
  }

  on<K extends PeerMessageKind> (kind: K, handler: MessageHandler<K>): void {
    this.handlers.set(kind, handler as unknown as MessageHandler<PeerMessageKind>)
  }

  send (address: Address, message: PeerMessage): void {
    this.hub.deliver(this.address, address, message)
  }

  sendExpectingReply (address: Address, message: PeerMessage): void {
    this.send(address, message)
  }

  async isConnectionRefused (address: Address): Promise<boolean> {
    return !this.hub.cut.has(nameOf(address)) && !this.hub.cut.has(nameOf(this.address)) && !this.hub.has(address)
  }

  async dispose (): Promise<void> {
    this.hub.remove(this)
  }

  receive (message: PeerMessage, from: Address): void {
    this.handlers.get(message.kind)?.(message as never, (answer) => this.hub.deliver(this.address, from, answer))
  }
}

function nameOf (address: Address): string {
  return `${address.host}:${address.port}`
}
