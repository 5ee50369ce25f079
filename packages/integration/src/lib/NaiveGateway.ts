/**
 * A naive gateway for comparison: it uses the endpoints in turn and retries after any failure.
 */
import Fastify, { type FastifyInstance } from 'fastify'
import { request, type Dispatcher } from 'undici'
import type { EndpointStandIn } from '@vanillathread/stand-ins'

const MAX_ATTEMPTS = 3
const STATUS_UNAVAILABLE = 503

/** Forwards requests without slots, claims or a record of outcomes. */
export class NaiveGateway {
  private readonly server: FastifyInstance = Fastify({ forceCloseConnections: true })
  private nextIndex = 0

  private constructor (private readonly endpoints: readonly EndpointStandIn[]) {
    this.server.removeAllContentTypeParsers()
    this.server.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => { done(null, body) })
    this.server.all('/*', async (req, reply) => {
      const token = String(req.headers['x-request-token'])
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const text = await this.tryNextEndpoint(req.method as Dispatcher.HttpMethod, token)
        if (text !== undefined) return text
      }
      return reply.code(STATUS_UNAVAILABLE).header('content-type', 'application/problem+json').send({ execution: 'not-run' })
    })
  }

  static async create (endpoints: readonly EndpointStandIn[]): Promise<NaiveGateway> {
    const gateway = new NaiveGateway(endpoints)
    await gateway.server.listen({ host: '127.0.0.1', port: 0 })
    return gateway
  }

  get url (): string {
    const bound = this.server.server.address()
    return `http://127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`
  }

  async dispose (): Promise<void> {
    await this.server.close()
  }

  private async tryNextEndpoint (method: Dispatcher.HttpMethod, token: string): Promise<string | undefined> {
    const endpoint = this.endpoints[this.nextIndex++ % this.endpoints.length]
    try {
      const res = await request(`http://127.0.0.1:${endpoint?.port}/items/1`, { method, headers: { 'x-request-token': token } })
      const text = await res.body.text()
      return res.statusCode === 200 ? text : undefined
    } catch {
      return undefined
    }
  }
}
