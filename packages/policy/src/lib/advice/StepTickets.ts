/**
 * What the admission service has decided about the VMs of one step.
 */
import type { TrackedVm } from '../vms/TrackedVm.js'

/** A ticket stops being used this long before it expires, so that a start order still reaches the VM in time. */
const TICKET_RESERVE_MS = 300

/** Part of a ticket's validity that the reserve may take at most. */
const MAX_RESERVE_SHARE = 0.25

/** Time for which a ticket is used after its arrival in any case, as the service decides only just before it answers. */
const FIRST_USE_MS = 100

/** The service's decision on one VM. */
interface VmDecision {
  /** Incarnation of the VM at the time of the request; the decision holds for that one only. */
  readonly bornMs: number
  /** Absent if the service did not grant the VM. Such a decision does not expire. */
  readonly ticket?: string
  /** Time until which the ticket is used. */
  readonly usableUntilMs: number
}

/** An answer of the admission service. @public */
export interface TicketAnswer {
  /** VMs that the request named, with their incarnations at that time. */
  readonly asked: ReadonlyArray<{ readonly id: string, readonly bornMs: number }>
  /** Granted tickets by VM id. */
  readonly tickets: ReadonlyMap<string, string>
  readonly validMs: number
  /** Time at which the request was sent. The tickets are valid from some time between this and the answer. */
  readonly sentAtMs: number
}

/** The tickets of one step. @public */
export class StepTickets {
  private readonly decisions = new Map<string, VmDecision>()

  private constructor () {}

  static create (): StepTickets {
    return new StepTickets()
  }

  /** Returns the tickets that can be used now for the given VMs, by VM id. */
  getUsable (vms: readonly TrackedVm[], nowMs: number): ReadonlyMap<string, string> {
    const usable = new Map<string, string>()
    for (const vm of vms) {
      const decision = this.decisions.get(vm.id)
      if (decision?.ticket !== undefined && decision.bornMs === vm.entry.bornMs && nowMs < decision.usableUntilMs) usable.set(vm.id, decision.ticket)
    }
    return usable
  }

  /** Returns true if a VM has neither a usable ticket nor been left out by the service. */
  isUndecided (vm: TrackedVm, nowMs: number): boolean {
    const decision = this.decisions.get(vm.id)
    return decision === undefined || decision.bornMs !== vm.entry.bornMs || (decision.ticket !== undefined && nowMs >= decision.usableUntilMs)
  }

  applyAnswer ({ asked, tickets, validMs, sentAtMs }: TicketAnswer, nowMs: number): void {
    const reserveMs = Math.min(TICKET_RESERVE_MS, validMs * MAX_RESERVE_SHARE)
    const usableUntilMs = Math.max(sentAtMs + validMs - reserveMs, nowMs + FIRST_USE_MS)
    for (const { id, bornMs } of asked) this.decisions.set(id, { bornMs, ticket: tickets.get(id), usableUntilMs })
  }

  /** Drops a ticket that its VM refused. */
  reject (vmId: string, ticket: string): void {
    if (this.decisions.get(vmId)?.ticket === ticket) this.decisions.delete(vmId)
  }
}
