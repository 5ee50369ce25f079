/**
 * The connections of one daemon to one endpoint.
 */
import type { Endpoint } from '@vanillathread/model'
import { endpointOptions } from '../options.js'
import { EndpointConnection } from './EndpointConnection.js'

/** Reuses the connections that carried a complete exchange recently, and replaces the others. */
export class ConnectionSet {
  private idle: EndpointConnection[] = []
  private openCount = 0
  /** Monotonic time. Only connections opened after it are reused, since an older one has stopped answering. */
  private reusableOpenedAfterMs = Number.NEGATIVE_INFINITY
  /** Monotonic time at which each connection was opened. */
  private readonly openedMs = new WeakMap<EndpointConnection, number>()

  private constructor (private readonly endpoint: Endpoint, private connectionLimit: number) {}

  static create (options: { endpoint: Endpoint, connectionLimit: number }): ConnectionSet {
    return new ConnectionSet(options.endpoint, options.connectionLimit)
  }

  /** Number of connections that are open or being opened. */
  get size (): number {
    return this.openCount
  }

  /** Sets the largest number of connections that this daemon may have open. */
  setLimit (connectionLimit: number): void {
    this.connectionLimit = connectionLimit
  }

  /** Returns true if a connection is idle or the limit allows a new one. */
  hasRoom (): boolean {
    return this.idle.length > 0 || this.openCount < this.connectionLimit
  }

  /** Returns an idle connection that may be reused, or a new one. Call it only if `hasRoom` returns true. */
  acquire (nowMs: number): EndpointConnection {
    for (let connection = this.idle.pop(); connection !== undefined; connection = this.idle.pop()) {
      if (this.isReusable(connection, nowMs)) return connection
      this.discard(connection)
    }
    return this.open(nowMs)
  }

  /** Puts a connection back for reuse after a complete exchange, or destroys it if it is closed or above the limit. */
  release (connection: EndpointConnection): void {
    if (connection.isClosed || this.openCount > this.connectionLimit) this.discard(connection)
    else this.idle.push(connection)
  }

  /** Destroys a connection, for example after a broken or timed out exchange. */
  discard (connection: EndpointConnection): void {
    connection.destroy()
    this.openCount -= 1
  }

  /** Prevents the reuse of every connection that was opened up to now. */
  retireAll (nowMs: number): void {
    this.reusableOpenedAfterMs = nowMs
  }

  /** Closes the idle connections that may no longer be reused. */
  closeStale (nowMs: number): void {
    const reusable = this.idle.filter((connection) => this.isReusable(connection, nowMs))
    const stale = this.idle.filter((connection) => !reusable.includes(connection))
    this.idle = reusable
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

  private isReusable (connection: EndpointConnection, nowMs: number): boolean {
    if (connection.isClosed || nowMs - connection.lastAnswerMs >= endpointOptions.maxIdleMs) return false
    return (this.openedMs.get(connection) ?? 0) > this.reusableOpenedAfterMs
  }
}
