/**
 * The HTTP server for callers.
 */
import { randomUUID } from 'node:crypto'
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify'
import type { Kernel } from '@vanillathread/kernel'
import { ResultCode, type Address } from '@vanillathread/model'
import { ServerRole, type ConnectionTimeouts } from '@vanillathread/policy'
import { ConnectionGuard, type ServerContext } from '../server/ConnectionGuard.js'
import { createHttpServer, type HttpServerOptions } from '../server/createHttpServer.js'
import { refuseOverdue, type RenderedRefusal } from '../server/refusals.js'
import { runCall } from '../server/runCall.js'
import { requestOptions } from '../options.js'
import { AnswerHeader } from './headers.js'
import { parseRequest, type ParsedRequest } from './parseRequest.js'
import { createProblem } from './problem.js'
import type { CallerConnection, RequestDispatcher } from './RequestDispatcher.js'
import { RequestOutcomeKind, type Answer, type Headers, type Refusal, type ServiceRequest } from './ServiceRequest.js'

/** Options of {@link CallerGateway.create}. */
export interface CallerGatewayOptions {
  readonly listen: Address
  readonly context: ServerContext
  readonly kernel: Kernel
  readonly dispatcher: RequestDispatcher
}

const MILLISECONDS_PER_SECOND = 1000

/** Largest head of a request, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024

const TIMEOUTS: ConnectionTimeouts = { headerMs: 60_000, idleMs: 65_000, bodyMs: 300_000 }

/** Accepts requests from callers and returns answers or refusals. */
export class CallerGateway {
  private readonly server: FastifyInstance
  private readonly guard: ConnectionGuard
  private openRequests = 0
  private draining = false
  private lastArrivalMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: CallerGatewayOptions) {
    this.guard = ConnectionGuard.create({ ...options.context, server: 'callers', role: ServerRole.Callers, getTimeouts: () => TIMEOUTS, onOverdue: (connection, reason) => refuseOverdue(connection, reason, serverOptions) })
    const serverOptions: HttpServerOptions = {
      guard: this.guard,
      log: options.kernel.log,
      forceCloseConnections: 'idle',
      exposeHeadRoutes: false,
      getLimits: () => ({ maxHeaderBytes: MAX_HEADER_BYTES, maxBodyBytes: requestOptions.requestBodyLimitBytes, keepAliveMs: TIMEOUTS.idleMs }),
      render: (code, detail) => renderProblem(randomUUID(), code === ResultCode.Overloaded ? { code, retryAfterMs: MILLISECONDS_PER_SECOND } : { code }, detail),
    }
    this.server = createHttpServer(serverOptions)
    this.server.all('/*', (req, reply) => this.handle(req, reply))
  }

  static create (options: CallerGatewayOptions): CallerGateway {
    return new CallerGateway(options)
  }

  /** Starts to listen. @returns the address; if the configured port is 0, with the port that the system chose. */
  async listen (): Promise<Address> {
    const { host, port } = this.options.listen
    await this.server.listen({ host, port })
    const bound = this.server.server.address()
    return { host, port: typeof bound === 'object' && bound !== null ? bound.port : port }
  }

  /** Returns true if no request is open and none has arrived within the last `forMs` milliseconds. */
  isIdleFor (forMs: number): boolean {
    return this.openRequests === 0 && this.options.kernel.timers.now() - this.lastArrivalMs >= forMs
  }

  /** Adds `connection: close` to the answer to each later request, so that callers open new connections. */
  startDraining (): void {
    this.draining = true
  }

  /** Closes every connection, including those that carry a request. */
  async dispose (): Promise<void> {
    this.server.server.closeAllConnections()
    await this.server.close()
    this.guard.dispose()
  }

  private async handle (req: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    this.openRequests += 1
    this.lastArrivalMs = this.options.kernel.timers.now()
    reply.raw.once('close', () => { this.openRequests -= 1 })
    const requestId = randomUUID()
    reply.header(AnswerHeader.RequestId, requestId)
    if (this.draining) reply.header('connection', 'close')
    const parsed = parseRequest(req.method, req.url, req.headers)
    if (!parsed.ok) return this.refuse(reply, requestId, { code: ResultCode.InvalidRequest }, `header ${parsed.error}`)
    return this.serve(req, reply, requestId, parsed.value)
  }

  private async serve (req: FastifyRequest, reply: FastifyReply, requestId: string, parsed: ParsedRequest): Promise<FastifyReply> {
    const body = Buffer.isBuffer(req.body) ? req.body : undefined
    const { tracing, dispatcher, metrics, timers } = this.getDependencies()
    const startedMs = timers.now()
    const callerSpan = tracing.startServerSpan(`caller ${parsed.service}`, req.headers)
    const outcome = await runCall(this.guard, req, body?.length ?? 0, () => dispatcher.submit(this.createRequest(req, requestId, parsed, body, callerSpan), createCallerConnection(reply)))
    metrics.timing('request', timers.now() - startedMs, { service: parsed.service, outcome: outcome.kind })
    if (outcome.kind === RequestOutcomeKind.Answer) {
      tracing.end(callerSpan)
      return this.sendAnswer(reply, outcome.answer)
    }
    tracing.end(callerSpan, String(outcome.refusal.code))
    return this.refuse(reply, requestId, outcome.refusal)
  }

  private createRequest (req: FastifyRequest, requestId: string, parsed: ParsedRequest, body: Buffer | undefined, callerSpan: ServiceRequest['callerSpan']): ServiceRequest {
    const { timeToDeadlineMs, ...rest } = parsed
    return {
      ...rest,
      requestId,
      method: req.method,
      headers: req.headers as Headers,
      callerSpan,
      ...body === undefined ? {} : { body },
      ...timeToDeadlineMs === undefined ? {} : { deadlineMs: this.options.kernel.timers.now() + timeToDeadlineMs },
    }
  }

  private getDependencies (): Pick<Kernel, 'tracing' | 'metrics' | 'timers'> & { dispatcher: RequestDispatcher } {
    const { kernel, dispatcher } = this.options
    return { tracing: kernel.tracing, metrics: kernel.metrics, timers: kernel.timers, dispatcher }
  }

  private sendAnswer (reply: FastifyReply, answer: Answer): FastifyReply {
    reply.code(answer.status)
    for (const [name, value] of Object.entries(answer.headers)) {
      if (value !== undefined) reply.header(name, value)
    }
    return reply.send(answer.body)
  }

  private refuse (reply: FastifyReply, requestId: string, refusal: Refusal, detail?: string): FastifyReply {
    const { status, headers, body } = renderProblem(requestId, refusal, detail)
    return reply.code(status).headers(headers).send(body)
  }
}

function renderProblem (requestId: string, refusal: Refusal, detail?: string): RenderedRefusal {
  const problem = createProblem(requestId, refusal, detail)
  const retryAfter: Record<string, string> = refusal.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.ceil(refusal.retryAfterMs / MILLISECONDS_PER_SECOND)) }
  return {
    status: problem.status,
    headers: { [AnswerHeader.RequestId]: requestId, 'content-type': 'application/problem+json', [AnswerHeader.Code]: String(problem.code), [AnswerHeader.Execution]: problem.execution, ...retryAfter },
    body: JSON.stringify(problem),
  }
}

/** Creates an object that calls back if the caller closes its connection before the answer is complete. */
function createCallerConnection (reply: FastifyReply): CallerConnection {
  return {
    onAbort: (callback) => {
      reply.raw.once('close', () => { if (!reply.raw.writableFinished) callback() })
    },
  }
}
