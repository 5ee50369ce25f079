/**
 * HTTP servers whose connections and requests stay within limits, and that refuse every bad request in one form.
 */
import { createServer, STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import fastify, { type FastifyError, type FastifyInstance, type FastifyReply, type FastifyRequest, type FastifyServerOptions } from 'fastify'
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, RESULT_CODES, ResultCode } from '@vanillathread/model'
import { OverdueReason } from '@vanillathread/policy'
import { CloseReason, type ConnectionGuard, type GuardedConnection } from './ConnectionGuard.js'
import { paceReads } from './paceReads.js'
import { hasBody, readBody } from './readBody.js'
import { RequestRefusal } from './RequestRefusal.js'

/** A refusal as it is sent. */
export interface RenderedRefusal {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

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
export interface HttpServerOptions extends Pick<FastifyServerOptions, 'forceCloseConnections' | 'exposeHeadRoutes'> {
  readonly guard: ConnectionGuard
  readonly log: EventLog
  /** Methods that are served, or undefined if all are. */
  readonly methods?: readonly string[]
  /** Returns the limits in force. */
  getLimits (): HttpLimits
  render (code: ResultCode, detail?: string): RenderedRefusal
}

/** Methods whose bodies the framework does not read. */
const BODYLESS_METHODS = ['GET', 'HEAD', 'TRACE']

const INTERNAL_ERROR_STATUS = 500

/** Bytes of a refused body that are read and dropped, so that the connection can be used again. */
const MAX_DROPPED_BYTES = 64 * 1024

/** Refusals of requests after which the connection can be used again. */
const WELL_FORMED_CODES = [ResultCode.Overloaded, ResultCode.UnknownPath, ResultCode.MethodNotAllowed, ResultCode.InternalError]

/** Delay after which a client may come back that was refused for lack of memory. */
export const OVERLOAD_RETRY_AFTER_S = 1

/** Error codes of the HTTP parser. */
enum ParserError {
  HeaderOverflow = 'HPE_HEADER_OVERFLOW',
  Reset = 'ECONNRESET',
  /** The client closed its connection in the middle of a request. */
  UnexpectedEnd = 'HPE_INVALID_EOF_STATE',
}

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

/** Refuses a request. The connection is closed if the request is malformed, or if too much of it is still to come. */
export function refuseRequest (req: IncomingMessage, res: ServerResponse, { code, detail }: RequestRefusal, { guard, methods, render }: HttpServerOptions): void {
  if (req.socket.destroyed) return
  guard.recordRefusal(req.socket, code, detail)
  const { status, headers, body } = render(code, detail)
  const staysOpen = WELL_FORMED_CODES.includes(code) && canStayOpen(req)
  if (staysOpen) expectDroppedBody(req, guard)
  else closeAfterAnswer(req, guard)
  res.writeHead(status, {
    ...headers,
    'content-length': Buffer.byteLength(body),
    ...code === ResultCode.MethodNotAllowed && methods !== undefined ? { allow: methods.join(', ') } : {},
    ...staysOpen ? {} : { connection: 'close' },
  })
  res.end(req.method === 'HEAD' ? undefined : body)
}

/** Renders a refusal as a JSON object with its code, title and details. */
export function renderJsonRefusal (code: ResultCode, detail?: string): RenderedRefusal {
  const { status, title } = RESULT_CODES[code]
  const retryAfter: Record<string, string> = code === ResultCode.Overloaded ? { 'retry-after': String(OVERLOAD_RETRY_AFTER_S) } : {}
  return { status: status ?? INTERNAL_ERROR_STATUS, headers: { 'content-type': 'application/json; charset=utf-8', ...retryAfter }, body: JSON.stringify({ code, error: title, detail }) }
}

/** Refuses a client that has not finished a request in time. */
export function refuseOverdue (connection: GuardedConnection, reason: OverdueReason, options: HttpServerOptions): void {
  if (reason === OverdueReason.Head) refuseConnection(connection, ResultCode.RequestTimeout, options)
  else options.guard.close(connection, reason)
}

/** Prepares an answer that is sent before the request's body has been read. The connection is closed if too much of it is still to come. */
export function settleEarlyAnswer (req: FastifyRequest, res: FastifyReply, guard: ConnectionGuard): void {
  if (canStayOpen(req.raw)) {
    expectDroppedBody(req.raw, guard)
    return
  }
  closeAfterAnswer(req.raw, guard)
  res.header('connection', 'close')
}

/** Keeps a body that the HTTP server will drop from being taken for the head of the next request. */
function expectDroppedBody (req: IncomingMessage, guard: ConnectionGuard): void {
  if (req.complete) return
  req.once('end', () => {
    const connection = guard.find(req.socket)
    if (connection !== undefined) guard.noteDroppedBody(connection)
  })
}

function closeAfterAnswer (req: IncomingMessage, guard: ConnectionGuard): void {
  const connection = guard.find(req.socket)
  if (connection !== undefined) connection.isClosing = true
  if (!req.complete) guard.linger(req.socket)
}

/** Makes a call for a request with a body of some bytes, and keeps the account of what it holds until it ends. */
export async function runCall<T> (guard: ConnectionGuard, req: FastifyRequest, bodyBytes: number, call: () => Promise<T>): Promise<T> {
  const { ledger } = guard
  const connection = guard.find(req.raw.socket)
  if (connection === undefined) throw new RequestRefusal(ResultCode.CallerGone)
  if (!ledger.canBeginCall(bodyBytes)) throw new RequestRefusal(ResultCode.Overloaded)
  const cost = ledger.beginCall(connection, bodyBytes)
  try {
    return await call()
  } finally {
    ledger.endCall(connection, cost)
  }
}

/** Returns true if a connection can be used again after an answer to a request whose body may not have been read. */
function canStayOpen (req: IncomingMessage): boolean {
  return req.complete || !hasBody(req) || Number(req.headers['content-length'] ?? Infinity) <= MAX_DROPPED_BYTES
}

function refuseConnection (connection: GuardedConnection, code: ResultCode, { guard, render }: HttpServerOptions): void {
  guard.recordRefusal(connection.socket, code)
  guard.closeWith(connection, renderMessage(render(code)))
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

/** Refuses bytes that are no HTTP request. Answers to earlier requests of the connection may be on their way; then it is only closed. */
function refuseUnreadable (parserError: string | undefined, socket: Socket, options: HttpServerOptions): void {
  const { guard } = options
  const connection = guard.find(socket)
  if (connection === undefined || parserError === ParserError.Reset || parserError === ParserError.UnexpectedEnd) {
    socket.destroy()
    return
  }
  if (connection.refuseBody !== undefined) {
    connection.refuseBody(ResultCode.InvalidRequest)
    return
  }
  if (connection.openRequests > 0) {
    guard.recordRefusal(socket, ResultCode.InvalidRequest, parserError)
    connection.isClosing = true
    socket.destroySoon()
    return
  }
  refuseConnection(connection, parserError === ParserError.HeaderOverflow ? ResultCode.HeadTooLarge : ResultCode.InvalidRequest, options)
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

function renderMessage ({ status, headers, body }: RenderedRefusal): string {
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), `content-length: ${Buffer.byteLength(body)}`, 'connection: close']
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}
