/**
 * Clients of VMs that never throw, so that a VM for which no client can be opened, or whose call fails with an unexpected error, is one
 * that does not answer, and the calls to all other VMs go on.
 */
import type { EventLog } from '@vanillathread/kernel'
import { EventCode, OrderRefusal, type VmEntry, type VmReport } from '@vanillathread/model'
import { VmAnswerKind, type RenewCall, type RunReference, type StartCall, type VmAnswer, type VmClient, type VmClients } from '@vanillathread/ports'

/** Options of {@link GuardedVmClients.create}. */
export interface GuardedVmClientsOptions {
  readonly vms: VmClients
  readonly log: EventLog
}

/** Opens clients that never throw. */
export class GuardedVmClients implements VmClients {
  private constructor (private readonly options: GuardedVmClientsOptions) {}

  static create (options: GuardedVmClientsOptions): GuardedVmClients {
    return new GuardedVmClients(options)
  }

  open (entry: VmEntry): VmClient {
    const { vms, log } = this.options
    try {
      return GuardedVmClient.create(entry.id, vms.open(entry), log)
    } catch (err) {
      log.write(EventCode.VmCallFailed, { vm: entry.id, call: 'open', reason: String(err) })
      return UNOPENED_CLIENT
    }
  }
}

const NOT_SENT = { kind: VmAnswerKind.Refused, refusal: OrderRefusal.NotSent } as const

/** Stands for a client that could not be opened. Opening it again would fail again, so the calls are refused without an attempt. */
const UNOPENED_CLIENT: VmClient = {
  start: async () => NOT_SENT,
  stop: async () => NOT_SENT,
  pace: async () => NOT_SENT,
  renew: async () => NOT_SENT,
  dispose: () => {},
}

class GuardedVmClient implements VmClient {
  /** Reason of the last call, if it failed. Renewals are repeated several times a second, and the same failure is logged once. */
  private lastReason: string | undefined

  private constructor (private readonly id: string, private readonly client: VmClient, private readonly log: EventLog) {}

  static create (id: string, client: VmClient, log: EventLog): GuardedVmClient {
    return new GuardedVmClient(id, client, log)
  }

  start (call: StartCall): Promise<VmAnswer<void>> {
    return this.guard('start', () => this.client.start(call))
  }

  stop (call: RunReference): Promise<VmAnswer<void>> {
    return this.guard('stop', () => this.client.stop(call))
  }

  pace (call: RunReference & { readonly percent: number }): Promise<VmAnswer<void>> {
    return this.guard('pace', () => this.client.pace(call))
  }

  renew (call: RenewCall): Promise<VmAnswer<VmReport>> {
    return this.guard('renew', () => this.client.renew(call))
  }

  dispose (): void {
    try {
      this.client.dispose()
    } catch (err) {
      this.log.write(EventCode.VmCallFailed, { vm: this.id, call: 'dispose', reason: String(err) })
    }
  }

  /** Makes a call. If it throws, its outcome is unknown, as it may have been sent before that. */
  private async guard<T> (call: string, send: () => Promise<VmAnswer<T>>): Promise<VmAnswer<T>> {
    try {
      const answer = await send()
      this.lastReason = undefined
      return answer
    } catch (err) {
      const reason = String(err)
      if (reason !== this.lastReason) this.log.write(EventCode.VmCallFailed, { vm: this.id, call, reason })
      this.lastReason = reason
      return { kind: VmAnswerKind.Unknown, reason }
    }
  }
}
