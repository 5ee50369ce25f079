/**
 * Network between daemons in one process, on the timers of a simulation, from which daemons can be cut off.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import type { Address } from '@vanillathread/model'
import type { MessageHandler, PeerMessage, PeerMessageKind, PeerTransport } from '@vanillathread/daemon'

/** Latency of a message in one direction. */
const MESSAGE_MS = 1

/** Delivers messages between all daemons of a process. */
export class MemoryPeerNetwork {
  /** Addresses, as `host:port`, of the daemons that are cut off from all others. */
  readonly cutAddresses = new Set<string>()
  /** Addresses, as `host:port`, of the daemons that a partition separates from all others but not from each other. */
  private readonly isolatedAddresses = new Set<string>()
  /** Kinds of messages that are lost. */
  readonly lostKinds = new Set<`${PeerMessageKind}`>()
  /** Time until a connection to a closed address is known to be refused. */
  refusalMs = 0
  private readonly openPeers = new Map<string, MemoryPeerTransport>()
  /** Numbers of messages by the address that they were sent to, and by address and kind. */
  private readonly sentCounts = new Map<string, number>()

  private constructor (readonly timers: TimerService) {}

  static create (timers: TimerService): MemoryPeerNetwork {
    return new MemoryPeerNetwork(timers)
  }

  /** Creates the transport of the daemon at an address. */
  connect (address: Address): PeerTransport {
    return MemoryPeerTransport.create(this, address)
  }

  add (peer: MemoryPeerTransport): void {
    this.openPeers.set(formatAddress(peer.address), peer)
  }

  remove (peer: MemoryPeerTransport): void {
    if (this.openPeers.get(formatAddress(peer.address)) === peer) this.openPeers.delete(formatAddress(peer.address))
  }

  has (address: Address): boolean {
    return this.openPeers.has(formatAddress(address))
  }

  /** Separates a daemon from all others that are not isolated. */
  isolate (address: Address): void {
    this.isolatedAddresses.add(formatAddress(address))
  }

  reconnect (address: Address): void {
    this.isolatedAddresses.delete(formatAddress(address))
  }

  /** Returns true if no message arrives from one address at another. */
  isCut (from: Address, to: Address): boolean {
    const [sender, receiver] = [formatAddress(from), formatAddress(to)]
    return this.cutAddresses.has(sender) || this.cutAddresses.has(receiver) || this.isolatedAddresses.has(sender) !== this.isolatedAddresses.has(receiver)
  }

  /** Returns the number of messages, of one kind if that is given, that were sent to an address, delivered or not. */
  countSentTo (address: Address, kind?: `${PeerMessageKind}`): number {
    return this.sentCounts.get(kind === undefined ? formatAddress(address) : `${formatAddress(address)} ${kind}`) ?? 0
  }

  deliver (from: Address, to: Address, message: PeerMessage): void {
    this.sentCounts.set(formatAddress(to), this.countSentTo(to) + 1)
    this.sentCounts.set(`${formatAddress(to)} ${message.kind}`, this.countSentTo(to, message.kind) + 1)
    this.timers.after(MESSAGE_MS, () => {
      if (this.lostKinds.has(message.kind) || this.isCut(from, to)) return
      this.openPeers.get(formatAddress(to))?.receive(message, from)
    })
  }
}

class MemoryPeerTransport implements PeerTransport {
  private readonly handlers = new Map<PeerMessageKind, MessageHandler<PeerMessageKind>>()

  private constructor (private readonly network: MemoryPeerNetwork, readonly address: Address) {}

  static create (network: MemoryPeerNetwork, address: Address): MemoryPeerTransport {
    return new MemoryPeerTransport(network, address)
  }

  async listen (): Promise<Address> {
    this.network.add(this)
    return this.address
  }

  on<K extends PeerMessageKind> (kind: K, handler: MessageHandler<K>): void {
    this.handlers.set(kind, handler as unknown as MessageHandler<PeerMessageKind>)
  }

  send (address: Address, message: PeerMessage): void {
    this.network.deliver(this.address, address, message)
  }

  sendExpectingReply (address: Address, message: PeerMessage): void {
    this.send(address, message)
  }

  async isConnectionRefused (address: Address): Promise<boolean> {
    if (this.network.refusalMs > 0) await delay(this.network.timers, this.network.refusalMs)
    return !this.network.isCut(this.address, address) && !this.network.has(address)
  }

  async dispose (): Promise<void> {
    this.network.remove(this)
  }

  receive (message: PeerMessage, from: Address): void {
    this.handlers.get(message.kind)?.(message as never, (answer) => this.network.deliver(this.address, from, answer))
  }
}

function formatAddress (address: Address): string {
  return `${address.host}:${address.port}`
}
