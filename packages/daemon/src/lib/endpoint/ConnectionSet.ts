/**
 * The connections of one daemon to one endpoint.
 */
import type { Endpoint } from '@vanillathread/model'
import { endpointOptions } from '../options.js'
import { EndpointConnection } from './EndpointConnection.js'

/** Reuses connections that have proved themselves lately and replaces the others. */
export class ConnectionSet {
  private idle: EndpointConnection[] = []
  private openCount = 0
  /** Connections opened before this time are not reused, since one of their age went silent. */
  private distrustedBeforeMs = Number.NEGATIVE_INFINITY
  private readonly openedMs = new WeakMap<EndpointConnection, number>()

  private constructor (private readonly endpoint: Endpoint, private connectionLimit: number) {}

  static create (options: { endpoint: Endpoint, connectionLimit: number }): ConnectionSet {
    return new ConnectionSet(options.endpoint, options.connectionLimit)
  }

  /** Connections that are open or being opened. */
  get size (): number {
    return this.openCount
  }

  /** Sets the most connections that this daemon may open. */
  setLimit (connectionLimit: number): void {
    this.connectionLimit = connectionLimit
  }

  /** Returns true where {@link ConnectionSet.acquire} can return a connection. */
  hasRoom (): boolean {
    return this.idle.length > 0 || this.openCount < this.connectionLimit
  }

  /** Returns a connection that is trusted to carry a request; a new one where no idle one is. */
  acquire (nowMs: number): EndpointConnection {
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      if (this.isTrusted(connection, nowMs)) return connection
      this.discard(connection)
    }
    return this.open(nowMs)
  }

  /** Takes back a connection after a whole exchange. */
  release (connection: EndpointConnection): void {
    if (connection.isClosed || this.openCount > this.connectionLimit) this.discard(connection)
    else this.idle.push(connection)
  }

  /** Destroys a connection after a broken, timed out or abandoned exchange. */
  discard (connection: EndpointConnection): void {
    connection.destroy()
    this.openCount -= 1
  }

  /** Stops trusting every connection opened up to now. */
  distrustAll (nowMs: number): void {
    this.distrustedBeforeMs = nowMs
  }

  /** Closes idle connections that have been idle for too long. */
  closeStale (nowMs: number): void {
    const trusted = this.idle.filter((connection) => this.isTrusted(connection, nowMs))
    const stale = this.idle.filter((connection) => !trusted.includes(connection))
    this.idle = trusted
    for (const connection of stale) this.discard(connection)
  }

  dispose (): void {
    for (const connection of this.idle) this.discard(connection)
    this.idle = []
  }

  private open (nowMs: number): EndpointConnection {
    const connection = EndpointConnection.create(this.endpoint)
    this.openedMs.set(connection, nowMs)
    this.openCount += 1
    return connection
  }

  private isTrusted (connection: EndpointConnection, nowMs: number): boolean {
    if (connection.isClosed || nowMs - connection.provenMs >= endpointOptions.provenForMs) return false
    return (this.openedMs.get(connection) ?? 0) > this.distrustedBeforeMs
  }
}
