/**
 * How requests are refused that do not reach the routes of a server: in one form, at once, and so that clients can read the refusal.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { FastifyReply, FastifyRequest } from 'fastify'
import { RESULT_CODES, ResultCode } from '@vanillathread/model'
import { OverdueReason } from '@vanillathread/policy'
import type { ConnectionGuard, GuardedConnection } from './ConnectionGuard.js'
import { hasBody } from './readBody.js'
import type { RequestRefusal } from './RequestRefusal.js'

/** A refusal as it is sent. */
export interface RenderedRefusal {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** What is needed to refuse a request. */
export interface RefusalOptions {
  readonly guard: ConnectionGuard
  /** Methods that are served, or undefined if all are. */
  readonly methods?: readonly string[]
  render (code: ResultCode, detail?: string): RenderedRefusal
}

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

/** Refuses a request. The connection is closed if the request is malformed, or if too much of it is still to come. */
export function refuseRequest (req: IncomingMessage, res: ServerResponse, { code, detail }: RequestRefusal, { guard, methods, render }: RefusalOptions): void {
  if (req.socket.destroyed) return
  guard.recordRefusal(req.socket, code, detail)
  const { status, headers, body } = render(code, detail)
  const isRead = guard.find(req.socket)?.isClosing === false
  const staysOpen = isRead && WELL_FORMED_CODES.includes(code) && canStayOpen(req)
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
export function refuseOverdue (connection: GuardedConnection, reason: OverdueReason, options: RefusalOptions): void {
  if (reason === OverdueReason.Head) refuseConnection(connection, ResultCode.RequestTimeout, options)
  else options.guard.close(connection, reason)
}

/** Refuses bytes that are no HTTP request. Answers to earlier requests of the connection may be on their way; then it is only closed. */
export function refuseUnreadable (parserError: string | undefined, socket: Socket, options: RefusalOptions): void {
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

function refuseConnection (connection: GuardedConnection, code: ResultCode, { guard, render }: RefusalOptions): void {
  guard.recordRefusal(connection.socket, code)
  guard.closeWith(connection, renderMessage(render(code)))
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

/** Returns true if a connection can be used again after an answer to a request whose body may not have been read. */
function canStayOpen (req: IncomingMessage): boolean {
  return req.complete || !hasBody(req) || Number(req.headers['content-length'] ?? Infinity) <= MAX_DROPPED_BYTES
}

function renderMessage ({ status, headers, body }: RenderedRefusal): string {
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), `content-length: ${Buffer.byteLength(body)}`, 'connection: close']
  return `${lines.join('\r\n')}\r\n\r\n${body}`
}
