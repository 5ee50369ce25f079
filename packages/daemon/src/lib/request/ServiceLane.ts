/**
 * The path of one service's requests through a daemon: admission, queue, attempts and retries.
 */
import type { EventLog, Metrics, TimerService, Tracing } from '@vanillathread/kernel'
import { EventCode, ResultCode, type Service } from '@vanillathread/model'
import {
  ArrivalRates, decideAdmission, decideRetry, isServerError, clampRetryDelayMs, pickEndpoint, RetryAction, RetryBudget,
  ServiceQueue, ServiceTimeEstimate, type AdmissionDecision, type EndpointCandidate, type QueuedItem, type RandomSource, type SlotSource,
} from '@vanillathread/policy'
import type { AttemptResult } from '../endpoint/EndpointAttempt.js'
import type { EndpointSet } from '../endpoint/EndpointSet.js'
import { requestOptions, retryOptions } from '../options.js'
import { AttemptRunner } from './AttemptRunner.js'
import { PendingRequest } from './PendingRequest.js'
import { RequestStep, type RequestJournal } from './RequestJournal.js'
import { createRefusal, discardAnswer, RequestOutcomeKind, type RequestOutcome, type ServiceRequest } from './ServiceRequest.js'

/** Options of {@link ServiceLane.create}. */
export interface ServiceLaneOptions {
  readonly zone: string
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
  readonly tracing: Tracing
  readonly random: RandomSource
  readonly journal: RequestJournal
  readonly endpoints: EndpointSet
  readonly slots: SlotSource
  /** Called with the number of queued requests when it or the number of attempts in flight may have changed. */
  onDemandChanged (queued: number): void
}

/** Fields of a queued item that determine its position in the queue. */
type QueuePriority = Pick<QueuedItem<PendingRequest>, 'workClass' | 'deadlineMs'>

/** Smallest delay before the hedged attempt of an idempotent request, in milliseconds. */
const MIN_HEDGE_DELAY_MS = 50
/** Multiple of the mean service time after which an attempt is slow enough for a hedged attempt. */
const HEDGE_DELAY_FACTOR = 4

/** Serves the requests for one service. */
export class ServiceLane {
  private readonly queue: ServiceQueue<PendingRequest>
  private readonly serviceTimeEstimate = ServiceTimeEstimate.create()
  private readonly arrivals = ArrivalRates.create()
  private readonly retryBudget = RetryBudget.create(retryOptions)
  private readonly runner: AttemptRunner

  private constructor (private service: Service, private readonly options: ServiceLaneOptions) {
    this.queue = ServiceQueue.create({ limit: service.queueLimit })
    this.runner = AttemptRunner.create({
      ...options,
      onResult: (pending, endpointId, result) => this.onResult(pending, endpointId, result),
      onSlotFree: () => this.dispatchQueued(),
      onServiceTime: (serviceTimeMs) => this.serviceTimeEstimate.addSample(serviceTimeMs),
    })
  }

  static create (service: Service, options: ServiceLaneOptions): ServiceLane {
    return new ServiceLane(service, options)
  }

  /** Number of queued requests. */
  get queued (): number {
    return this.queue.size
  }

  /** Number of attempts that occupy a slot. */
  get active (): number {
    return this.runner.active
  }

  get slots (): SlotSource {
    return this.options.slots
  }

  get endpoints (): EndpointSet {
    return this.options.endpoints
  }

  /** Applies a changed declaration of the service. */
  configure (service: Service): void {
    this.service = service
    this.queue.setLimit(service.queueLimit)
    this.dispatchQueued()
  }

  /**
   * Queues a request, or refuses it if it is not admitted.
   *
   * @returns the pending request; its `outcome` always settles.
   */
  submit (req: ServiceRequest): PendingRequest {
    const nowMs = this.options.timers.now()
    const pending = PendingRequest.create(req, req.deadlineMs ?? nowMs + this.service.deadlineMs)
    if (this.options.endpoints.listNotLeaving(nowMs).length === 0) {
      pending.refuse(ResultCode.NoEndpoint, this.getRetryAfterMs())
      return pending
    }
    this.enqueue(pending, nowMs)
    this.dispatchQueued()
    return pending
  }

  /** Returns the refusal that a request would get now, or undefined. Called before a claim is written for the request. */
  checkAdmission (req: ServiceRequest): RequestOutcome | undefined {
    const nowMs = this.options.timers.now()
    if (this.options.endpoints.listNotLeaving(nowMs).length === 0) return createRefusal(ResultCode.NoEndpoint, this.getRetryAfterMs())
    const deadlineMs = req.deadlineMs ?? nowMs + this.service.deadlineMs
    const decision = this.decideNew({ workClass: req.workClass, deadlineMs }, nowMs)
    return decision.admitted ? undefined : createRefusal(decision.code, decision.retryAfterMs)
  }

  /** Removes a request from the queue after its caller has closed the connection. An attempt in flight runs to its end. */
  cancel (pending: PendingRequest): void {
    pending.abandoned = true
    const removed = this.queue.removeIf((item) => item.payload === pending)
    if (removed.length === 0) return
    this.refuse(pending, ResultCode.CallerGone)
    this.options.onDemandChanged(this.queue.size)
  }

  /** Starts attempts of queued requests until no endpoint can take the next one. */
  dispatchQueued (): void {
    for (let item = this.queue.peek(); item !== undefined; item = this.queue.peek()) {
      const candidate = this.pickCandidate(item.payload)
      if (candidate === undefined) break
      this.queue.take()
      this.startAttempt(item.payload, candidate)
    }
    this.options.onDemandChanged(this.queue.size)
  }

  /** Closes the idle connections that may no longer be reused. */
  closeStaleConnections (): void {
    this.options.endpoints.closeStaleConnections(this.options.timers.now())
  }

  /** Refuses the queued requests that can no longer be answered by their deadline. */
  sweep (): void {
    if (this.queue.size === 0) return
    const nowMs = this.options.timers.now()
    const refused: Array<{ pending: PendingRequest, code: ResultCode, retryAfterMs: number }> = []
    this.queue.removeIf((item, ahead) => {
      const decision = this.decide(item, ahead, nowMs)
      if (!decision.admitted) refused.push({ pending: item.payload, ...decision })
      return !decision.admitted
    })
    for (const { pending, code, retryAfterMs } of refused) this.refuse(pending, code, retryAfterMs)
    this.dispatchQueued()
  }

  /** Refuses all queued requests. Called when the service is removed from the configuration and when the daemon stops. */
  refuseQueued (code: ResultCode): void {
    for (const item of this.queue.removeIf(() => true)) this.refuse(item.payload, code)
  }

  dispose (): void {
    this.refuseQueued(ResultCode.Stopping)
    this.options.endpoints.dispose()
  }

  /** Queues a new request or one that is retried, or refuses it. */
  private enqueue (pending: PendingRequest, nowMs: number): void {
    const item: QueuedItem<PendingRequest> = { workClass: pending.req.workClass, deadlineMs: pending.deadlineMs, enqueuedMs: nowMs, payload: pending }
    const decision = this.decideNew(item, nowMs)
    if (!decision.admitted) {
      this.refuse(pending, decision.code, decision.retryAfterMs)
      return
    }
    const offer = this.queue.offer(item)
    if (!offer.accepted) {
      this.refuse(pending, ResultCode.QueueFull, this.getRetryAfterMs())
      return
    }
    this.arrivals.recordArrival(item.workClass, nowMs)
    if (offer.displaced !== undefined) this.refuse(offer.displaced.payload, ResultCode.QueueFull, this.getRetryAfterMs())
  }

  /** Decides on the admission of an item that is not in the queue yet. */
  private decideNew (item: QueuePriority, nowMs: number): AdmissionDecision {
    return this.decide(item, this.queue.countAhead(item.workClass, item.deadlineMs), nowMs)
  }

  /** Decides whether an item with `ahead` items ahead of it in the queue can be answered by its deadline. */
  private decide ({ workClass, deadlineMs }: QueuePriority, ahead: number, nowMs: number): AdmissionDecision {
    const { slots } = this.options
    const moreUrgentRate = this.arrivals.getMoreUrgentRate(workClass, nowMs)
    const limit = slots.getTotalLimit(nowMs)
    const freeNow = slots.getTotalInUse() < limit && ahead === 0
    const waitMs = freeNow ? 0 : this.serviceTimeEstimate.getWaitMs({ ahead, slots: limit, moreUrgentRate })
    return decideAdmission({ nowMs, deadlineMs, waitMs, serviceTimeMs: this.serviceTimeEstimate.getMeanMs() })
  }

  /** Returns the retry delay for a refused caller: the estimated wait behind all queued requests. */
  private getRetryAfterMs (): number {
    const slots = this.options.slots.getTotalLimit(this.options.timers.now())
    return clampRetryDelayMs(this.serviceTimeEstimate.getWaitMs({ ahead: this.queue.size, slots, moreUrgentRate: 0 }))
  }

  private refuse (pending: PendingRequest, reason: ResultCode, retryAfterMs?: number): void {
    if (pending.settled) return
    const code = pending.refuse(reason, retryAfterMs)
    this.recordStep(pending, RequestStep.Refused, { code })
    this.options.log.write(EventCode.RequestRefused, { requestId: pending.req.requestId, service: this.service.id, code })
  }

  private pickCandidate (pending: PendingRequest): EndpointCandidate | undefined {
    const { endpoints, slots, timers, zone, random } = this.options
    const candidates = endpoints.listCandidates(slots, pending.req, timers.now())
    return pickEndpoint(candidates, { zone, tried: pending.tried, random })
  }

  /** Starts an attempt, which is a hedged one if another is in flight. */
  private startAttempt (pending: PendingRequest, candidate: EndpointCandidate): void {
    const { endpointId } = candidate
    const step = pending.activeAttempts > 0 ? RequestStep.HedgeStarted : RequestStep.AttemptStarted
    if (!this.runner.start(pending, endpointId, this.service.attemptTimeoutMs)) {
      this.refuse(pending, ResultCode.NoEndpoint, this.getRetryAfterMs())
      return
    }
    this.recordStep(pending, step, { endpointId })
    this.scheduleHedge(pending)
  }

  private onResult (pending: PendingRequest, endpointId: string, { outcome, answer }: AttemptResult): void {
    this.recordStep(pending, RequestStep.AttemptEnded, { endpointId, outcome: outcome.kind })
    if (!pending.settled && answer !== undefined && !isServerError(answer.status)) {
      this.deliver(pending, { kind: RequestOutcomeKind.Answer, answer })
      return
    }
    // The request already has its outcome, or another attempt that is in flight may still be answered.
    if (pending.settled || pending.activeAttempts > 0) {
      discardAnswer(answer)
      return
    }
    this.retryOrFinish(pending, { outcome, ...answer === undefined ? {} : { answer } })
  }

  /** Retries the request or settles it. Called when an attempt got no answer or a server error, and no other is in flight. */
  private retryOrFinish (pending: PendingRequest, { outcome, answer }: AttemptResult): void {
    const nowMs = this.options.timers.now()
    if (pending.abandoned && answer === undefined) {
      this.refuse(pending, ResultCode.CallerGone)
      return
    }
    const decision = decideRetry(outcome, {
      idempotent: pending.req.idempotent && !pending.abandoned,
      attempts: pending.attempts,
      maxAttempts: requestOptions.maxAttempts,
      mayHaveRun: pending.mayHaveRun,
      nowMs,
      deadlineMs: pending.deadlineMs,
      withdraw: () => this.retryBudget.withdraw(),
    })
    if (decision.action === RetryAction.Retry) {
      this.options.metrics.increment('retry', { service: this.service.id })
      discardAnswer(answer)
      this.enqueue(pending, nowMs)
      this.dispatchQueued()
    } else if (decision.action === RetryAction.Deliver && answer !== undefined) {
      this.deliver(pending, { kind: RequestOutcomeKind.Answer, answer })
    } else if (decision.action === RetryAction.Fail) {
      this.refuse(pending, decision.code, this.getRetryAfterMs())
    }
  }

  private deliver (pending: PendingRequest, outcome: RequestOutcome): void {
    this.retryBudget.deposit()
    this.recordStep(pending, RequestStep.Answered)
    pending.settle(outcome)
  }

  /** Schedules a hedged attempt of an idempotent request. Nothing is scheduled until the service time is known. */
  private scheduleHedge (pending: PendingRequest): void {
    if (!pending.req.idempotent || this.serviceTimeEstimate.getMeanMs() === 0) return
    const delayMs = Math.max(MIN_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR * this.serviceTimeEstimate.getMeanMs())
    pending.hedgeTimer?.dispose()
    pending.hedgeTimer = this.options.timers.after(delayMs, () => this.hedge(pending))
  }

  /**
   * Starts a hedged attempt if exactly one attempt is in flight, no request is queued, an untried endpoint has a free slot,
   * and both the limit of attempts and the retry budget allow it.
   */
  private hedge (pending: PendingRequest): void {
    if (pending.settled || pending.activeAttempts !== 1 || pending.attempts >= requestOptions.maxAttempts) return
    if (this.queue.size > 0) return
    const candidate = this.pickCandidate(pending)
    if (candidate === undefined || pending.tried.has(candidate.endpointId) || !this.retryBudget.withdraw()) return
    this.options.metrics.increment('hedge', { service: this.service.id })
    this.startAttempt(pending, candidate)
  }

  private recordStep (pending: PendingRequest, step: RequestStep, details: { endpointId?: string, outcome?: string, code?: ResultCode } = {}): void {
    this.options.journal.record(pending.req.requestId, { atMs: this.options.timers.now(), step, ...details })
  }
}
