/**
 * Passes each request to the lane of its service. A non-idempotent request with an idempotency key is claimed first.
 */
import type { Kernel, Subscription } from '@vanillathread/kernel'
import { EventCode, ResultCode, type Declarations, type Service } from '@vanillathread/model'
import { RandomSource, type LendableEndpoint, type SlotSource } from '@vanillathread/policy'
import { ClaimResultKind, type RequestClaims, type ClaimResult } from '../claims/RequestClaims.js'
import type { ConfigurationStore } from '../configuration/ConfigurationStore.js'
import type { CreditExchange } from '../credits/CreditExchange.js'
import { EndpointSet, type VmPlace } from '../endpoint/EndpointSet.js'
import type { FleetWatch } from '../fleet/FleetWatch.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { requestOptions } from '../options.js'
import type { SlotSourceFactory } from '../services.js'
import type { PendingRequest } from './PendingRequest.js'
import { RequestJournal, RequestStep } from './RequestJournal.js'
import { ServiceLane } from './ServiceLane.js'
import { createRefusal, RequestOutcomeKind, type RequestOutcome, type ServiceRequest } from './ServiceRequest.js'

/** Options of {@link RequestDispatcher.create}. */
export interface RequestDispatcherOptions {
  readonly kernel: Kernel
  readonly zone: string
  readonly seed: number
  readonly configuration: ConfigurationStore
  readonly membership: MembershipKeeper
  readonly credits: CreditExchange
  readonly claims: RequestClaims
  readonly fleet: FleetWatch
  /** Returns the slot source that replaces slot credits in a comparison run, or undefined. */
  readonly slotSources: SlotSourceFactory
}

/** The connection that a request came on. */
export interface CallerConnection {
  /** Calls back when the caller closes the connection before the answer is complete. */
  onAbort (callback: () => void): void
}

/** Serves the requests for all services. */
export class RequestDispatcher {
  readonly journal = RequestJournal.create({ limit: requestOptions.journaledRequests })
  private readonly lanes = new Map<string, ServiceLane>()
  private readonly random: RandomSource
  private stopping = false
  private readonly subscriptions: Subscription[] = []

  private constructor (private readonly options: RequestDispatcherOptions) {
    this.random = RandomSource.create(options.seed)
  }

  static create (options: RequestDispatcherOptions): RequestDispatcher {
    return new RequestDispatcher(options)
  }

  start (): void {
    const { configuration, membership, kernel, fleet } = this.options
    configuration.subscribe(({ declarations }) => this.configure(declarations))
    membership.subscribe(() => this.updateDaemonCount())
    fleet.subscribe(() => this.dispatchAllQueued())
    this.subscriptions.push(
      kernel.timers.every(requestOptions.sweepPeriodMs, () => this.sweep()),
      kernel.timers.every(requestOptions.staleConnectionPeriodMs, () => this.closeStaleConnections())
    )
  }

  /** Serves one request. The promise always settles. */
  async submit (req: ServiceRequest, caller: CallerConnection): Promise<RequestOutcome> {
    this.recordStep(req, RequestStep.Received)
    const refusal = this.findRefusal(req)
    if (refusal !== undefined) return refusal
    if (req.idempotencyKey === undefined || req.idempotent) return this.run(req, caller)
    return this.runClaimed(req, req.idempotencyKey, caller)
  }

  /** Returns the number of queued requests plus the number of attempts that occupy a slot. */
  countOpen (): number {
    let open = 0
    for (const lane of this.lanes.values()) open += lane.queued + lane.active
    return open
  }

  /** Returns the lanes by service id. */
  listLanes (): ReadonlyMap<string, ServiceLane> {
    return this.lanes
  }

  /** Refuses new requests from now on. */
  stop (): void {
    this.stopping = true
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
    for (const lane of this.lanes.values()) lane.dispose()
  }

  private findRefusal (req: ServiceRequest): RequestOutcome | undefined {
    if (this.stopping) return createRefusal(ResultCode.Stopping, NOT_READY_RETRY_AFTER_MS)
    if (this.options.configuration.current === undefined) return createRefusal(ResultCode.NoConfiguration, NOT_READY_RETRY_AFTER_MS)
    if (!this.lanes.has(req.service)) return createRefusal(ResultCode.UnknownService)
    return undefined
  }

  private async run (req: ServiceRequest, caller: CallerConnection): Promise<RequestOutcome> {
    const lane = this.lanes.get(req.service)
    if (lane === undefined) return createRefusal(ResultCode.UnknownService)
    const pending = lane.submit(req)
    caller.onAbort(() => this.cancel(lane, pending))
    return pending.outcome
  }

  private cancel (lane: ServiceLane, pending: PendingRequest): void {
    if (pending.settled) return
    this.recordStep(pending.req, RequestStep.CallerWentAway)
    lane.cancel(pending)
  }

  /**
   * Runs a request after claiming its idempotency key, and records how it ended. A request that would not be admitted is
   * refused first, so that no claim is written for it.
   */
  private async runClaimed (req: ServiceRequest, key: string, caller: CallerConnection): Promise<RequestOutcome> {
    const refusal = this.lanes.get(req.service)?.checkAdmission(req)
    if (refusal !== undefined) return refusal
    const res = await this.options.claims.claim(req, key)
    if (res.kind !== ClaimResultKind.Claimed) return this.getClaimOutcome(res)
    this.recordStep(req, RequestStep.Claimed)
    const outcome = await this.run(req, caller)
    this.options.claims.finish(res.claim, outcome).catch((err) => {
      this.options.kernel.log.write(EventCode.ClaimFailed, { requestId: req.requestId, reason: String(err) })
    })
    return outcome
  }

  /** Returns the outcome of a request whose key could not be claimed. */
  private getClaimOutcome (res: Exclude<ClaimResult, { kind: ClaimResultKind.Claimed }>): RequestOutcome {
    if (res.kind === ClaimResultKind.Replay) return { kind: RequestOutcomeKind.Answer, answer: res.answer }
    return createRefusal(res.code, res.retryAfterMs)
  }

  private configure (declarations: Declarations): void {
    const places = new Map(declarations.inventory.vms.map((vm): [string, VmPlace] => [vm.id, { zone: vm.zone, pool: vm.pool }]))
    const wanted = new Map(declarations.inventory.services.map((service) => [service.id, service]))
    for (const [serviceId, lane] of this.lanes) {
      if (!wanted.has(serviceId)) this.removeLane(serviceId, lane)
    }
    for (const service of wanted.values()) this.putLane(service, (vmId) => places.get(vmId) ?? { zone: '', pool: '' })
    this.updateDaemonCount()
  }

  /** Creates the lane of a service, or applies a changed declaration to it. */
  private putLane (service: Service, getPlace: (vmId: string) => VmPlace): void {
    const existing = this.lanes.get(service.id)
    if (existing !== undefined) {
      existing.endpoints.configure(service, getPlace)
      this.options.credits.update(service)
      existing.configure(service)
      return
    }
    const { kernel, fleet, zone } = this.options
    const endpoints = EndpointSet.create({ log: kernel.log, leaving: fleet })
    endpoints.configure(service, getPlace)
    const lane = ServiceLane.create(service, {
      zone,
      timers: kernel.timers,
      log: kernel.log,
      metrics: kernel.metrics,
      tracing: kernel.tracing,
      random: this.random,
      journal: this.journal,
      endpoints,
      slots: this.createSlotSource(service, endpoints),
      onDemandChanged: (queued) => this.options.credits.recordDemand(service.id, queued),
    })
    this.lanes.set(service.id, lane)
  }

  private createSlotSource (service: Service, endpoints: EndpointSet): SlotSource {
    const replacement = this.options.slotSources(service.id)
    if (replacement !== undefined) return replacement
    return this.options.credits.add({
      service,
      listEndpoints: () => this.listLendableEndpoints(endpoints),
      onCredits: () => this.lanes.get(service.id)?.dispatchQueued(),
    })
  }

  private listLendableEndpoints (endpoints: EndpointSet): LendableEndpoint[] {
    return endpoints.listNotLeaving(this.options.kernel.timers.now()).map(({ id, zone, slots }) => ({ endpointId: id, zone, slots }))
  }

  private removeLane (serviceId: string, lane: ServiceLane): void {
    lane.refuseQueued(ResultCode.UnknownService)
    lane.dispose()
    this.lanes.delete(serviceId)
    this.options.credits.remove(serviceId)
  }

  private updateDaemonCount (): void {
    const { listed } = this.options.membership.getMemberCounts()
    for (const lane of this.lanes.values()) lane.endpoints.setDaemonCount(listed)
  }

  private sweep (): void {
    for (const lane of this.lanes.values()) lane.sweep()
  }

  private closeStaleConnections (): void {
    for (const lane of this.lanes.values()) lane.closeStaleConnections()
  }

  private dispatchAllQueued (): void {
    for (const lane of this.lanes.values()) lane.dispatchQueued()
  }

  private recordStep (req: ServiceRequest, step: RequestStep): void {
    this.journal.record(req.requestId, { atMs: this.options.kernel.timers.now(), step })
  }
}

/** Retry delay for a caller if the daemon is stopping or has no configuration yet. */
const NOT_READY_RETRY_AFTER_MS = 1_000
