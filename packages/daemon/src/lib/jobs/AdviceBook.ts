/**
 * Tickets for the steps of queues whose VMs an outside service chooses.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode, formatStepName } from '@vanillathread/model'
import type { TrackedStep, TrackedVm } from '@vanillathread/policy'
import type { Advisor } from '@vanillathread/ports'

/** VMs in one question; stated by the platform. */
const VMS_PER_QUESTION = 100

/** Pause after a question failed. */
const RETRY_MS = 300

/** Time before a ticket's end at which it is not used any more: a start's way to the VM. */
const TICKET_RESERVE_MS = 300

/** Answers kept before those that are not valid any more are dropped. */
const MAX_ADVICES = 1_000

/** Options of {@link AdviceBook.create}. */
export interface AdviceBookOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly advisor?: Advisor
  onChange (): void
}

interface Advice {
  tickets: ReadonlyMap<string, string>
  validUntilMs: number
  asking: boolean
}

/** Asks once a step and keeps the answer while it is valid. */
export class AdviceBook {
  private readonly advices = new Map<string, Advice>()
  private disposed = false

  private constructor (private readonly options: AdviceBookOptions) {}

  static create (options: AdviceBookOptions): AdviceBook {
    return new AdviceBook(options)
  }

  /** Returns the step's tickets by VM, or undefined where they must be asked for first. */
  getTickets (step: TrackedStep, vms: readonly TrackedVm[]): ReadonlyMap<string, string> | undefined {
    const { job } = step.occurrence
    const name = formatStepName(job.id, step.occurrence.index, step.index)
    const known = this.advices.get(name)
    const nowMs = this.options.timers.now()
    if (known !== undefined && (known.asking || nowMs < known.validUntilMs)) return known.tickets.size > 0 ? known.tickets : undefined
    const advice: Advice = { tickets: new Map(), validUntilMs: 0, asking: true }
    if (this.advices.size >= MAX_ADVICES) this.dropExpired(nowMs)
    this.advices.set(name, advice)
    this.ask(name, advice, vms, job.accepted.advice?.validMs ?? 0)
    return undefined
  }

  dispose (): void {
    this.disposed = true
  }

  private dropExpired (nowMs: number): void {
    for (const [name, advice] of this.advices) {
      if (!advice.asking && nowMs >= advice.validUntilMs) this.advices.delete(name)
    }
  }

  private async ask (name: string, advice: Advice, vms: readonly TrackedVm[], validMs: number): Promise<void> {
    const { advisor, timers, log } = this.options
    const askedAtMs = timers.now()
    const res = await advisor?.advise(name, vms.slice(0, VMS_PER_QUESTION).map((vm) => vm.id))
    if (this.disposed) return
    advice.asking = false
    if (res?.ok !== true) {
      log.write(EventCode.StoreCallFailed, { call: 'advise', step: name, reason: res === undefined ? 'no service of advice is set' : res.error })
      advice.validUntilMs = timers.now() + RETRY_MS
      return
    }
    advice.tickets = res.value.tickets
    advice.validUntilMs = askedAtMs + (res.value.validMs ?? validMs) - TICKET_RESERVE_MS
    this.options.onChange()
  }
}
