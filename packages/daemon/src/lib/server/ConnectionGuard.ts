/**
 * Keeps the connections of one server within its limits: closes those that take too long, and those that give way to others.
 */
import type { Server, Socket } from 'node:net'
import type { EventFields, EventLog, Metrics, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, ResultCode } from '@vanillathread/model'
import { ConnectionAccount, ConnectionLedger, deriveServerLimits, OverdueReason, type ConnectionTimeouts, type ServerRole, type VmResources } from '@vanillathread/policy'

/** What all servers of a daemon share. @public */
export interface ServerContext {
  readonly resources: VmResources
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Options of {@link ConnectionGuard.create}. @public */
export interface ConnectionGuardOptions extends ServerContext {
  /** Name of the server in logs and metrics. */
  readonly server: string
  readonly role: ServerRole
  getTimeouts (): ConnectionTimeouts
  /** Refuses a client that has taken too long. The connection is closed afterwards. Without it, the connection is closed at once. */
  onOverdue? (connection: GuardedConnection, reason: OverdueReason): void
}

/** Reasons why a connection is closed without an answer. */
export enum CloseReason {
  TooManyConnections = 'too many connections',
  TooManyOpenRequests = 'too many requests ahead',
  TooMuchHeld = 'unfinished requests take too much memory',
}

/** Period of looking for connections that have taken too long. */
const CHECK_PERIOD_MS = 1_000

/** Lines that each server logs per {@link CHECK_PERIOD_MS} about clients that it refuses. */
const MAX_LINES_PER_PERIOD = 20

/** Time for which a connection stays open after a refusal, so that the client gets it although it still sends. */
const LINGER_MS = 500

/** Connections of a server that may linger at a time. What they still receive stays in the system's buffers. */
const MAX_LINGERING = 16

/** An empty line may follow a body. Source: RFC 9112, section 2.2. */
const EMPTY_LINE_BYTES = 2

/** A connection of a client. */
export class GuardedConnection extends ConnectionAccount {
  /** Bytes that the HTTP parser has got, and how many of them when the latest request ended. The rest belongs to a head. */
  parsedBytes = 0
  requestEndBytes = 0
  /** Called when the body that is being read is whole. */
  onWholeBody: (() => void) | undefined
  /** Memory of an unfinished message of a peer, as last reported. */
  messageBytes = 0
  /** Bytes of an announced body that have not been read. */
  announcedBytesLeft = 0
  /** Refuses the request whose body is being read. */
  refuseBody: ((code: ResultCode) => void) | undefined
  /** True once the connection is about to be closed. What still arrives on it is not handled. */
  isClosing = false
  private seenBytes = 0

  constructor (readonly socket: Socket, nowMs: number) {
    super(nowMs)
  }

  /** Reads the socket's counters. */
  observe (nowMs: number): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket
    const seenBytes = bytesRead + bytesWritten - writableLength
    if (seenBytes !== this.seenBytes) this.lastActiveMs = nowMs
    this.seenBytes = seenBytes
    this.unsentBytes = writableLength
  }
}

/** Guards the connections of one server. */
export class ConnectionGuard {
  readonly ledger: ConnectionLedger<GuardedConnection>
  private readonly connections = new Map<Socket, GuardedConnection>()
  /** Lines that may be logged, and lines that were dropped, until the next check. */
  private linesLeft = MAX_LINES_PER_PERIOD
  private droppedLines = 0
  private checkTimer: Subscription | undefined
  private lingering = 0

  private constructor (private readonly options: ConnectionGuardOptions) {
    this.ledger = ConnectionLedger.create<GuardedConnection>(deriveServerLimits(options.resources, options.role))
  }

  static create (options: ConnectionGuardOptions): ConnectionGuard {
    return new ConnectionGuard(options)
  }

  /** Guards all connections that a server accepts from now on. */
  watch (server: Server): void {
    server.on('connection', (socket) => this.accept(socket))
  }

  /** Returns the open connection of a socket, or undefined if it is closed. */
  find (socket: Socket): GuardedConnection | undefined {
    return socket.destroyed ? undefined : this.connections.get(socket)
  }

  /** Notes that a body is being read. Its length is 0 if it is not announced. `refuse` is called if the request has to give way. */
  beginBody (connection: GuardedConnection, announcedBytes: number, refuse: (code: ResultCode) => void): void {
    connection.refuseBody = refuse
    connection.announcedBytesLeft = announcedBytes
    this.ledger.beginBody(connection, this.options.timers.now())
  }

  /** Charges bytes of an unfinished request, which arrived in some parts, to its connection. */
  charge (connection: GuardedConnection, bytes: number, parts: number): void {
    this.giveWay(this.ledger.charge(connection, bytes, parts, this.options.timers.now()))
  }

  /** Charges the bytes of a head that is not finished. The HTTP server does not show a head before its end. */
  chargeHead (connection: GuardedConnection): void {
    const bytes = connection.parsedBytes - connection.requestEndBytes
    if (connection.isReadingBody || bytes <= EMPTY_LINE_BYTES) return
    const nowMs = this.options.timers.now()
    if (connection.unfinishedSinceMs === undefined) this.ledger.beginUnfinished(connection, nowMs)
    this.giveWay(this.ledger.chargeHead(connection, bytes, nowMs))
  }

  /** Notes what an unfinished message of a peer takes; 0 if the last one is whole. */
  setHeldBytes (connection: GuardedConnection, bytes: number): void {
    const formerBytes = connection.messageBytes
    connection.messageBytes = bytes
    if (bytes === 0) {
      connection.hasSentRequest = true
      this.endUnfinished(connection)
      return
    }
    // A message that takes less is another one.
    if (formerBytes === 0 || bytes < formerBytes) {
      this.ledger.beginBody(connection, this.options.timers.now())
      this.charge(connection, bytes, 1)
    } else {
      this.charge(connection, bytes - formerBytes, 1)
    }
  }

  /** Notes that what has been read so far belongs to whole or refused requests. */
  endUnfinished (connection: GuardedConnection): void {
    connection.refuseBody = undefined
    connection.announcedBytesLeft = 0
    connection.requestEndBytes = connection.parsedBytes
    connection.lastActiveMs = this.options.timers.now()
    this.ledger.dropUnfinished(connection)
  }

  /** Notes that the body of a refused request has been dropped. The next request may have begun. */
  noteDroppedBody (connection: GuardedConnection): void {
    if (connection.isReadingBody) return
    connection.requestEndBytes = connection.parsedBytes
    this.ledger.dropUnfinished(connection)
  }

  /** Closes a connection at once. Answers that have not been sent are lost. */
  close (connection: GuardedConnection, reason: CloseReason | OverdueReason): void {
    this.record(connection, reason)
    connection.isClosing = true
    connection.socket.destroy()
  }

  /** Logs and counts a request that is refused. */
  recordRefusal (socket: Socket, code: ResultCode, detail?: string): void {
    const connection = this.connections.get(socket)
    if (connection !== undefined) this.record(connection, ResultCode[code], { code, detail })
  }

  /** Sends the last bytes of a connection whose requests are no longer read, and closes it. */
  closeWith (connection: GuardedConnection, bytes: string): void {
    const { socket } = connection
    connection.isClosing = true
    this.linger(socket)
    socket.write(bytes)
    socket.destroySoon()
  }

  /**
   * Makes `destroySoon`, which the HTTP server calls after the last answer, leave the connection open for a while: a client that still
   * sends would get a reset in place of the answer.
   */
  linger (socket: Socket): void {
    if (this.lingering >= MAX_LINGERING) return
    this.lingering += 1
    socket.once('close', () => { this.lingering -= 1 })
    socket.destroySoon = () => {
      socket.end()
      // The HTTP server drops the rest of the request, for which it resumes the socket.
      setImmediate(() => socket.pause())
      this.options.timers.after(LINGER_MS, () => socket.destroy())
    }
  }

  dispose (): void {
    this.checkTimer?.dispose()
    this.reportDroppedLines()
  }

  private accept (socket: Socket): void {
    const connection = new GuardedConnection(socket, this.options.timers.now())
    this.connections.set(socket, connection)
    this.checkTimer ??= this.options.timers.every(CHECK_PERIOD_MS, () => this.check())
    socket.once('close', () => {
      this.connections.delete(socket)
      this.ledger.close(connection)
    })
    const displaced = this.ledger.open(connection)
    if (displaced !== undefined) this.close(displaced, CloseReason.TooManyConnections)
  }

  private check (): void {
    const { timers, metrics, server, onOverdue } = this.options
    const nowMs = timers.now()
    this.reportDroppedLines()
    for (const connection of this.connections.values()) {
      connection.observe(nowMs)
      this.chargeHead(connection)
    }
    metrics.gauge('server_connections', this.ledger.size, { server })
    metrics.gauge('server_request_cost_bytes', this.ledger.cost, { server })
    for (const { account, reason } of this.ledger.listOverdue(nowMs, this.options.getTimeouts())) {
      if (account.isClosing) account.socket.destroy()
      else if (reason === OverdueReason.Idle) account.socket.destroySoon()
      else if (reason === OverdueReason.Body && account.refuseBody !== undefined) account.refuseBody(ResultCode.RequestTimeout)
      else if (reason === OverdueReason.Answer || onOverdue === undefined) this.close(account, reason)
      else onOverdue(account, reason)
    }
    if (this.connections.size > 0) return
    this.checkTimer?.dispose()
    this.checkTimer = undefined
  }

  private giveWay (connections: readonly GuardedConnection[]): void {
    for (const connection of connections) {
      if (connection.refuseBody === undefined) this.close(connection, CloseReason.TooMuchHeld)
      else connection.refuseBody(ResultCode.Overloaded)
    }
  }

  private record (connection: GuardedConnection, reason: string, fields: EventFields = {}): void {
    const { server, metrics } = this.options
    const { socket, unfinishedCost, openRequests, calls } = connection
    metrics.increment('client_refusals', { server, reason })
    if (this.linesLeft === 0) {
      this.droppedLines += 1
      return
    }
    this.linesLeft -= 1
    this.options.log.write(EventCode.ClientRefused, { server, remote: socket.remoteAddress, port: socket.remotePort, reason, ...fields, unfinishedCost, openRequests, calls, connections: this.ledger.size, cost: this.ledger.cost })
  }

  private reportDroppedLines (): void {
    if (this.droppedLines > 0) this.options.log.write(EventCode.LogLinesDropped, { of: EventCode.ClientRefused, lines: this.droppedLines, inMs: CHECK_PERIOD_MS })
    this.linesLeft = MAX_LINES_PER_PERIOD
    this.droppedLines = 0
  }
}
