/**
 * A daemon's view of the slots of one service that it may use.
 */
import type { CreditGrant, CreditReport } from './credits.js'
import { getTotal } from './slotCounts.js'
import type { SlotSource } from './SlotSource.js'

/** Options of {@link CreditHolder.create}. @public */
export interface CreditHolderOptions {
  readonly daemonId: string
  readonly zone: string
  /** Time after which a grant that was not renewed is no longer used. */
  readonly creditTtlMs: number
}

/** Uses lent slots without exceeding the lender's limits. @public */
export class CreditHolder implements SlotSource {
  private readonly inUse = new Map<string, number>()
  private limits: ReadonlyMap<string, number> = new Map()
  private ackSeq = 0
  private renewedMs = Number.NEGATIVE_INFINITY

  private constructor (private readonly options: CreditHolderOptions) {}

  static create (options: CreditHolderOptions): CreditHolder {
    return new CreditHolder(options)
  }

  /** Returns how many more attempts may start on an endpoint. */
  getFree (endpointId: string, nowMs: number): number {
    if (!this.isValid(nowMs)) return 0
    return Math.max(0, (this.limits.get(endpointId) ?? 0) - this.getInUse(endpointId))
  }

  /** Returns how many attempts are in flight on an endpoint. */
  getInUse (endpointId: string): number {
    return this.inUse.get(endpointId) ?? 0
  }

  /** Returns the limit of the latest grant. */
  getLimit (endpointId: string): number {
    return this.limits.get(endpointId) ?? 0
  }

  /** Sum of the limits in force. */
  getTotalLimit (nowMs: number): number {
    if (!this.isValid(nowMs)) return 0
    return getTotal(this.limits)
  }

  /** Sum of the attempts in flight. */
  getTotalInUse (): number {
    return getTotal(this.inUse)
  }

  /** Returns true where more attempts are in flight than the limits allow, so that slots are still to be returned. */
  isOverLimit (): boolean {
    for (const [endpointId, count] of this.inUse) {
      if (count > this.getLimit(endpointId)) return true
    }
    return false
  }

  /** Takes a slot for one attempt. @returns false where none is free. */
  acquire (endpointId: string, nowMs: number): boolean {
    if (this.getFree(endpointId, nowMs) === 0) return false
    this.inUse.set(endpointId, this.getInUse(endpointId) + 1)
    return true
  }

  /** Returns the slot of an attempt that the endpoint no longer works on. */
  release (endpointId: string): void {
    const left = this.getInUse(endpointId) - 1
    if (left > 0) this.inUse.set(endpointId, left)
    else this.inUse.delete(endpointId)
  }

  /** Applies a grant. Grants that arrive out of order are dropped. */
  applyGrant (grant: CreditGrant): void {
    if (grant.seq <= this.ackSeq) return
    this.ackSeq = grant.seq
    this.limits = grant.limits
  }

  /**
   * Notes that the lender has answered a report.
   *
   * @param reportSentMs - when the report was sent, so that the holder's expiry is never later than the lender's.
   */
  renew (reportSentMs: number): void {
    this.renewedMs = Math.max(this.renewedMs, reportSentMs)
  }

  /** Returns true while the credits may be used. */
  isValid (nowMs: number): boolean {
    return nowMs - this.renewedMs < this.options.creditTtlMs
  }

  /**
   * Builds the report for the lender. Expired limits are dropped first, so that they are not reported as held.
   *
   * @param queued - requests that wait for a slot.
   */
  createReport (queued: number, nowMs: number): CreditReport {
    if (!this.isValid(nowMs)) this.limits = new Map()
    const held = new Map(this.limits)
    for (const [endpointId, count] of this.inUse) held.set(endpointId, Math.max(count, held.get(endpointId) ?? 0))
    return {
      daemonId: this.options.daemonId,
      zone: this.options.zone,
      demand: queued + this.getTotalInUse(),
      ackSeq: this.ackSeq,
      held,
    }
  }
}
