/**
 * One connection to an endpoint.
 */
import { Client } from 'undici'
import type { Endpoint } from '@vanillathread/model'
import { endpointOptions } from '../options.js'

/** A connection that carries one exchange at a time. */
export class EndpointConnection {
  /** True once an exchange on the connection has ended with a complete answer. */
  hasAnswered = false
  /** Monotonic time of the last complete answer, in milliseconds. */
  lastAnswerMs = 0
  private closed = false

  private constructor (readonly client: Client) {}

  static create (endpoint: Pick<Endpoint, 'host' | 'port'>): EndpointConnection {
    const client = new Client(`http://${endpoint.host}:${endpoint.port}`, {
      pipelining: 1,
      connect: { timeout: endpointOptions.connectTimeoutMs },
      // The attempt has its own timers. These timeouts would end an exchange without freeing its slot.
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

  /** Records a complete answer. */
  recordAnswer (nowMs: number): void {
    this.hasAnswered = true
    this.lastAnswerMs = nowMs
  }

  /** Closes the connection at once. */
  destroy (): void {
    this.closed = true
    this.client.destroy().catch(() => {})
  }
}
