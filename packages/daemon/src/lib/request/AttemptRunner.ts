/**
 * Makes the attempts of one service's requests, and draws conclusions about endpoints and connections.
 */
import type { EventLog, Metrics, TimerService, Tracing } from '@vanillathread/kernel'
import { EventCode, exhaustiveSwitchError } from '@vanillathread/model'
import { AttemptOutcomeKind, isServerError, UnknownReason, type AttemptOutcome, type SlotSource } from '@vanillathread/policy'
import type { ConnectionSet } from '../endpoint/ConnectionSet.js'
import { EndpointAttempt, SlotRelease, type AttemptResult } from '../endpoint/EndpointAttempt.js'
import type { EndpointConnection } from '../endpoint/EndpointConnection.js'
import type { EndpointSet } from '../endpoint/EndpointSet.js'
import { endpointOptions } from '../options.js'
import type { PendingRequest } from './PendingRequest.js'

/** What a runner needs from its surroundings. */
export interface AttemptRunnerOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly endpoints: EndpointSet
  readonly slots: SlotSource
  /** Called once for each attempt, when its outcome is known. */
  onResult (pending: PendingRequest, endpointId: string, result: AttemptResult): void
  /** Called once for each attempt, when its slot may be used again. */
  onSlotFree (): void
  /** Called with the time that an endpoint took for a request that it did not fail. */
  onServiceTime (serviceTimeMs: number): void
}

/** An attempt with what it occupies. */
interface Exchange {
  readonly pending: PendingRequest
  readonly endpointId: string
  readonly connection: EndpointConnection
  readonly connections: ConnectionSet
  /** True where the connection had already carried a whole exchange. */
  readonly reused: boolean
  readonly startedMs: number
}

/** Runs attempts. */
export class AttemptRunner {
  private nextAttempt = 0
  private activeCount = 0

  private constructor (private readonly options: AttemptRunnerOptions) {}

  static create (options: AttemptRunnerOptions): AttemptRunner {
    return new AttemptRunner(options)
  }

  /** Attempts that occupy a slot. */
  get active (): number {
    return this.activeCount
  }

  /** Starts an attempt. @returns false where the endpoint has no free slot. */
  start (pending: PendingRequest, endpointId: string, timeoutMs: number): boolean {
    const { endpoints, slots, timers } = this.options
    const nowMs = timers.now()
    const connections = endpoints.getConnections(endpointId)
    if (connections === undefined || !slots.acquire(endpointId, nowMs)) return false
    const connection = connections.acquire(nowMs)
    endpoints.begin(endpointId)
    pending.tried.add(endpointId)
    pending.attempts += 1
    pending.activeAttempts += 1
    this.activeCount += 1
    this.send({ pending, endpointId, connection, connections, reused: connection.proven, startedMs: nowMs }, timeoutMs)
    return true
  }

  private send (exchange: Exchange, timeoutMs: number): void {
    const { tracing, timers } = this.options
    const { req } = exchange.pending
    const hop = tracing.startClientSpan(`attempt ${exchange.endpointId}`, req.hop.context)
    const traceHeaders: Record<string, string> = {}
    tracing.inject(hop, traceHeaders)
    const attempt = EndpointAttempt.start({
      req,
      attemptId: `${req.requestId}.${this.nextAttempt++}`,
      traceHeaders,
      connection: exchange.connection,
      timers,
      timeoutMs,
      abandonedHoldMs: endpointOptions.abandonedHoldMs,
    })
    attempt.result.then((result) => {
      tracing.end(hop, result.outcome.kind === AttemptOutcomeKind.Answered ? undefined : result.outcome.kind)
      this.onResult(exchange, result)
    })
    attempt.slotFree.then((release) => this.onSlotFree(exchange, release))
  }

  private onResult (exchange: Exchange, result: AttemptResult): void {
    const { pending, endpointId } = exchange
    const { outcome } = result
    pending.activeAttempts -= 1
    // A server error that is not passed on has run as well, whatever later attempts say.
    if (outcome.kind === AttemptOutcomeKind.Unknown || outcome.kind === AttemptOutcomeKind.Answered) pending.mayHaveRun = true
    this.options.metrics.increment('attempt', { service: pending.req.service, outcome: outcome.kind })
    this.judge(exchange, outcome)
    this.options.onResult(pending, endpointId, result)
  }

  private onSlotFree ({ connection, connections, endpointId, pending }: Exchange, release: SlotRelease): void {
    const { slots, log, timers, onSlotFree } = this.options
    this.activeCount -= 1
    slots.release(endpointId)
    if (release === SlotRelease.Late) log.write(EventCode.LateAnswerDropped, { endpointId, requestId: pending.req.requestId })
    if (release === SlotRelease.Reusable) {
      connection.prove(timers.now())
      connections.release(connection)
    } else {
      connections.discard(connection)
    }
    onSlotFree()
  }

  /** Draws conclusions about the endpoint, but not from a connection that may have gone silent by itself. */
  private judge ({ endpointId, pending, reused, startedMs }: Exchange, outcome: AttemptOutcome): void {
    const { endpoints, timers } = this.options
    const nowMs = timers.now()
    switch (outcome.kind) {
      case AttemptOutcomeKind.Answered:
        this.judgeAnswer(endpointId, pending, outcome.status, nowMs - startedMs)
        break
      case AttemptOutcomeKind.RefusedNotRun:
        endpoints.forget(endpointId)
        if (outcome.leaving) endpoints.noteAnnouncedLeaving(endpointId, nowMs)
        break
      case AttemptOutcomeKind.NotSent:
        endpoints.fail(endpointId, pending.req.requestId, nowMs)
        break
      case AttemptOutcomeKind.Unknown:
        if (reused) this.suspectConnection(endpointId, outcome.reason, nowMs)
        else endpoints.fail(endpointId, pending.req.requestId, nowMs)
        break
      default:
        throw exhaustiveSwitchError(outcome)
    }
  }

  /** A server error that comes fast says nothing about the time that work takes. */
  private judgeAnswer (endpointId: string, pending: PendingRequest, status: number, serviceTimeMs: number): void {
    const { endpoints, timers, onServiceTime } = this.options
    if (isServerError(status)) {
      endpoints.fail(endpointId, pending.req.requestId, timers.now())
      return
    }
    onServiceTime(serviceTimeMs)
    endpoints.succeed(endpointId)
  }

  private suspectConnection (endpointId: string, reason: UnknownReason, nowMs: number): void {
    this.options.endpoints.forget(endpointId)
    if (reason === UnknownReason.Timeout) this.options.endpoints.distrustConnections(endpointId, nowMs)
  }
}
