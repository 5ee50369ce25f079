/**
 * One attempt of a request at one endpoint.
 */
import { PassThrough } from 'node:stream'
import type { Dispatcher } from 'undici'
import type { Subscription, TimerService } from '@vanillathread/kernel'
import { AttemptOutcomeKind, UnknownReason, type AttemptOutcome } from '@vanillathread/policy'
import { requestOptions } from '../options.js'
import { EndpointHeader, selectAnswerHeaders, selectRequestHeaders } from '../request/headers.js'
import type { Answer, Headers, ServiceRequest } from '../request/ServiceRequest.js'
import type { EndpointConnection } from './EndpointConnection.js'

/** How an attempt ended. */
export interface AttemptResult {
  readonly outcome: AttemptOutcome
  /** Present if the outcome is `answered`. */
  readonly answer?: Answer
}

/** Options of {@link EndpointAttempt.start}. */
export interface AttemptOptions {
  readonly req: ServiceRequest
  /** Unique id of the attempt. */
  readonly attemptId: string
  /** Trace context headers. */
  readonly traceHeaders: Readonly<Record<string, string>>
  readonly connection: EndpointConnection
  readonly timers: TimerService
  readonly timeoutMs: number
  /** Time after the timeout for which the attempt waits for a late answer before it destroys the connection. */
  readonly timedOutSlotHoldMs: number
}

/** Why the slot of an attempt became free. */
export enum SlotRelease {
  /** The exchange was complete; the connection may be used again. */
  Reusable = 'reusable',
  /** The exchange was not completed; the connection must be destroyed. */
  Broken = 'broken',
  /** The answer came after the attempt had timed out and was dropped; the connection must be destroyed. */
  Late = 'late',
}

/** Statuses without a body. Source: RFC 9112, section 6.3. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/**
 * Sends a request on a connection and accepts only the answer that belongs to it.
 *
 * `result` settles when the attempt is answered, fails or times out. `slotRelease` settles when the slot
 * may be used again: at the end of the exchange, which may be after `result` has settled. If an attempt times
 * out after it was sent, the endpoint may still work on it, so its slot stays occupied until the late answer
 * comes or `timedOutSlotHoldMs` has passed.
 */
export class EndpointAttempt implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>
  readonly slotRelease: Promise<SlotRelease>
  private resolveResult!: (result: AttemptResult) => void
  private resolveSlotRelease!: (release: SlotRelease) => void
  /** True once undici writes the request to the socket. From then on, the endpoint may run it. */
  private sent = false
  /** True once `result` is settled. */
  private settled = false
  /** Status of the final answer; 0 until its headers have arrived. */
  private status = 0
  private headers: Headers = {}
  private chunks: Buffer[] = []
  private bufferedBytes = 0
  /** Body of an answer that is streamed; undefined as long as the body is buffered. */
  private stream: PassThrough | undefined
  private controller: Dispatcher.DispatchController | undefined
  /** Timer of the attempt timeout, then of the hold time. */
  private timer: Subscription

  private constructor (private readonly options: AttemptOptions) {
    this.result = new Promise((resolve) => { this.resolveResult = resolve })
    this.slotRelease = new Promise((resolve) => { this.resolveSlotRelease = resolve })
    this.timer = options.timers.after(options.timeoutMs, () => this.onTimeout())
  }

  /** Sends the request. */
  static start (options: AttemptOptions): EndpointAttempt {
    const attempt = new EndpointAttempt(options)
    const { req, connection } = options
    const headers = { ...selectRequestHeaders(req.headers), ...options.traceHeaders, [EndpointHeader.Attempt]: options.attemptId }
    connection.client.dispatch({ method: req.method as Dispatcher.HttpMethod, path: req.path, headers, body: req.body ?? null }, attempt)
    return attempt
  }

  /** Called by undici right before the request is written to the socket. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.settled) {
      controller.abort(new Error('attempt timed out before it was sent'))
      return
    }
    this.sent = true
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
    if (status < FIRST_FINAL_STATUS) return
    this.status = status
    this.headers = headers
    const echoed = headers[EndpointHeader.Attempt]
    if (echoed !== undefined && echoed !== this.options.attemptId) this.abort('answer belongs to another attempt')
    else if (!this.isFramed()) this.abort('end of the answer body cannot be told from a lost connection: no content-length or transfer-encoding header')
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.stream !== undefined) {
      if (!this.stream.write(chunk)) this.pauseUntilDrained(this.stream, controller)
      return
    }
    if (this.settled) return
    this.chunks.push(chunk)
    this.bufferedBytes += chunk.length
    if (this.bufferedBytes > requestOptions.answerBufferBytes) this.startStreaming()
  }

  onResponseEnd (): void {
    const late = this.settled && this.stream === undefined
    if (this.stream !== undefined) this.stream.end()
    else if (!late) this.settle(this.createResult(Buffer.concat(this.chunks)))
    this.releaseSlot(late ? SlotRelease.Late : SlotRelease.Reusable)
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.stream !== undefined) this.stream.destroy(err)
    else if (!this.sent) this.settle({ outcome: { kind: AttemptOutcomeKind.NotSent } })
    else this.settle({ outcome: { kind: AttemptOutcomeKind.Unknown, reason: this.getBreakReason() } })
    this.releaseSlot(SlotRelease.Broken)
  }

  private getBreakReason (): UnknownReason {
    return this.status === 0 ? UnknownReason.ConnectionLost : UnknownReason.BrokenAnswer
  }

  /** Returns true if the headers define where the body ends, so that a body that was cut off is detected. */
  private isFramed (): boolean {
    if (this.options.req.method === 'HEAD' || BODILESS_STATUSES.has(this.status)) return true
    return this.headers['content-length'] !== undefined || this.headers['transfer-encoding'] !== undefined
  }

  /** Aborts a streamed answer, or else settles the attempt without an answer. If the request was sent, its slot is then held for a late answer. */
  private onTimeout (): void {
    if (this.stream !== undefined) {
      this.abort('streamed answer was not complete within the attempt timeout')
      return
    }
    if (!this.sent) {
      this.settle({ outcome: { kind: AttemptOutcomeKind.NotSent } })
      this.releaseSlot(SlotRelease.Broken)
      return
    }
    this.settle({ outcome: { kind: AttemptOutcomeKind.Unknown, reason: UnknownReason.Timeout } })
    this.timer = this.options.timers.after(this.options.timedOutSlotHoldMs, () => this.abort('no answer within the hold time after the attempt timeout'))
  }

  /** Settles the attempt with a stream of the body, which is too large to be buffered. */
  private startStreaming (): void {
    this.stream = new PassThrough()
    this.stream.on('error', () => this.abort('caller stopped reading'))
    this.stream.on('close', () => { if (this.stream?.writableFinished !== true) this.abort('caller stopped reading') })
    for (const chunk of this.chunks) this.stream.write(chunk)
    this.chunks = []
    this.settle(this.createResult(this.stream))
  }

  private pauseUntilDrained (stream: PassThrough, controller: Dispatcher.DispatchController): void {
    controller.pause()
    stream.once('drain', () => controller.resume())
  }

  private createResult (body: Buffer | PassThrough): AttemptResult {
    if (this.headers[EndpointHeader.NotRun] !== undefined) {
      return { outcome: { kind: AttemptOutcomeKind.RefusedNotRun, leaving: this.headers[EndpointHeader.Leaving] !== undefined } }
    }
    const answer = { status: this.status, headers: selectAnswerHeaders(this.headers), body }
    return { outcome: { kind: AttemptOutcomeKind.Answered, status: this.status }, answer }
  }

  /** Settles `result`. For a streamed answer the timer goes on, as the timeout covers the whole body. */
  private settle (result: AttemptResult): void {
    if (this.settled) return
    this.settled = true
    if (this.stream === undefined) this.timer.dispose()
    this.resolveResult(result)
  }

  private releaseSlot (release: SlotRelease): void {
    this.timer.dispose()
    this.resolveSlotRelease(release)
  }

  private abort (reason: string): void {
    if (this.controller !== undefined && !this.controller.aborted) this.controller.abort(new Error(reason))
  }
}

const FIRST_FINAL_STATUS = 200
