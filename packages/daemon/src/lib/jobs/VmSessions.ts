/**
 * The owner's sessions with all VMs of its shard.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { JobScheduler, Order, TrackedRun, TrackedVm } from '@vanillathread/policy'
import type { VmClients } from '@vanillathread/ports'
import { VmSession } from './VmSession.js'

/** Options of {@link VmSessions.create}. */
export interface VmSessionsOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly vms: VmClients
  readonly scheduler: JobScheduler
  readonly fencingToken: number
  readonly leaseMs: number
  /** Called after a change that planning or committing may act on. */
  onChange (): void
  /** Called if a VM refused the start of a run because of its ticket. */
  onTicketRefused (run: TrackedRun, ticket: string): void
  /** Called if a VM shows that another daemon owns the shard. */
  onSuperseded (reason: string): void
}

/** Opens and closes a session for each VM that the scheduler knows. */
export class VmSessions {
  private readonly sessions = new Map<string, VmSession>()

  private constructor (private readonly options: VmSessionsOptions) {}

  static create (options: VmSessionsOptions): VmSessions {
    return new VmSessions(options)
  }

  /** Opens a session with each VM that has none. */
  openMissing (): void {
    for (const vm of this.options.scheduler.state.vms.values()) {
      if (!this.sessions.has(vm.id)) this.open(vm)
    }
  }

  /** Closes the sessions with VMs that the scheduler has forgotten. */
  closeForgotten (): void {
    for (const [id, session] of this.sessions) {
      if (this.options.scheduler.state.vms.has(id)) continue
      session.dispose()
      this.sessions.delete(id)
    }
  }

  /** Sends an order. A forgotten VM has no session and no runs, so an order for it is dropped. */
  execute (order: Order): void {
    const { vmId } = order.run
    this.sessions.get(vmId)?.execute(order).catch((err: unknown) => this.logFailure(vmId, order.kind, err))
  }

  resumeAfterCommit (): void {
    for (const session of this.sessions.values()) session.resumeAfterCommit()
  }

  /** Closes all sessions. */
  dispose (): void {
    for (const session of this.sessions.values()) session.dispose()
    this.sessions.clear()
  }

  private open (vm: TrackedVm): void {
    const { vms, log, scheduler, timers, onSuperseded } = this.options
    const session = VmSession.create({
      ...this.options,
      vm,
      client: vms.open(vm.entry),
      onFenced: (vmId) => onSuperseded(`VM ${vmId} has seen a higher fencing token`),
      onReplaced: (vmId) => {
        scheduler.replaceVm(vmId, timers.now())
        this.closeForgotten()
      },
      onResponsive: (vmId, unresponsiveForMs) => log.write(EventCode.VmAnswers, { vm: vmId, silentMs: Math.round(unresponsiveForMs) }),
    })
    this.sessions.set(vm.id, session)
    session.run().catch((err: unknown) => this.logFailure(vm.id, 'session', err))
  }

  private logFailure (vm: string, call: string, err: unknown): void {
    this.options.log.write(EventCode.VmCallFailed, { vm, call, reason: String(err) })
  }
}
