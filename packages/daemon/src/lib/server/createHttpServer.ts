/**
 * HTTP servers whose connections and requests stay within limits, and that refuse every bad request in one form.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import fastify, { type FastifyError, type FastifyInstance, type FastifyReply, type FastifyRequest, type FastifyServerOptions } from 'fastify'
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, ResultCode } from '@vanillathread/model'
import { CloseReason } from './ConnectionGuard.js'
import { paceReads } from './paceReads.js'
import { hasBody, readBody } from './readBody.js'
import { refuseRequest, refuseUnreadable, type RefusalOptions } from './refusals.js'
import { RequestRefusal } from './RequestRefusal.js'

/** Limits of an HTTP server, which may change while it runs. */
export interface HttpLimits {
  /** Largest head of a request, in bytes. It holds for connections that are opened from then on. */
  readonly maxHeaderBytes: number
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes: number
  /** Time without a request after which a connection is closed. */
  readonly keepAliveMs: number
}

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions extends RefusalOptions, Pick<FastifyServerOptions, 'forceCloseConnections' | 'exposeHeadRoutes'> {
  readonly log: EventLog
  /** Returns the limits in force. */
  getLimits (): HttpLimits
}

/** Methods whose bodies the framework does not read. */
const BODYLESS_METHODS = ['GET', 'HEAD', 'TRACE']

const INTERNAL_ERROR_STATUS = 500

/** Creates a server. Requests that it admits are handled by the routes that the caller adds. */
export function createHttpServer (options: HttpServerOptions): FastifyInstance {
  const { guard, forceCloseConnections, exposeHeadRoutes, getLimits } = options
  const app = fastify({
    forceCloseConnections,
    exposeHeadRoutes,
    serverFactory: (handle) => {
      // The guard has its own timeouts: a connection without a byte is idle, for which Node's limit on the head is too short.
      const server = createServer({ requireHostHeader: false, headersTimeout: 0, requestTimeout: 0 }, (req, res) => {
        if (admitRequest(req, res, options)) handleRequest(req, res, handle, options)
      })
      server.prependListener('connection', () => Object.assign(server, { maxHeaderSize: getLimits().maxHeaderBytes, keepAliveTimeout: getLimits().keepAliveMs }))
      server.on('checkExpectation', (req: IncomingMessage, res: ServerResponse) => refuseRequest(req, res, new RequestRefusal(ResultCode.InvalidRequest, 'expectation is not supported'), options))
      guard.watch(server)
      server.on('connection', (socket) => {
        const connection = guard.find(socket)
        if (connection !== undefined) paceReads(connection, () => guard.chargeHead(connection))
      })
      return server
    },
    clientErrorHandler: (err, socket) => refuseUnreadable(err.code, socket, options),
    frameworkErrors: (err, req, res) => refuse(req, res, toRefusal(err, options.log)),
  })
  const refuse = (req: FastifyRequest, res: FastifyReply, refusal: RequestRefusal): void => {
    res.hijack()
    refuseRequest(req.raw, res.raw, refusal, options)
  }
  app.removeAllContentTypeParsers()
  app.addContentTypeParser('*', (_req, payload, done) => {
    readBody(payload, { guard, maxBytes: getLimits().maxBodyBytes }).then((body) => done(null, body), done)
  })
  app.setErrorHandler((err: FastifyError, req, res) => refuse(req, res, toRefusal(err, options.log)))
  app.setNotFoundHandler((req, res) => refuse(req, res, new RequestRefusal(ResultCode.UnknownPath)))
  return app
}

/** Counts a request, and refuses it if it cannot be handled. Returns true if it can. */
function admitRequest (req: IncomingMessage, res: ServerResponse, options: HttpServerOptions): boolean {
  const { guard, methods } = options
  const { ledger } = guard
  const connection = guard.find(req.socket)
  // A part of a read may hold several requests, of which one has closed the connection.
  if (connection === undefined || connection.isClosing) return false
  if (!ledger.canOpenRequest(connection)) {
    guard.close(connection, CloseReason.TooManyOpenRequests)
    return false
  }
  guard.endUnfinished(connection)
  const open = (): void => {
    const cost = ledger.openRequest(connection, req.rawHeaders.length / 2)
    res.once('close', () => ledger.closeRequest(connection, cost))
  }
  if (hasBody(req)) connection.onWholeBody = open
  else open()
  const refusal = findRefusal(req, methods, ledger.isFull())
  if (refusal !== undefined) refuseRequest(req, res, refusal, options)
  return refusal === undefined
}

function findRefusal ({ httpVersion, headers, method = '' }: IncomingMessage, methods: readonly string[] | undefined, isFull: boolean): RequestRefusal | undefined {
  if (headers.host === undefined && httpVersion === '1.1') return new RequestRefusal(ResultCode.InvalidRequest, 'request names no host')
  if (methods?.includes(method) === false) return new RequestRefusal(ResultCode.MethodNotAllowed)
  return isFull ? new RequestRefusal(ResultCode.Overloaded) : undefined
}

/** Drops the body of a request that has none by its method, then handles it. The framework reads the other bodies. */
function handleRequest (req: IncomingMessage, res: ServerResponse, handle: (req: IncomingMessage, res: ServerResponse) => void, options: HttpServerOptions): void {
  if (!hasBody(req) || !BODYLESS_METHODS.includes(req.method ?? '')) return handle(req, res)
  readBody(req, { guard: options.guard, maxBytes: options.getLimits().maxBodyBytes }).then(() => handle(req, res), (err) => refuseRequest(req, res, toRefusal(err, options.log), options))
}

function toRefusal (err: Error & { statusCode?: number }, log: EventLog): RequestRefusal {
  if (err instanceof RequestRefusal) return err
  if (err.statusCode !== undefined && err.statusCode < INTERNAL_ERROR_STATUS) return new RequestRefusal(ResultCode.InvalidRequest, err.message)
  log.write(EventCode.HandlerFailed, { operation: 'handle a request', reason: err.stack ?? err.message })
  return new RequestRefusal(ResultCode.InternalError)
}
