/**
 * Answers the requests that need the store early while the store is silent, and refuses further ones until it answers again.
 */
import type { EventLog, Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import { decideGiveUp, decideStoreAdmission, GiveUpAction, StoreAdmission } from '@vanillathread/policy'
import type { RowStore } from '@vanillathread/ports'
import { clientOptions } from './jobOptions.js'

/** Options of {@link StoreGate.create}. */
export interface StoreGateOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  /** Returns the time on this daemon's clock at which the store last answered the owner, as the owner reported it. */
  getOwnerAnswerAtMs (): number
}

/** Kinds of {@link GateResult}. */
export enum GateResultKind {
  Done = 'done',
  /** Nothing was tried. */
  Refused = 'refused',
  /** The store did not answer. What was sent may still be carried out. */
  GaveUp = 'gave-up',
}

/** Result of a request that needs the store. */
export type GateResult<T> =
  | { readonly kind: GateResultKind.Done, readonly value: T }
  | { readonly kind: GateResultKind.Refused | GateResultKind.GaveUp }

/** Time between two checks beyond which the process was not running meanwhile. */
const MAX_CHECK_GAP_MS = 200

/** Weight of a request that took less time than the recent ones. */
const RECENT_WEIGHT = 1 / 8

/** A request that waits for the store. */
interface WaitingRequest {
  readonly startedAtMs: number
  readonly isProbe: boolean
  readonly unsent: AbortController
  giveUp (): void
}

/**
 * Decides from the requests that wait, not from the time since the last call was answered: a daemon without requests makes few
 * calls, and most of these are long polls.
 */
export class StoreGate {
  /** Requests that wait for the store, the oldest first. */
  private readonly waiting = new Set<WaitingRequest>()
  private timer: Subscription | undefined
  private checkedAtMs = 0
  private skippedCheck = false
  /** Time of the last answer that proves that the store answers although this daemon's client of the store did not record it. */
  private otherAnswerAtMs = -Infinity
  /** Time at which the store began to count as silent, and the start of its silence; undefined while it does not. */
  private closed: { readonly atMs: number, readonly silentSinceMs: number } | undefined
  private refusedCount = 0
  /** Highest recent time from the start of a request to its end by an answer of the store. */
  private recentMs = 0

  private constructor (private readonly options: StoreGateOptions) {}

  static create (options: StoreGateOptions): StoreGate {
    return new StoreGate(options)
  }

  /** Returns true while requests are refused. */
  isClosed (): boolean {
    if (this.closed === undefined) return false
    if (this.getLastAnswerAtMs() <= this.closed.atMs) return true
    this.options.log.write(EventCode.StoreGateChanged, { closed: false, closedForMs: Math.round(this.options.timers.now() - this.closed.atMs), refused: this.refusedCount })
    this.closed = undefined
    this.refusedCount = 0
    return false
  }

  /** Records an answer of the store that its client does not count: through another daemon, or a refusal as it is busy. */
  recordAnswer (): void {
    this.otherAnswerAtMs = this.options.timers.now()
  }

  /**
   * Runs a request, unless the gate is closed.
   *
   * @param work - makes the calls to the store. Once the signal is aborted, it must not send anything more.
   */
  async run<T> (work: (unsent: AbortSignal) => Promise<T>): Promise<GateResult<T>> {
    const admission = decideStoreAdmission({ isSilent: this.isClosed(), isProbing: [...this.waiting].some(({ isProbe }) => isProbe) })
    if (admission === StoreAdmission.Refuse) {
      this.refusedCount += 1
      return { kind: GateResultKind.Refused }
    }
    return new Promise((resolve, reject) => {
      const request: WaitingRequest = {
        startedAtMs: this.options.timers.now(),
        isProbe: admission === StoreAdmission.Probe,
        unsent: new AbortController(),
        giveUp: () => {
          this.remove(request)
          resolve({ kind: GateResultKind.GaveUp })
        },
      }
      this.waiting.add(request)
      if (this.timer === undefined) this.startChecks()
      work(request.unsent.signal).then((value) => {
        this.recordDuration(request)
        resolve({ kind: GateResultKind.Done, value })
      }, reject).finally(() => this.remove(request))
    })
  }

  private recordDuration ({ startedAtMs }: WaitingRequest): void {
    const nowMs = this.options.timers.now()
    // A request that ended without an answer says nothing of the time that answers take.
    if (nowMs - this.getLastAnswerAtMs() > clientOptions.giveUpCheckPeriodMs) return
    const tookMs = nowMs - startedAtMs
    this.recentMs = Math.max(tookMs, this.recentMs + RECENT_WEIGHT * (tookMs - this.recentMs))
  }

  private remove (request: WaitingRequest): void {
    this.waiting.delete(request)
    if (this.waiting.size > 0) return
    this.timer?.dispose()
    this.timer = undefined
  }

  private startChecks (): void {
    const { timers } = this.options
    this.checkedAtMs = timers.now()
    this.timer = timers.every(clientOptions.giveUpCheckPeriodMs, () => { if (!this.isCheckLate()) this.check() })
  }

  /**
   * Returns true if this check is late but the one before it was not, as after a suspension of the VM. Answers that have arrived
   * meanwhile are read before the next check.
   */
  private isCheckLate (): boolean {
    const nowMs = this.options.timers.now()
    this.skippedCheck = !this.skippedCheck && nowMs - this.checkedAtMs > MAX_CHECK_GAP_MS
    this.checkedAtMs = nowMs
    return this.skippedCheck
  }

  private check (): void {
    const nowMs = this.options.timers.now()
    const silentMs = this.getSilentMs()
    for (const request of [...this.waiting]) {
      const action = decideGiveUp({ silentMs, recentMs: this.recentMs, waitedMs: nowMs - request.startedAtMs, isProbe: request.isProbe && this.isClosed() })
      if (action === GiveUpAction.Wait) continue
      this.close(silentMs)
      request.unsent.abort()
      if (action === GiveUpAction.GiveUp) request.giveUp()
    }
  }

  private close (silentMs: number): void {
    if (this.isClosed()) return
    const nowMs = this.options.timers.now()
    this.closed = { atMs: nowMs, silentSinceMs: nowMs - silentMs }
    this.options.log.write(EventCode.StoreGateChanged, { closed: true, silentMs: Math.round(silentMs), waiting: this.waiting.size })
  }

  /** Returns the time for which requests have waited without any proof that the store answers. */
  private getSilentMs (): number {
    const nowMs = this.options.timers.now()
    if (this.isClosed() && this.closed !== undefined) return nowMs - this.closed.silentSinceMs
    const oldest = this.waiting.values().next().value
    return oldest === undefined ? 0 : nowMs - Math.max(oldest.startedAtMs, this.getLastAnswerAtMs())
  }

  private getLastAnswerAtMs (): number {
    const { rows, timers, getOwnerAnswerAtMs } = this.options
    return Math.max(timers.now() - rows.getTimeSinceAnswerMs(), this.otherAnswerAtMs, getOwnerAnswerAtMs())
  }
}
