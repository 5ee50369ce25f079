/**
 * Row store client of an owner that sends calls through other daemons while its own connections to the store fail or stay silent.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode, Result, type Address } from '@vanillathread/model'
import { chooseStorePath, type StorePathState, type StorePeer } from '@vanillathread/policy'
import { StoreFailureKind, type RowCommit, type RowPage, type RowRange, type RowStore, type RowTransaction, type StoreClockReading, type StoreFailure } from '@vanillathread/ports'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { isUnanswered, type StorePath, type StorePathChooser } from './HedgedRowStore.js'
import { storeOptions } from './jobOptions.js'
import { PendingRequests } from './PendingRequests.js'
import { Table } from './rows.js'
import { decodeStoreAnswer, encodeStoreCall, type StoreAnswer, type StoreCall } from './storeCallCodec.js'

/** A daemon that may make calls, with its last report. */
export interface ReportedPeer {
  readonly name: string
  readonly address: Address
  /** Time since the store last answered it, as of now. */
  readonly answerAgoMs: number
}

/** Options of {@link RelayedRowStore.create}. */
export interface RelayedRowStoreOptions {
  /** Client on this daemon's own connections. */
  readonly direct: RowStore
  readonly network: PeerTransport
  readonly timers: TimerService
  readonly log: EventLog
}

type StoreResult<T> = Promise<Result<T, StoreFailure>>

const NO_RELAY_ANSWER = 'no answer from the relay'

/** Offers a path to the store for each attempt. Its own calls go directly. */
export class RelayedRowStore implements RowStore, StorePathChooser {
  /** Returns the daemons that may make calls, or undefined while this daemon owns no shard, so that all calls go directly. */
  listPeers: () => readonly ReportedPeer[] | undefined = () => undefined
  private readonly pendingRequests: PendingRequests<Uint8Array | undefined>
  /** Times from which the answers to the direct calls in flight are awaited, by the calls' numbers. */
  private readonly pending = new Map<number, number>()
  private nextCall = 1
  /** Send time of the earliest direct call that failed without an answer, if the store has answered no direct call since. */
  private failedSinceMs: number | undefined
  /** Times at which calls through peers last got no answer, by name. */
  private readonly failedAtMs = new Map<string, number>()
  /** Send time of the latest call that a peer brought an answer of the store to. */
  private relayedAtMs = -Infinity
  /** The store's clock in such an answer, with the times of the request and of the answer. */
  private clock: { readonly clockMs: number, readonly sentAtMs: number, readonly receivedAtMs: number } | undefined
  private probedAtMs = -Infinity
  /** Send time of the earliest direct call without an answer, and the time at which an attempt first found it so. */
  private noticed: { readonly sinceMs: number, readonly atMs: number } | undefined
  /** True while first attempts go through peers. */
  private isRelaying = false

  private constructor (private readonly options: RelayedRowStoreOptions) {
    this.pendingRequests = PendingRequests.create(options.timers)
    options.network.on(PeerMessageKind.StoreAnswer, ({ seq, answer }) => { this.pendingRequests.settle(seq, answer) })
  }

  static create (options: RelayedRowStoreOptions): RelayedRowStore {
    return new RelayedRowStore(options)
  }

  choosePath (earlier: ReadonlyArray<string | undefined>, overdueAfterMs: number): StorePath {
    const peers = this.listPeers() ?? []
    const name = peers.length === 0 ? undefined : chooseStorePath({ ...this.getDirectState(), overdueAfterMs, peers: peers.map((peer) => this.describe(peer)), earlier })
    const peer = peers.find((each) => each.name === name)
    if (earlier.length === 0) this.recordFirstPath(peer?.name)
    if (peer === undefined) return { name: undefined, rows: this }
    this.probe()
    return { name, rows: this.createRelayed(peer) }
  }

  transact (transaction: RowTransaction): StoreResult<RowCommit> {
    return this.track(this.options.direct.transact(transaction))
  }

  readRange (range: RowRange): StoreResult<RowPage> {
    return this.track(this.options.direct.readRange(range), range.bulk === true ? storeOptions.bulkReadMs : 0)
  }

  readFeed (table: string, afterVersion: number, waitMs: number): StoreResult<RowPage> {
    return this.track(this.options.direct.readFeed(table, afterVersion, waitMs), waitMs)
  }

  getStoreClockMs (): number {
    const { clock, options: { direct, timers } } = this
    if (clock === undefined || timers.now() - clock.receivedAtMs >= direct.getTimeSinceAnswerMs()) return direct.getStoreClockMs()
    return clock.clockMs + timers.now() - clock.receivedAtMs
  }

  /** Returns the reading whose request was sent last. Through a peer, the reading counts from the time at which this daemon sent the call. */
  getStoreClockReading (): StoreClockReading | undefined {
    const { clock, options: { direct, timers } } = this
    const reading = direct.getStoreClockReading()
    const relayed = clock === undefined ? undefined : { clockMs: clock.clockMs, sentAgoMs: timers.now() - clock.sentAtMs }
    return reading === undefined || (relayed !== undefined && relayed.sentAgoMs < reading.sentAgoMs) ? relayed : reading
  }

  /** Returns the time since the store answered this daemon, or since it sent a call that the store answered a peer while it owns a shard. */
  getTimeSinceAnswerMs (): number {
    const directMs = this.options.direct.getTimeSinceAnswerMs()
    return this.listPeers() === undefined ? directMs : Math.min(directMs, this.options.timers.now() - this.relayedAtMs)
  }

  /** Waits for a direct call and records whether it was answered. The wait of a long poll and the transfer of a large page do not count as time without an answer. */
  private async track<T> (call: StoreResult<T>, waitMs = 0): StoreResult<T> {
    const { timers } = this.options
    const number = this.nextCall++
    const awaitedFromMs = timers.now() + waitMs
    this.pending.set(number, awaitedFromMs)
    const res = await call
    this.pending.delete(number)
    if (!res.ok && isUnanswered(res.error)) {
      const sinceMs = Math.min(awaitedFromMs, timers.now())
      if (sinceMs >= this.answeredAtMs && (this.failedSinceMs ?? -Infinity) < this.answeredAtMs) this.failedSinceMs = sinceMs
    }
    return res
  }

  private getDirectState (): Pick<StorePathState, 'directUnansweredMs' | 'noticedAgoMs' | 'directFailed'> {
    const { answeredAtMs, failedSinceMs = -Infinity } = this
    const nowMs = this.options.timers.now()
    const directFailed = failedSinceMs >= answeredAtMs
    const sinceMs = Math.min(directFailed ? failedSinceMs : Infinity, ...[...this.pending.values()].filter((atMs) => atMs >= answeredAtMs))
    if (sinceMs > nowMs) return { directUnansweredMs: undefined, noticedAgoMs: 0, directFailed }
    if (this.noticed?.sinceMs !== sinceMs) this.noticed = { sinceMs, atMs: nowMs }
    return { directUnansweredMs: nowMs - sinceMs, noticedAgoMs: nowMs - this.noticed.atMs, directFailed }
  }

  /** Time at which the store last answered a direct call. */
  private get answeredAtMs (): number {
    return this.options.timers.now() - this.options.direct.getTimeSinceAnswerMs()
  }

  private describe ({ name, answerAgoMs }: ReportedPeer): StorePeer {
    return { name, answerAgoMs, failedAgoMs: this.options.timers.now() - (this.failedAtMs.get(name) ?? -Infinity) }
  }

  private recordFirstPath (peer: string | undefined): void {
    if (this.isRelaying === (peer !== undefined)) return
    this.isRelaying = peer !== undefined
    this.options.log.write(EventCode.StorePathChanged, { path: peer ?? 'own connections', silentMs: Math.round(this.options.direct.getTimeSinceAnswerMs()) })
  }

  /** Reads a range without rows directly now and then, as nothing else may show that the direct path answers again. */
  private probe (): void {
    const nowMs = this.options.timers.now()
    if (nowMs - this.probedAtMs < storeOptions.probePeriodMs) return
    this.probedAtMs = nowMs
    this.readRange({ table: Table.Shards, part: '', limit: 1 })
  }

  private createRelayed (peer: ReportedPeer): StorePath['rows'] {
    return {
      transact: async (transaction) => {
        const answer = await this.relay(peer, { transact: { conditions: transaction.conditions.map(({ table, part, key, version }) => ({ table, part, key, version })), puts: [...transaction.puts], removes: [...transaction.removes] } })
        if (answer !== undefined && 'commit' in answer) return Result.ok(answer.commit)
        return Result.err(toFailure(answer, StoreFailureKind.Unknown))
      },
      readRange: async (range) => toPage(await this.relay(peer, { range })),
      readFeed: async (table, afterVersion, waitMs) => {
        const res = toPage(await this.relay(peer, { feed: { table, afterVersion } }))
        // The caller of a long poll calls again at once.
        if (res.ok && res.value.rows.length === 0) await delay(this.options.timers, Math.min(waitMs, storeOptions.relayedFeedPeriodMs))
        return res
      },
    }
  }

  /** Sends a call through a peer. Returns undefined if no valid answer comes in time. */
  private async relay ({ name, address }: ReportedPeer, call: StoreCall): Promise<StoreAnswer['outcome'] | undefined> {
    const { network, timers } = this.options
    const sentAtMs = timers.now()
    const encoded = await this.pendingRequests.request(
      (seq) => network.send(address, { kind: PeerMessageKind.StoreCall, seq, call: encodeStoreCall(call) }), storeOptions.relayAnswerMs, undefined)
    const answer = encoded === undefined ? undefined : decodeStoreAnswer(encoded)
    if (answer === undefined || isUnansweredOutcome(answer.outcome)) {
      this.failedAtMs.set(name, timers.now())
      return answer?.outcome
    }
    if (!('failure' in answer.outcome)) this.relayedAtMs = Math.max(this.relayedAtMs, sentAtMs)
    if (answer.clockMs !== undefined && sentAtMs >= (this.clock?.sentAtMs ?? -Infinity)) this.clock = { clockMs: answer.clockMs, sentAtMs, receivedAtMs: timers.now() }
    return answer.outcome
  }
}

function isUnansweredOutcome (outcome: StoreAnswer['outcome']): boolean {
  return 'failure' in outcome && isUnanswered({ kind: outcome.failure, reason: outcome.reason, unanswered: outcome.unanswered })
}

function toPage (outcome: StoreAnswer['outcome'] | undefined): Result<RowPage, StoreFailure> {
  return outcome !== undefined && 'page' in outcome ? Result.ok(outcome.page) : Result.err(toFailure(outcome, StoreFailureKind.NotDone))
}

/** @param lost - kind of the failure if no answer came, or one to another call. */
function toFailure (outcome: StoreAnswer['outcome'] | undefined, lost: StoreFailureKind.NotDone | StoreFailureKind.Unknown): StoreFailure {
  if (outcome !== undefined && 'conflict' in outcome) return { kind: StoreFailureKind.Conflict, rows: outcome.conflict }
  if (outcome !== undefined && 'failure' in outcome) return { kind: outcome.failure, reason: outcome.reason, busy: outcome.busy, unanswered: outcome.unanswered }
  return { kind: lost, reason: NO_RELAY_ANSWER, unanswered: true }
}
