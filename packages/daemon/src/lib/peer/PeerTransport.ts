/**
 * Interface through which a daemon exchanges messages with other daemons.
 */
import type { Address } from '@vanillathread/model'
import type { PeerMessage, PeerMessageKind, PeerMessageOf } from './messages.js'

/** Sends an answer over the link on which a message arrived. @public */
export type Reply = (message: PeerMessage) => void

/** Handles the messages of one kind. @public */
export type MessageHandler<K extends PeerMessageKind> = (message: PeerMessageOf<K>, reply: Reply) => void

/** Sends and receives messages between daemons. @public */
export interface PeerTransport {
  /** Starts to listen. @returns the address that peers can connect to. */
  listen (): Promise<Address>
  /** Sets the handler of a kind of message. */
  on<K extends PeerMessageKind> (kind: K, handler: MessageHandler<K>): void
  /** Sends a message, which is lost if the peer cannot be reached. */
  send (address: Address, message: PeerMessage): void
  /** Sends a message to which the peer replies. If nothing arrives on the link in time, the link is replaced. */
  sendExpectingReply (address: Address, message: PeerMessage): void
  /**
   * Returns true if the peer's machine refuses a connection, as no process listens at the address.
   * Returns false if the connection opens, fails in another way or takes longer than the limit.
   */
  isConnectionRefused (address: Address, limitMs: number): Promise<boolean>
  dispose (): Promise<void>
}
