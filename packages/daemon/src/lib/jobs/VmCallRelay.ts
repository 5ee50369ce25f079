/**
 * Makes calls to VMs for the owner of a shard, so that the owner exchanges a few batches with other daemons instead of
 * thousands of calls with VMs.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { VmAnswer, VmClient, VmClients } from '@vanillathread/ports'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerTransport, Reply } from '../peer/PeerTransport.js'
import { relayOptions } from './jobOptions.js'
import { decodeVmCalls, encodeVmAnswers, VmCallKind, type NumberedVmAnswer, type NumberedVmCall } from './vmCallCodec.js'

/** Options of {@link VmCallRelay.create}. */
export interface VmCallRelayOptions {
  readonly network: PeerTransport
  readonly vms: VmClients
  readonly timers: TimerService
  readonly log: EventLog
}

/** Client of one VM, and the time of the last call through it. */
interface OpenClient {
  readonly client: VmClient
  lastCallAtMs: number
}

/**
 * Carries out batches of calls and answers in batches. It decides nothing: each call carries the owner's fencing token, by which
 * the VM refuses an owner that was superseded, and a call that arrives late is one that the owner already treats as unknown.
 */
export class VmCallRelay {
  private readonly clients = new Map<string, OpenClient>()
  private readonly cleanUpTimer: Subscription

  private constructor (private readonly options: VmCallRelayOptions) {
    options.network.on(PeerMessageKind.VmCalls, ({ owner, batch }, reply) => {
      const calls = decodeVmCalls(batch)
      if (calls === undefined) options.log.write(EventCode.PeerFrameInvalid, { remote: owner, reason: 'calls to VMs of another form' })
      else this.carryOut(owner, calls, reply)
    })
    this.cleanUpTimer = options.timers.every(relayOptions.idleClientMs / 2, () => this.closeIdleClients())
  }

  static create (options: VmCallRelayOptions): VmCallRelay {
    return new VmCallRelay(options)
  }

  dispose (): void {
    this.cleanUpTimer.dispose()
    for (const { client } of this.clients.values()) client.dispose()
    this.clients.clear()
  }

  private carryOut (owner: string, calls: readonly NumberedVmCall[], reply: Reply): void {
    const answers: NumberedVmAnswer[] = []
    for (const call of calls) {
      this.call(call).then((answer) => {
        answers.push({ seq: call.seq, answer })
        if (answers.length > 1) return
        this.options.timers.after(relayOptions.answerBatchMs, () => {
          reply({ kind: PeerMessageKind.VmAnswers, owner, batch: encodeVmAnswers(answers.splice(0)) })
        })
      })
    }
  }

  private call (numbered: NumberedVmCall): Promise<VmAnswer<unknown>> {
    const client = this.getClient(numbered)
    switch (numbered.kind) {
      case VmCallKind.Start: return client.start(numbered.call)
      case VmCallKind.Stop: return client.stop(numbered.call)
      case VmCallKind.Pace: return client.pace(numbered.call)
      case VmCallKind.Renew: return client.renew(numbered.call)
    }
  }

  private getClient ({ vm }: NumberedVmCall): VmClient {
    const key = `${vm.id}@${vm.address.host}:${vm.address.port}`
    const open = this.clients.get(key) ?? { client: this.options.vms.open(vm), lastCallAtMs: 0 }
    open.lastCallAtMs = this.options.timers.now()
    this.clients.set(key, open)
    return open.client
  }

  private closeIdleClients (): void {
    const nowMs = this.options.timers.now()
    for (const [key, { client, lastCallAtMs }] of this.clients) {
      if (nowMs - lastCallAtMs < relayOptions.idleClientMs) continue
      client.dispose()
      this.clients.delete(key)
    }
  }
}
