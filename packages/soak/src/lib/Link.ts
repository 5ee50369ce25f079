/**
 * Loopback TCP proxy that injects faults into the connections of one link.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { connect, createServer, type Server, type Socket } from 'node:net'
import type { Address } from '@vanillathread/model'

/** Faults of a link. */
export enum LinkFault {
  None = 'none',
  /** Delivers all bytes late. */
  Delayed = 'delayed',
  /** Holds up the bytes from clients to the server. */
  RequestsHeld = 'requests-held',
  /** Holds up the bytes from the server to clients. */
  AnswersHeld = 'answers-held',
  /** Holds up all bytes. */
  Cut = 'cut',
  /** Delivers the bytes of each direction in small pieces, with a pause after each. */
  Trickling = 'trickling',
}

const DELAY_MS = 150
const TRICKLE_BYTES = 64
const TRICKLE_PAUSE_MS = 20

/** Interval at which a held direction checks whether the fault is over. */
const HOLD_CHECK_MS = 10

/** One direction of a proxied connection. */
interface Direction {
  readonly from: Socket
  readonly to: Socket
  readonly heldBy: LinkFault
  /** Host that the client connects from. */
  readonly client: string | undefined
}

/** Proxy in front of one address. */
export class Link {
  fault = LinkFault.None
  /** Hosts of clients whose bytes are held up in both directions. */
  cutClients: ReadonlySet<string | undefined> = new Set()
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  /** Sockets of connections that stay silent for good. */
  private readonly silenced = new WeakSet<Socket>()

  private constructor (private readonly target: Address) {
    this.server = createServer({ noDelay: true }, (client) => this.accept(client))
  }

  /** Opens a proxy that listens on a port that the system chooses. */
  static async open (host: string, target: Address): Promise<Link> {
    const link = new Link(target)
    await new Promise<void>((resolve, reject) => {
      link.server.once('error', reject)
      link.server.listen(0, host, resolve)
    })
    return link
  }

  get address (): Address {
    const address = this.server.address()
    if (address === null || typeof address === 'string') throw new Error('the link is closed')
    return { host: address.address, port: address.port }
  }

  /** Resets all open connections. */
  reset (): void {
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Silences all open connections for good; new connections work. */
  silence (): void {
    for (const socket of this.sockets) this.silenced.add(socket)
  }

  /** Resets all connections and refuses new ones. */
  close (): void {
    this.server.close()
    this.reset()
  }

  private accept (client: Socket): void {
    const server = connect({ host: this.target.host, port: this.target.port, noDelay: true })
    for (const [socket, peer] of [[client, server], [server, client]] as const) {
      this.sockets.add(socket)
      socket.on('error', () => { if (!this.silenced.has(socket)) peer.resetAndDestroy() })
      socket.on('close', () => this.sockets.delete(socket))
    }
    this.forward({ from: client, to: server, heldBy: LinkFault.RequestsHeld, client: client.remoteAddress })
    this.forward({ from: server, to: client, heldBy: LinkFault.AnswersHeld, client: client.remoteAddress })
  }

  /** Passes on the bytes of a direction in order. */
  private async forward (direction: Direction): Promise<void> {
    const { from, to } = direction
    try {
      for await (const chunk of from as AsyncIterable<Buffer>) await this.deliver(chunk, direction)
      await this.waitWhileHeld(direction)
      // Both ends of a silenced connection have to find out by themselves.
      if (!this.silenced.has(to)) to.end()
    } catch {
      // The connection was closed without an end.
      if (!this.silenced.has(to)) to.destroy()
    }
  }

  private async deliver (chunk: Buffer, direction: Direction): Promise<void> {
    const { to } = direction
    await this.waitWhileHeld(direction)
    if (this.silenced.has(to)) return
    if (this.fault === LinkFault.Delayed) await sleep(DELAY_MS)
    if (this.fault !== LinkFault.Trickling) {
      to.write(chunk)
      return
    }
    for (let offset = 0; offset < chunk.length && !to.destroyed; offset += TRICKLE_BYTES) {
      to.write(chunk.subarray(offset, offset + TRICKLE_BYTES))
      await sleep(TRICKLE_PAUSE_MS)
    }
  }

  private async waitWhileHeld ({ to, heldBy, client }: Direction): Promise<void> {
    while ((this.fault === LinkFault.Cut || this.fault === heldBy || this.cutClients.has(client)) && !to.destroyed) await sleep(HOLD_CHECK_MS)
  }
}
