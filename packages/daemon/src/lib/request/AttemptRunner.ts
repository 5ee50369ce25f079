/**
 * Makes the attempts of one service's requests, and updates endpoint health and connections from their outcomes.
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

/** Options of {@link AttemptRunner.create}. */
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
  /** Called with the time from the start of an attempt to its answer, unless the answer is a server error. */
  onServiceTime (serviceTimeMs: number): void
}

/** An attempt with its endpoint and connection. */
interface Exchange {
  readonly pending: PendingRequest
  readonly endpointId: string
  readonly connection: EndpointConnection
  readonly connections: ConnectionSet
  /** True if the connection had already carried a complete exchange. */
  readonly reused: boolean
  readonly startedMs: number
}

/** Makes attempts, and takes and frees the slots and connections that they use. */
export class AttemptRunner {
  /** Number that the id of the next attempt contains. */
  private nextAttemptNumber = 0
  private activeCount = 0

  private constructor (private readonly options: AttemptRunnerOptions) {}

  static create (options: AttemptRunnerOptions): AttemptRunner {
    return new AttemptRunner(options)
  }

  /** Number of attempts that occupy a slot. */
  get active (): number {
    return this.activeCount
  }

  /** Starts an attempt. @returns false if the endpoint is unknown or has no free slot. */
  start (pending: PendingRequest, endpointId: string, timeoutMs: number): boolean {
    const { endpoints, slots, timers } = this.options
    const nowMs = timers.now()
    const connections = endpoints.getConnections(endpointId)
    if (connections === undefined || !slots.acquire(endpointId, nowMs)) return false
    const connection = connections.acquire(nowMs)
    endpoints.recordStart(endpointId)
    pending.tried.add(endpointId)
    pending.attempts += 1
    pending.activeAttempts += 1
    this.activeCount += 1
    this.send({ pending, endpointId, connection, connections, reused: connection.hasAnswered, startedMs: nowMs }, timeoutMs)
    return true
  }

  private send (exchange: Exchange, timeoutMs: number): void {
    const { tracing, timers } = this.options
    const { req } = exchange.pending
    const attemptSpan = tracing.startClientSpan(`attempt ${exchange.endpointId}`, req.callerSpan.context)
    const traceHeaders: Record<string, string> = {}
    tracing.inject(attemptSpan, traceHeaders)
    const attempt = EndpointAttempt.start({
      req,
      attemptId: `${req.requestId}.${this.nextAttemptNumber++}`,
      traceHeaders,
      connection: exchange.connection,
      timers,
      timeoutMs,
      timedOutSlotHoldMs: endpointOptions.timedOutSlotHoldMs,
    })
    attempt.result.then((result) => {
      tracing.end(attemptSpan, result.outcome.kind === AttemptOutcomeKind.Answered ? undefined : result.outcome.kind)
      this.onResult(exchange, result)
    })
    attempt.slotRelease.then((release) => this.onSlotFree(exchange, release))
  }

  private onResult (exchange: Exchange, result: AttemptResult): void {
    const { pending, endpointId } = exchange
    const { outcome } = result
    pending.activeAttempts -= 1
    // An attempt that was answered with a server error has run as well, even if that answer is not delivered.
    if (outcome.kind === AttemptOutcomeKind.Unknown || outcome.kind === AttemptOutcomeKind.Answered) pending.mayHaveRun = true
    this.options.metrics.increment('attempt', { service: pending.req.service, outcome: outcome.kind })
    this.updateHealth(exchange, outcome)
    this.options.onResult(pending, endpointId, result)
  }

  private onSlotFree ({ connection, connections, endpointId, pending }: Exchange, release: SlotRelease): void {
    const { slots, log, timers, onSlotFree } = this.options
    this.activeCount -= 1
    slots.release(endpointId)
    if (release === SlotRelease.Late) log.write(EventCode.LateAnswerDropped, { endpointId, requestId: pending.req.requestId })
    if (release === SlotRelease.Reusable) {
      connection.recordAnswer(timers.now())
      connections.release(connection)
    } else {
      connections.discard(connection)
    }
    onSlotFree()
  }

  /**
   * Updates the endpoint's health. An unknown outcome on a reused connection does not count as a failure
   * of the endpoint, since the connection alone may have failed.
   */
  private updateHealth ({ endpointId, pending, reused, startedMs }: Exchange, outcome: AttemptOutcome): void {
    const { endpoints, timers } = this.options
    const nowMs = timers.now()
    switch (outcome.kind) {
      case AttemptOutcomeKind.Answered:
        this.updateHealthFromAnswer(endpointId, pending, outcome.status, nowMs - startedMs)
        break
      case AttemptOutcomeKind.RefusedNotRun:
        endpoints.forget(endpointId)
        if (outcome.leaving) endpoints.recordLeavingAnnouncement(endpointId, nowMs)
        break
      case AttemptOutcomeKind.NotSent:
        endpoints.recordFailure(endpointId, pending.req.requestId, nowMs)
        break
      case AttemptOutcomeKind.Unknown:
        if (reused) this.handleReusedConnectionFailure(endpointId, outcome.reason, nowMs)
        else endpoints.recordFailure(endpointId, pending.req.requestId, nowMs)
        break
      default:
        throw exhaustiveSwitchError(outcome)
    }
  }

  /** Records a failure or a success. A server error does not count as a service time, since it may come before the work is done. */
  private updateHealthFromAnswer (endpointId: string, pending: PendingRequest, status: number, serviceTimeMs: number): void {
    const { endpoints, timers, onServiceTime } = this.options
    if (isServerError(status)) {
      endpoints.recordFailure(endpointId, pending.req.requestId, timers.now())
      return
    }
    onServiceTime(serviceTimeMs)
    endpoints.recordSuccess(endpointId)
  }

  private handleReusedConnectionFailure (endpointId: string, reason: UnknownReason, nowMs: number): void {
    this.options.endpoints.forget(endpointId)
    if (reason === UnknownReason.Timeout) this.options.endpoints.retireConnections(endpointId, nowMs)
  }
}
