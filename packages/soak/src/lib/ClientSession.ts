/**
 * One client with a connection to a daemon, which it uses until the connection closes.
 */
import { Client } from 'undici'
import { QUEUE_HOST } from './SoakCluster.js'
import type { SoakDaemon } from './SoakDaemon.js'

/** Time that clients wait for an answer. */
export const CLIENT_DEADLINE_MS = 3_000

const CONNECT_TIMEOUT_MS = 1_000

/** Outcome of a request. */
export type ClientAnswer =
  | { readonly kind: 'answer', readonly status: number, readonly body: Readonly<Record<string, unknown>>, readonly daemon: SoakDaemon, readonly sentAtMs: number }
  | { readonly kind: 'no-answer', readonly reason: string, readonly timedOut: boolean, readonly daemon: SoakDaemon, readonly sentAtMs: number }

/** A client that sends one request at a time. */
export class ClientSession {
  isBusy = false
  private connection?: { readonly daemon: SoakDaemon, readonly client: Client }

  private constructor (private readonly pickDaemon: () => SoakDaemon, private readonly nowMs: () => number) {}

  /** `pickDaemon` selects the daemon of a new connection. */
  static create (options: { pickDaemon: () => SoakDaemon, nowMs: () => number }): ClientSession {
    return new ClientSession(options.pickDaemon, options.nowMs)
  }

  async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<ClientAnswer> {
    this.isBusy = true
    const connection = this.connection ?? this.connect()
    const { daemon, client } = connection
    const sentAtMs = this.nowMs()
    const signal = AbortSignal.timeout(CLIENT_DEADLINE_MS)
    try {
      const res = await client.request({
        method,
        path,
        headers: { host: QUEUE_HOST, 'content-type': 'application/json', 'vanillathread-deadline-ms': String(CLIENT_DEADLINE_MS) },
        body: body === undefined ? null : JSON.stringify(body),
        signal,
      })
      const text = await res.body.text()
      return { kind: 'answer', status: res.statusCode, body: text === '' ? {} : JSON.parse(text) as Record<string, unknown>, daemon, sentAtMs }
    } catch (err) {
      this.disconnect(connection)
      return { kind: 'no-answer', reason: String(err), timedOut: signal.aborted, daemon, sentAtMs }
    } finally {
      this.isBusy = false
    }
  }

  close (): void {
    if (this.connection !== undefined) this.disconnect(this.connection)
  }

  private connect (): { readonly daemon: SoakDaemon, readonly client: Client } {
    const daemon = this.pickDaemon()
    const { host, port } = daemon.links.clients.address
    const client = new Client(`http://${host}:${port}`, { connect: { timeout: CONNECT_TIMEOUT_MS }, keepAliveTimeout: 60_000, keepAliveMaxTimeout: 60_000 })
    const connection = { daemon, client }
    client.on('disconnect', () => this.disconnect(connection))
    this.connection = connection
    return connection
  }

  /** Drops a connection, so that the next request opens another one. */
  private disconnect (connection: { readonly client: Client }): void {
    if (this.connection === connection) this.connection = undefined
    connection.client.destroy().catch(() => {})
  }
}
