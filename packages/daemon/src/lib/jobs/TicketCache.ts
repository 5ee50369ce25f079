/**
 * Tickets of the external admission service, which chooses the VMs for the steps of some queues.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode, formatStepName } from '@vanillathread/model'
import type { TrackedStep, TrackedVm } from '@vanillathread/policy'
import type { AdmissionService } from '@vanillathread/ports'

/** Platform limit on the number of VMs in one request. */
const MAX_VMS_PER_REQUEST = 100

/** Pause after a failed request. */
const RETRY_MS = 300

/** A ticket stops being used this long before it expires, so that a start order still reaches the VM in time. */
const TICKET_RESERVE_MS = 300

/** Number of cached steps from which expired entries are removed. */
const MAX_CACHED_STEPS = 1_000

/** Options of {@link TicketCache.create}. */
export interface TicketCacheOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly admissionService?: AdmissionService
  /** Called after tickets were received. */
  onChange (): void
}

interface CachedTickets {
  /** Tickets by VM id; empty until the service has granted some. */
  tickets: ReadonlyMap<string, string>
  /** Time until which the tickets are used or, after a failed request, until which none are requested. */
  validUntilMs: number
  requestInFlight: boolean
}

/** Requests tickets once per step and caches them while they are valid. */
export class TicketCache {
  private readonly cachedByStep = new Map<string, CachedTickets>()
  private disposed = false

  private constructor (private readonly options: TicketCacheOptions) {}

  static create (options: TicketCacheOptions): TicketCache {
    return new TicketCache(options)
  }

  /** Returns the step's tickets by VM, or undefined if none are available yet; requests them if necessary. */
  getTickets (step: TrackedStep, vms: readonly TrackedVm[]): ReadonlyMap<string, string> | undefined {
    const { job } = step.occurrence
    const stepName = formatStepName(job.id, step.occurrence.index, step.index)
    const cached = this.cachedByStep.get(stepName)
    const nowMs = this.options.timers.now()
    if (cached !== undefined && (cached.requestInFlight || nowMs < cached.validUntilMs)) return cached.tickets.size > 0 ? cached.tickets : undefined
    const pending: CachedTickets = { tickets: new Map(), validUntilMs: 0, requestInFlight: true }
    if (this.cachedByStep.size >= MAX_CACHED_STEPS) this.dropExpired(nowMs)
    this.cachedByStep.set(stepName, pending)
    this.request(stepName, pending, vms, job.accepted.advice?.validMs ?? 0)
    return undefined
  }

  dispose (): void {
    this.disposed = true
  }

  private dropExpired (nowMs: number): void {
    for (const [stepName, cached] of this.cachedByStep) {
      if (!cached.requestInFlight && nowMs >= cached.validUntilMs) this.cachedByStep.delete(stepName)
    }
  }

  private async request (stepName: string, cached: CachedTickets, vms: readonly TrackedVm[], validMs: number): Promise<void> {
    const { admissionService, timers, log } = this.options
    const requestedAtMs = timers.now()
    const res = await admissionService?.advise(stepName, vms.slice(0, MAX_VMS_PER_REQUEST).map((vm) => vm.id))
    if (this.disposed) return
    cached.requestInFlight = false
    if (res?.ok !== true) {
      log.write(EventCode.StoreCallFailed, { call: 'advise', step: stepName, reason: res === undefined ? 'no advice service is part of the platform' : res.error })
      cached.validUntilMs = timers.now() + RETRY_MS
      return
    }
    cached.tickets = res.value.tickets
    cached.validUntilMs = requestedAtMs + (res.value.validMs ?? validMs) - TICKET_RESERVE_MS
    this.options.onChange()
  }
}
