/**
 * One connection to an endpoint.
 */
import { Client } from 'undici'
import type { Endpoint } from '@vanillathread/model'
import { endpointOptions } from '../options.js'

/** A connection that carries one exchange at a time. */
export class EndpointConnection {
  /** True once an exchange on the connection was answered whole. */
  proven = false
  /** Monotonic time of the last whole answer. */
  provenMs = 0
  private closed = false

  private constructor (readonly client: Client) {}

  static create (endpoint: Pick<Endpoint, 'host' | 'port'>): EndpointConnection {
    const client = new Client(`http://${endpoint.host}:${endpoint.port}`, {
      pipelining: 1,
      connect: { timeout: endpointOptions.connectTimeoutMs },
      // The attempt keeps its own time; these would end an exchange without freeing its slot.
      headersTimeout: 0,
      bodyTimeout: 0,
    })
    const connection = new EndpointConnection(client)
    client.on('disconnect', () => { connection.closed = true })
    return connection
  }

  get isClosed (): boolean {
    return this.closed || this.client.destroyed
  }

  /** Notes a whole answer. */
  prove (nowMs: number): void {
    this.proven = true
    this.provenMs = nowMs
  }

  /** Closes the connection at once. */
  destroy (): void {
    this.closed = true
    this.client.destroy().catch(() => {})
  }
}
