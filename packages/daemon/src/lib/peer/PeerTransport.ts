/**
 * How daemons reach each other.
 */
import type { Address } from '@vanillathread/model'
import type { PeerMessage, PeerMessageKind, PeerMessageOf } from './messages.js'

/** Answers on the link that a message came from. @public */
export type Reply = (message: PeerMessage) => void

/** Handles the messages of one kind. @public */
export type MessageHandler<K extends PeerMessageKind> = (message: PeerMessageOf<K>, reply: Reply) => void

/** Sends and receives messages between daemons. @public */
export interface PeerTransport {
  listen (): Promise<Address>
  /** Sets the handler of a kind of message. */
  on<K extends PeerMessageKind> (kind: K, handler: MessageHandler<K>): void
  /** Sends a message; it is lost where the peer cannot be reached. */
  send (address: Address, message: PeerMessage): void
  /** Sends a message that the peer acknowledges; the link is replaced where it does not. */
  sendAwaited (address: Address, message: PeerMessage): void
  /** True where the peer's machine answers that no process listens at the address. */
  isRefused (address: Address, limitMs: number): Promise<boolean>
  dispose (): Promise<void>
}
