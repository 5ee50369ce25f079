/**
 * Tickets of the external admission service, which chooses the VMs for the steps of some queues.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode, formatStepName, type AdmissionServiceRules } from '@vanillathread/model'
import { StepTickets, TicketQueue, type JobScheduler, type PlacementContext, type TicketDemand, type TrackedRun, type TrackedStep, type TrackedVm } from '@vanillathread/policy'
import type { AdmissionService } from '@vanillathread/ports'

/** Platform limit on the number of VMs in one request. */
const MAX_VMS_PER_REQUEST = 100

/** Requests that are under way at once: the service handles one call of a daemon at a time, and the next one waits there. */
const MAX_REQUESTS = 2

/** Pause of a step after a failed request or a refused ticket. It doubles with each further request that fails. */
const FIRST_RETRY_MS = 300
const MAX_RETRY_MS = 4_800

/** Added to the time that the service needs for the requests under way, for round trips and a slow service. */
const REQUEST_SLACK_MS = 3_000

/** Number of steps of which decisions are kept although they want no tickets any more. */
const MAX_IDLE_STEPS = 1_000

/** Options of {@link TicketCache.create}. */
export interface TicketCacheOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly scheduler: JobScheduler
  readonly admissionService?: AdmissionService
  /** Called after tickets were received. */
  onChange (): void
}

interface CachedStep {
  readonly tickets: StepTickets
  requestInFlight: boolean
  answeredAtMs: number | undefined
  /** Consecutive requests that failed. */
  failures: number
  /** Time until which no tickets are requested for the step. */
  pausedUntilMs: number
  /** Plan in which the step last wanted tickets. */
  lastPlan: number
}

interface WantedStep extends TicketDemand {
  readonly rules: AdmissionServiceRules
  readonly vms: readonly TrackedVm[]
}

/** Requests tickets in the order of placement and keeps them while they are valid. */
export class TicketCache {
  private readonly steps = new Map<string, CachedStep>()
  private readonly queue = TicketQueue.create<WantedStep>()
  /** Usable VMs of each pool in the present plan. */
  private readonly vmsByPool = new Map<string, readonly TrackedVm[]>()
  private planNumber = 0
  private requestsInFlight = 0
  private disposed = false

  private constructor (private readonly options: TicketCacheOptions) {}

  static create (options: TicketCacheOptions): TicketCache {
    return new TicketCache(options)
  }

  /** Runs a plan that may ask for tickets, and requests the first of those that it lacked. */
  runPlan<T> (plan: (getTickets: PlacementContext['getTickets']) => T): T {
    this.planNumber += 1
    this.queue.clear()
    this.vmsByPool.clear()
    const result = plan((step, hasRoom) => this.getTickets(step, hasRoom))
    for (let step = this.takeNext(); step !== undefined; step = this.takeNext()) this.request(step)
    if (this.steps.size > MAX_IDLE_STEPS) this.dropIdleSteps()
    return result
  }

  /** Drops a ticket with which a VM refused the start of a run. */
  rejectTicket (run: TrackedRun, ticket: string): void {
    const cached = this.steps.get(getStepName(run.task.step))
    if (cached === undefined) return
    cached.tickets.reject(run.vmId, ticket)
    cached.pausedUntilMs = this.options.timers.now() + FIRST_RETRY_MS
  }

  dispose (): void {
    this.disposed = true
  }

  private getTickets (step: TrackedStep, hasRoom: boolean): ReadonlyMap<string, string> | undefined {
    const { job } = step.occurrence
    const name = getStepName(step)
    const cached = this.steps.get(name)
    const nowMs = this.options.timers.now()
    const vms = this.getUsableVms(job.accepted.pool, nowMs)
    const tickets = cached?.tickets.getUsable(vms, nowMs)
    const hasTickets = tickets !== undefined && tickets.size > 0
    if (cached !== undefined) cached.lastPlan = this.planNumber
    const isPaused = cached !== undefined && (cached.requestInFlight || nowMs < cached.pausedUntilMs)
    if (!isPaused && job.accepted.advice !== undefined && vms.some((vm) => cached?.tickets.isUndecided(vm, nowMs) ?? true)) {
      this.queue.add({ name, isStartable: hasRoom && !hasTickets, answeredAtMs: cached?.answeredAtMs, rules: job.accepted.advice, vms })
    }
    return hasTickets ? tickets : undefined
  }

  private getUsableVms (pool: string, nowMs: number): readonly TrackedVm[] {
    let vms = this.vmsByPool.get(pool)
    if (vms === undefined) {
      vms = [...this.options.scheduler.state.vms.values()].filter((vm) => vm.entry.pool === pool && vm.isUsable(nowMs))
      this.vmsByPool.set(pool, vms)
    }
    return vms
  }

  private takeNext (): WantedStep | undefined {
    return this.requestsInFlight < MAX_REQUESTS && !this.disposed ? this.queue.take() : undefined
  }

  private async request ({ name, rules, vms }: WantedStep): Promise<void> {
    const { admissionService, timers, log } = this.options
    const cached = this.steps.get(name) ?? { tickets: StepTickets.create(), requestInFlight: false, answeredAtMs: undefined, failures: 0, pausedUntilMs: 0, lastPlan: this.planNumber }
    this.steps.set(name, cached)
    const sentAtMs = timers.now()
    const asked = vms.filter((vm) => cached.tickets.isUndecided(vm, sentAtMs)).slice(0, MAX_VMS_PER_REQUEST).map(({ id, entry }) => ({ id, bornMs: entry.bornMs }))
    const waitingSteps = this.queue.size
    cached.requestInFlight = true
    this.requestsInFlight += 1
    const timeoutMs = REQUEST_SLACK_MS + MAX_REQUESTS * (rules.decideMs + rules.perVmMs * asked.length)
    const res = await admissionService?.advise(name, asked.map(({ id }) => id), timeoutMs)
    this.requestsInFlight -= 1
    cached.requestInFlight = false
    if (this.disposed) return
    if (res?.ok !== true) {
      log.write(EventCode.StoreCallFailed, { call: 'advise', step: name, reason: res === undefined ? 'no advice service is part of the platform' : res.error })
      cached.pausedUntilMs = timers.now() + Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** cached.failures)
      cached.failures += 1
      return
    }
    const { tickets, validMs } = res.value
    cached.failures = 0
    cached.answeredAtMs = timers.now()
    cached.tickets.applyAnswer({ asked, tickets, validMs: validMs ?? rules.validMs, sentAtMs }, timers.now())
    log.write(EventCode.TicketsReceived, { step: name, asked: asked.length, granted: tickets.size, tookMs: Math.round(timers.now() - sentAtMs), waitingSteps })
    this.options.onChange()
  }

  private dropIdleSteps (): void {
    for (const [name, cached] of this.steps) {
      if (!cached.requestInFlight && cached.lastPlan < this.planNumber) this.steps.delete(name)
    }
  }
}

function getStepName (step: TrackedStep): string {
  return formatStepName(step.occurrence.job.id, step.occurrence.index, step.index)
}
