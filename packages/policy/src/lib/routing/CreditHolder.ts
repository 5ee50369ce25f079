/**
 * The slots of one service that a daemon may use, as granted by the lender.
 */
import type { CreditGrant, CreditReport } from './credits.js'
import { sumCounts } from './slotCounts.js'
import type { SlotSource } from './SlotSource.js'

/** Options of {@link CreditHolder.create}. @public */
export interface CreditHolderOptions {
  readonly daemonId: string
  readonly zone: string
  /** Time after which the holder no longer uses a grant that was not renewed. */
  readonly creditTtlMs: number
}

/** Keeps the attempts in flight of one daemon within the limits that the lender granted. @public */
export class CreditHolder implements SlotSource {
  private readonly inUse = new Map<string, number>()
  private limits: ReadonlyMap<string, number> = new Map()
  private ackSeq = 0
  /** Send time of the latest report that the lender has answered. */
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

  /** Returns the limit for an endpoint from the latest grant. */
  getLimit (endpointId: string): number {
    return this.limits.get(endpointId) ?? 0
  }

  /** Returns the sum of the limits, or 0 if the credits have expired. */
  getTotalLimit (nowMs: number): number {
    if (!this.isValid(nowMs)) return 0
    return sumCounts(this.limits)
  }

  /** Returns the number of attempts in flight on all endpoints. */
  getTotalInUse (): number {
    return sumCounts(this.inUse)
  }

  /** Returns true if more attempts are in flight on an endpoint than its limit allows, so that slots must still be returned. */
  isOverLimit (): boolean {
    for (const [endpointId, count] of this.inUse) {
      if (count > this.getLimit(endpointId)) return true
    }
    return false
  }

  /** Takes a slot for one attempt. @returns false if none is free. */
  acquire (endpointId: string, nowMs: number): boolean {
    if (this.getFree(endpointId, nowMs) === 0) return false
    this.inUse.set(endpointId, this.getInUse(endpointId) + 1)
    return true
  }

  /** Frees the slot of an attempt that the endpoint no longer works on. */
  release (endpointId: string): void {
    const remaining = this.getInUse(endpointId) - 1
    if (remaining > 0) this.inUse.set(endpointId, remaining)
    else this.inUse.delete(endpointId)
  }

  /** Applies a grant, unless a later one was applied already. */
  applyGrant (grant: CreditGrant): void {
    if (grant.seq <= this.ackSeq) return
    this.ackSeq = grant.seq
    this.limits = grant.limits
  }

  /**
   * Renews the credits after the lender has answered a report.
   *
   * @param reportSentMs - time at which the report was sent. The credits expire relative to this time, so that they
   * never expire later at the holder than at the lender.
   */
  renew (reportSentMs: number): void {
    this.renewedMs = Math.max(this.renewedMs, reportSentMs)
  }

  /** Returns true if the credits have not expired. */
  isValid (nowMs: number): boolean {
    return nowMs - this.renewedMs < this.options.creditTtlMs
  }

  /**
   * Builds the report for the lender. Expired limits are removed first, so that they are not reported as held.
   *
   * @param queued - number of requests that wait for a slot.
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
