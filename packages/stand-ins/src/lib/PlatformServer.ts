/**
 * HTTP server in front of a platform, with injected faults.
 */
import Fastify, { type FastifyInstance, type FastifyReply } from 'fastify'
import { transactionSchema, PlatformErrorKind, type FleetSnapshot, type Platform, type PlatformError } from '@vanillathread/ports'
import { getDigest, type Result } from '@vanillathread/model'
import { PlatformFault, type PlatformFaults } from './PlatformFaults.js'

/** Options of {@link PlatformServer.create}. */
export interface PlatformServerOptions {
  readonly platform: Platform
  readonly faults: PlatformFaults
  /** Port to listen on; a free one is chosen if it is absent. */
  readonly port?: number
}

const STATUS_NOT_MODIFIED = 304
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
const STATUS_UNAVAILABLE = 503

/** Maximum size of the body of any request. */
const BODY_LIMIT_BYTES = 16 * 1024 * 1024

/** Serves a platform's ports over HTTP, with injected faults. */
export class PlatformServer {
  private readonly server: FastifyInstance = Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })

  /** Fleet list that was returned last; it is returned again while `staleList` is set. */
  private lastListResult: Result<FleetSnapshot, PlatformError> | undefined

  private constructor (private readonly options: PlatformServerOptions) {
    this.server.addContentTypeParser('application/octet-stream', { parseAs: 'buffer' }, (_req, body, done) => { done(null, body) })
    this.addFaults()
    this.addTable()
    this.addObjects()
    this.addFleet()
  }

  static async create (options: PlatformServerOptions): Promise<PlatformServer> {
    const server = new PlatformServer(options)
    await server.server.listen({ host: '127.0.0.1', port: options.port ?? 0 })
    return server
  }

  get url (): string {
    const address = this.server.server.address()
    return `http://127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`
  }

  async dispose (): Promise<void> {
    await this.server.close()
  }

  private addFaults (): void {
    const { faults } = this.options
    this.server.addHook('onRequest', async (_req, reply) => {
      if (faults.fault === PlatformFault.Down) return reply.code(STATUS_UNAVAILABLE).send({})
      if (faults.fault === PlatformFault.Slow) await new Promise((resolve) => { setTimeout(resolve, faults.slowMs) })
      return undefined
    })
    this.server.addHook('onSend', async (req, reply, payload) => {
      if (faults.fault === PlatformFault.AnswerLost && req.method !== 'GET') req.raw.socket.destroy()
      return payload
    })
  }

  private addTable (): void {
    const { table } = this.options.platform
    this.server.get<{ Querystring: { key: string } }>('/table/row', async (req, reply) =>
      this.send(reply, await table.read(req.query.key), (row) => ({ row: row ?? null })))
    this.server.get<{ Querystring: { prefix: string, since: string } }>('/table/changes', async (req, reply) =>
      this.send(reply, await table.readChanges(req.query.prefix, Number(req.query.since)), (changes) => changes))
    this.server.post('/table/transact', async (req, reply) => {
      const transaction = transactionSchema.safeParse(req.body)
      if (!transaction.success) return reply.code(STATUS_BAD_REQUEST).send({})
      return this.send(reply, await table.transact(transaction.data), (revision) => ({ revision }))
    })
  }

  private addObjects (): void {
    const { objects } = this.options.platform
    this.server.put<{ Params: { digest: string } }>('/objects/:digest', async (req, reply) =>
      this.send(reply, await objects.put(req.params.digest, req.body as Buffer), () => ({})))
    this.server.get<{ Params: { digest: string } }>('/objects/:digest', async (req, reply) => {
      const res = await objects.get(req.params.digest)
      if (!res.ok) return this.sendError(reply, res.error)
      if (res.value === undefined) return reply.code(STATUS_NOT_FOUND).send({})
      return reply.header('content-type', 'application/octet-stream').send(Buffer.from(res.value))
    })
  }

  private addFleet (): void {
    const { fleet, vms } = this.options.platform
    this.server.get('/fleet', async (req, reply) => {
      const current = await fleet.list()
      if (!this.options.faults.staleList || this.lastListResult === undefined) this.lastListResult = current
      if (this.lastListResult.ok && !this.options.faults.staleList) {
        const etag = `"${getDigest(Buffer.from(JSON.stringify(this.lastListResult.value.vms)))}"`
        reply.header('etag', etag)
        if (req.headers['if-none-match'] === etag) return reply.code(STATUS_NOT_MODIFIED).send()
      }
      return this.send(reply, this.lastListResult, (snapshot) => snapshot)
    })
    this.server.get<{ Params: { id: string } }>('/vms/:id', async (req, reply) =>
      this.send(reply, await vms.readState(req.params.id), (observation) => ({ observation: observation ?? null })))
    this.server.post<{ Params: { id: string }, Body: { operationId: string } }>('/vms/:id/reboot', async (req, reply) =>
      this.send(reply, await vms.reboot(req.params.id, req.body.operationId), () => ({})))
  }

  private send<T> (reply: FastifyReply, res: Result<T, PlatformError>, toBody: (value: T) => unknown): FastifyReply {
    return res.ok ? reply.send(toBody(res.value)) : this.sendError(reply, res.error)
  }

  private sendError (reply: FastifyReply, error: PlatformError): FastifyReply {
    if (error.kind === PlatformErrorKind.Conflict) return reply.send({ conflict: error.keys })
    return reply.code(error.kind === PlatformErrorKind.Unavailable ? STATUS_UNAVAILABLE : 500).send({})
  }
}
