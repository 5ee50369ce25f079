/**
 * Clients of VMs whose calls other daemons make.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode, type Address, type VmEntry, type VmReport } from '@vanillathread/model'
import { rankByRendezvous } from '@vanillathread/policy'
import { VmAnswerKind, type RenewCall, type RunReference, type StartCall, type VmAnswer, type VmClient, type VmClients } from '@vanillathread/ports'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { relayOptions } from './jobOptions.js'
import { decodeVmAnswers, encodeVmCalls, VmCallKind, type NumberedVmCall, type VmCall } from './vmCallCodec.js'

/** A daemon that makes calls for the owner. */
export interface Relay {
  readonly name: string
  readonly address: Address
}

/** Options of {@link RelayedVmClients.create}. */
export interface RelayedVmClientsOptions {
  /** Name of the owner, which answers return to. */
  readonly owner: string
  /** Clients for the calls that this daemon makes itself. */
  readonly direct: VmClients
  readonly network: PeerTransport
  readonly timers: TimerService
  readonly log: EventLog
  /** Returns the daemons that make calls at present. Without any, this daemon makes all calls itself. */
  getRelays (): readonly Relay[]
}

/** A call that was sent to a relay, or waits for its batch. */
interface PendingCall {
  readonly relay: string
  readonly settle: (answer: VmAnswer<never>) => void
  readonly limit: Subscription
}

/** Calls that wait to be sent to one relay. */
interface Outbox {
  readonly relay: Relay
  calls: NumberedVmCall[]
}

const NO_ANSWER = { kind: VmAnswerKind.Unknown, reason: 'no answer from the relay' } as const

/** Opens clients that share the links to the relays. */
export class RelayedVmClients implements VmClients {
  private nextSeq = 1
  private readonly pending = new Map<number, PendingCall>()
  private readonly outboxes = new Map<string, Outbox>()
  /** Times at which relays last failed to answer a call, by name. */
  private readonly failedAtMs = new Map<string, number>()
  private readonly checkTimer: Subscription

  private constructor (private readonly options: RelayedVmClientsOptions) {
    options.network.on(PeerMessageKind.VmAnswers, ({ owner, batch }) => {
      if (owner === options.owner) this.applyAnswers(batch)
    })
    this.checkTimer = options.timers.every(relayOptions.checkPeriodMs, () => this.abandonLostRelays())
  }

  static create (options: RelayedVmClientsOptions): RelayedVmClients {
    return new RelayedVmClients(options)
  }

  open (entry: VmEntry): VmClient {
    return RelayedVmClient.create(this, this.options.direct, entry)
  }

  dispose (): void {
    this.checkTimer.dispose()
    for (const seq of [...this.pending.keys()]) this.settle(seq, NO_ANSWER)
    this.outboxes.clear()
  }

  /** Returns the relay that makes the calls to a VM, or undefined if this daemon does. */
  findRelay (vmId: string): Relay | undefined {
    const nowMs = this.options.timers.now()
    const relays = this.options.getRelays().filter(({ name }) => nowMs - (this.failedAtMs.get(name) ?? -Infinity) >= relayOptions.retryAfterMs)
    if (relays.length < relayOptions.minRelays) return undefined
    const first = rankByRendezvous(vmId, relays.map(({ name }) => name))[0]
    return relays.find(({ name }) => name === first)
  }

  /** Sends a call through a relay. Its outcome is unknown if no answer comes within `limitMs`, or if the relay is lost. */
  call<T> (relay: Relay, vm: VmEntry, call: VmCall, limitMs: number): Promise<VmAnswer<T>> {
    const { timers } = this.options
    const seq = this.nextSeq++
    return new Promise((resolve) => {
      const limit = timers.after(limitMs, () => {
        this.markFailed(relay.name)
        this.settle(seq, NO_ANSWER)
      })
      this.pending.set(seq, { relay: relay.name, settle: resolve, limit })
      const outbox = this.outboxes.get(relay.name) ?? { relay, calls: [] }
      this.outboxes.set(relay.name, outbox)
      outbox.calls.push({ ...call, seq, vm })
      if (outbox.calls.length === 1) timers.after(relayOptions.callBatchMs, () => this.flush(outbox))
    })
  }

  private flush (outbox: Outbox): void {
    const calls = outbox.calls.filter(({ seq }) => this.pending.has(seq))
    outbox.calls = []
    if (calls.length === 0) return
    this.options.network.send(outbox.relay.address, { kind: PeerMessageKind.VmCalls, owner: this.options.owner, batch: encodeVmCalls(calls) })
  }

  private applyAnswers (batch: Uint8Array): void {
    const answers = decodeVmAnswers(batch)
    if (answers === undefined) this.options.log.write(EventCode.PeerFrameInvalid, { reason: 'answers of VMs of another form' })
    for (const { seq, answer } of answers ?? []) this.settle(seq, answer as VmAnswer<never>)
  }

  private settle (seq: number, answer: VmAnswer<never>): void {
    const pending = this.pending.get(seq)
    if (pending === undefined) return
    this.pending.delete(seq)
    pending.limit.dispose()
    pending.settle(answer)
  }

  /** Ends the calls through relays that no longer answer the owner's heartbeats. */
  private abandonLostRelays (): void {
    if (this.pending.size === 0) return
    const present = new Set(this.options.getRelays().map(({ name }) => name))
    for (const [seq, { relay }] of [...this.pending]) {
      if (!present.has(relay)) this.settle(seq, NO_ANSWER)
    }
  }

  private markFailed (relay: string): void {
    this.failedAtMs.set(relay, this.options.timers.now())
  }
}

/** Client of one VM that passes each call to a relay if there is one. */
class RelayedVmClient implements VmClient {
  private directClient: VmClient | undefined

  private constructor (private readonly clients: RelayedVmClients, private readonly direct: VmClients, private readonly entry: VmEntry) {}

  static create (clients: RelayedVmClients, direct: VmClients, entry: VmEntry): RelayedVmClient {
    return new RelayedVmClient(clients, direct, entry)
  }

  start (call: StartCall): Promise<VmAnswer<void>> {
    return this.callThroughRelay({ kind: VmCallKind.Start, call }, relayOptions.orderTimeoutMs) ?? this.open().start(call)
  }

  stop (call: RunReference): Promise<VmAnswer<void>> {
    return this.callThroughRelay({ kind: VmCallKind.Stop, call }, relayOptions.orderTimeoutMs) ?? this.open().stop(call)
  }

  pace (call: RunReference & { readonly percent: number }): Promise<VmAnswer<void>> {
    return this.callThroughRelay({ kind: VmCallKind.Pace, call }, relayOptions.orderTimeoutMs) ?? this.open().pace(call)
  }

  renew (call: RenewCall): Promise<VmAnswer<VmReport>> {
    return this.callThroughRelay({ kind: VmCallKind.Renew, call }, call.waitMs + relayOptions.orderTimeoutMs) ?? this.open().renew(call)
  }

  dispose (): void {
    this.directClient?.dispose()
  }

  private callThroughRelay<T> (call: VmCall, limitMs: number): Promise<VmAnswer<T>> | undefined {
    const relay = this.clients.findRelay(this.entry.id)
    return relay === undefined ? undefined : this.clients.call<T>(relay, this.entry, call, limitMs)
  }

  private open (): VmClient {
    this.directClient ??= this.direct.open(this.entry)
    return this.directClient
  }
}
