/**
 * What a daemon observes of a shard's owner, from which it suspects the owner.
 */
import type { TimerService } from '@vanillathread/kernel'
import { shardOptions } from './jobOptions.js'
import type { StoreHeartbeat } from './OwnerRecord.js'
import { hasPreviousOwnerEnded, type TakeoverReason } from './TakeoverReason.js'

/** Observations of one shard's owner. Times are on this daemon's steady clock. */
export class OwnerWatch {
  /**
   * Time of the owner's last heartbeat, or the time at which this daemon started, learned of the owner or stepped down,
   * whichever is latest.
   */
  private heartbeatAtMs: number
  /** Time for which the store had not answered the owner, as of its last heartbeat. */
  private storeSilentMs = 0
  /** Time at which the store last answered the owner, by the owner's heartbeats. */
  private storeAnswerAtMs = -Infinity
  /** Time at which this daemon learned of the current owner. */
  private knownSinceMs = -Infinity
  /** Time since which this daemon knows that the shard has no owner. */
  private vacantSinceMs: number | undefined
  /** Version of a suspected owner's store heartbeat, and the time at which it was first read. */
  private storeHeartbeat: { version: number, sinceMs: number } | undefined
  private checkedAtMs = 0
  /** Number of takeovers before the last one that this daemon has read from the store, and the time of the first such read. */
  private generation: { readonly number: number, readonly sinceMs: number } | undefined

  private constructor (private readonly timers: TimerService) {
    this.heartbeatAtMs = timers.now()
  }

  static create (timers: TimerService): OwnerWatch {
    return new OwnerWatch(timers)
  }

  /** Records that this daemon has learned of a new owner, or that the shard has none. */
  recordNewOwner (): void {
    this.knownSinceMs = this.timers.now()
    this.recordHeartbeat(0)
    this.storeHeartbeat = undefined
    this.vacantSinceMs = undefined
  }

  /** Records the generation in an owner row from the store. A released row keeps that of its former owner. */
  recordGeneration (number: number): void {
    if (this.generation?.number !== number) this.generation = { number, sinceMs: this.timers.now() }
  }

  /**
   * Returns the time after a takeover for which a superseded owner may still extend leases: none once the previous owner has
   * ended, and those before it have been superseded for long enough.
   */
  getPreviousOwnerRenewalMs (reason: TakeoverReason): number {
    const { previousOwnerRenewalMs } = shardOptions
    if (!hasPreviousOwnerEnded(reason) || this.generation === undefined) return previousOwnerRenewalMs
    return Math.max(0, previousOwnerRenewalMs - (this.timers.now() - this.generation.sinceMs))
  }

  /** @param storeSilentMs - time for which the store has not answered the owner. */
  recordHeartbeat (storeSilentMs: number): void {
    this.heartbeatAtMs = this.timers.now()
    this.storeSilentMs = storeSilentMs
  }

  /** Records the time for which the store has not answered the owner, as the owner reports it. */
  recordStoreReport (storeSilentMs: number): void {
    this.storeAnswerAtMs = Math.max(this.storeAnswerAtMs, this.timers.now() - storeSilentMs)
  }

  /** Time at which the store last answered the owner, or an earlier one; -Infinity if no owner has reported any. */
  get ownerStoreAnswerAtMs (): number {
    return this.storeAnswerAtMs
  }

  /** Records that this daemon was the owner until now, so that it gives the next owner the time until its first heartbeat. */
  recordStepDown (): void {
    this.heartbeatAtMs = this.timers.now()
  }

  /** Time for which the store had not answered the owner, as of its last heartbeat, in milliseconds. */
  get ownerStoreSilentMs (): number {
    return this.storeSilentMs
  }

  get sinceHeartbeatMs (): number {
    return this.timers.now() - this.heartbeatAtMs
  }

  /** Returns the time for which this daemon has seen the shard without an owner. */
  getVacantForMs (): number {
    this.vacantSinceMs ??= this.timers.now()
    return this.timers.now() - this.vacantSinceMs
  }

  /** Records that the shard has an owner. */
  recordOccupied (): void {
    this.vacantSinceMs = undefined
  }

  /** Returns true if the store has not answered the owner for too long. */
  isStoreOverdue (): boolean {
    return this.storeSilentMs >= shardOptions.ownerStoreSilentMs * this.timeoutFactor
  }

  /** True while a suspicion has not yet led to a read of the store heartbeat. */
  get isNewSuspicion (): boolean {
    return this.storeHeartbeat === undefined
  }

  /** Returns true at most once in each period, if a suspected owner is to be checked now. */
  beginCheck (): boolean {
    const nowMs = this.timers.now()
    if (nowMs - this.checkedAtMs < shardOptions.suspectCheckPeriodMs) return false
    this.checkedAtMs = nowMs
    return true
  }

  endSuspicion (): void {
    this.storeHeartbeat = undefined
  }

  /** Applies a read of the owner's store heartbeat, and returns true if it has been still for its time limit and `extraMs`. */
  isStoreHeartbeatOverdue ({ version, ageMs }: StoreHeartbeat, extraMs: number): boolean {
    const nowMs = this.timers.now()
    if (this.storeHeartbeat?.version !== version) this.storeHeartbeat = { version, sinceMs: nowMs }
    return Math.max(ageMs, nowMs - this.storeHeartbeat.sinceMs) >= shardOptions.storeHeartbeatTimeoutMs * this.timeoutFactor + extraMs
  }

  /**
   * Factor on the timeouts for reaching the store. It is higher for a new owner, as reading the whole shard may delay its
   * store heartbeats.
   */
  private get timeoutFactor (): number {
    return this.timers.now() - this.knownSinceMs < shardOptions.newOwnerMs ? shardOptions.newOwnerTimeoutFactor : 1
  }
}
