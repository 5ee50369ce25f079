/**
 * HTTP endpoint with faults that tests switch on.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Faults of an endpoint. */
export enum EndpointFault {
  None = 'none',
  /** Answers every request at once with a server error. */
  FailFast = 'fail-fast',
  /** Refuses every request without running it. */
  RefuseNotRun = 'refuse-not-run',
  /** Refuses every request without running it, with the header that announces that the endpoint is leaving. */
  Leaving = 'leaving',
  /** Reads requests and never answers; they keep their slots. */
  Hang = 'hang',
  /** Runs the request, then resets the connection instead of answering. */
  ResetAfterRun = 'reset-after-run',
  /** Sends a body of half the announced content length, then closes the connection. */
  CutBody = 'cut-body',
  /** Answers with an attempt id that is not the request's. */
  WrongAttemptId = 'crossed',
  /** Answers without a content length, then closes the connection. */
  Unframed = 'unframed',
}

/** One request that the endpoint ran. */
export interface EndpointRun {
  readonly attemptId: string
  /** Value of the header `x-request-token`, by which tests tell requests apart. */
  readonly token: string
  /** Time of the start, by `performance.now()`. */
  readonly startedMs: number
}

/** Options of {@link EndpointStandIn.create}. */
export interface EndpointStandInOptions {
  readonly id: string
  /** Number of requests that the endpoint should run at a time; it enforces the number only if {@link refuseAboveSlots} is true. */
  readonly slots: number
  /** Returns the duration of the next request, in milliseconds. */
  serviceTimeMs (): number
  /** True if requests above the slots are refused as not run; otherwise they run as well. */
  readonly refuseAboveSlots?: boolean
}

const STATUS_SERVER_ERROR = 500
const STATUS_UNAVAILABLE = 503

/** HTTP endpoint that records its requests and injects faults. */
export class EndpointStandIn {
  fault = EndpointFault.None
  /** Requests that ran, in order. */
  readonly runs: EndpointRun[] = []
  /** Number of requests that are running; includes those that will never be answered because of {@link EndpointFault.Hang}. */
  running = 0
  /** Highest value of {@link running} so far. */
  maxRunning = 0
  /** Highest number of open connections so far. */
  maxConnections = 0
  /** Number of requests that were refused as not run. */
  refused = 0
  /** Time of the last refusal, by `performance.now()`. */
  lastRefusedMs = 0
  /** Text at the end of each answer's body, after the request's token and the endpoint's id. */
  answerPadding = ''
  private readonly server: Server
  private readonly sockets = new Set<Socket>()
  private readonly stalledSockets = new WeakSet<Socket>()

  private constructor (private readonly options: EndpointStandInOptions) {
    this.server = createServer((req, res) => this.onRequest(req, res))
    this.server.keepAliveTimeout = 0
    this.server.on('connection', (socket) => this.onConnection(socket))
  }

  static async create (options: EndpointStandInOptions): Promise<EndpointStandIn> {
    const endpoint = new EndpointStandIn(options)
    await new Promise<void>((resolve) => { endpoint.server.listen(0, '127.0.0.1', resolve) })
    return endpoint
  }

  get id (): string {
    return this.options.id
  }

  get slots (): number {
    return this.options.slots
  }

  get port (): number {
    return (this.server.address() as AddressInfo).port
  }

  get connections (): number {
    return this.sockets.size
  }

  /** Stalls every open connection permanently; connections opened later work. */
  stallConnections (): void {
    for (const socket of this.sockets) {
      this.stalledSockets.add(socket)
      socket.pause()
      socket.removeAllListeners('data')
    }
  }

  async dispose (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }

  private onConnection (socket: Socket): void {
    this.sockets.add(socket)
    this.maxConnections = Math.max(this.maxConnections, this.sockets.size)
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => {})
  }

  private onRequest (req: IncomingMessage, res: ServerResponse): void {
    req.resume()
    req.on('end', () => this.refuseOrRun(req, res))
  }

  private refuseOrRun (req: IncomingMessage, res: ServerResponse): void {
    const isFull = this.running >= this.options.slots && this.options.refuseAboveSlots === true
    if (isFull || this.fault === EndpointFault.RefuseNotRun || this.fault === EndpointFault.Leaving) {
      this.refuse(res)
      return
    }
    this.runs.push({ attemptId: getHeader(req, 'vanillathread-attempt'), token: getHeader(req, 'x-request-token'), startedMs: performance.now() })
    this.running += 1
    this.maxRunning = Math.max(this.maxRunning, this.running)
    const timeMs = this.fault === EndpointFault.FailFast ? 0 : this.options.serviceTimeMs()
    setTimeout(() => this.finish(req, res), timeMs)
  }

  private refuse (res: ServerResponse): void {
    this.refused += 1
    this.lastRefusedMs = performance.now()
    const leaving = this.fault === EndpointFault.Leaving ? { 'vanillathread-leaving': '1' } : {}
    res.writeHead(STATUS_UNAVAILABLE, { 'vanillathread-not-run': '1', 'content-length': '0', ...leaving })
    res.end()
  }

  private finish (req: IncomingMessage, res: ServerResponse): void {
    const { socket } = req
    if (this.fault === EndpointFault.Hang) return
    this.running -= 1
    // The request completes as usual; only its answer is not sent.
    if (this.stalledSockets.has(socket)) return
    const body = `${getHeader(req, 'x-request-token')}|${this.options.id}|${this.answerPadding}`
    const attempt = getHeader(req, 'vanillathread-attempt')
    switch (this.fault) {
      case EndpointFault.FailFast:
        res.writeHead(STATUS_SERVER_ERROR, { 'content-length': '0' })
        res.end()
        break
      case EndpointFault.ResetAfterRun:
        socket.resetAndDestroy()
        break
      case EndpointFault.CutBody:
        res.writeHead(200, { 'content-length': String(body.length * 2) })
        res.write(body, () => socket.destroy())
        break
      case EndpointFault.Unframed:
        socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`)
        break
      case EndpointFault.WrongAttemptId:
        this.answer(res, body, `${attempt}-of-another`)
        break
      default:
        this.answer(res, body, attempt)
    }
  }

  private answer (res: ServerResponse, body: string, attempt: string): void {
    res.writeHead(200, { 'content-type': 'text/plain', 'content-length': String(Buffer.byteLength(body)), 'vanillathread-attempt': attempt })
    res.end(body)
  }
}

function getHeader (req: IncomingMessage, name: string): string {
  const value = req.headers[name]
  return Array.isArray(value) ? value.join(',') : value ?? ''
}
