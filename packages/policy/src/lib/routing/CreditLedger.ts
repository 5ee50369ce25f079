/**
 * The lender's account of one service's slots.
 *
 * The ledger never lets the slots that holders may be using exceed an endpoint's slots: a slot
 * counts as committed from the grant that raises a limit until the holder has acknowledged a
 * lower limit, or until the holder has been silent for so long that its credits have expired
 * and its last attempts have timed out.
 */
import { allocateSlots, type SlotHolder } from './allocateSlots.js'
import type { CreditGrant, CreditReport, LentEndpoint } from './credits.js'
import { isSameCounts, raiseBy, setCount } from './slotCounts.js'

/** Options of {@link CreditLedger.create}. @public */
export interface CreditLedgerOptions {
  /** Time after which a holder stops using a grant that was not renewed. */
  readonly creditTtlMs: number
  /** Longest time for which an attempt occupies a slot. */
  readonly attemptHoldMs: number
}

interface Holder extends SlotHolder {
  zone: string
  demand: number
  seq: number
  ackSeq: number
  lastHeardMs: number
  /** Slots that the holder may be using. */
  readonly committed: Map<string, number>
}

interface Takeover {
  readonly settledFromMs: number
  /** Slots that holders brought along, by endpoint. */
  readonly reported: Map<string, number>
}

/** Accounts for lent slots of one service. @public */
export class CreditLedger {
  private readonly holders = new Map<string, Holder>()
  private endpoints: readonly LentEndpoint[] = []
  private reach = { heard: 1, listed: 1 }
  /** Daemons that may hold slots of an earlier lender, with the time at which those have expired. */
  private readonly expected = new Map<string, number>()
  /** Present after a takeover, until nothing lent by an earlier lender can be unknown any more. */
  private takeover: Takeover | undefined

  private constructor (private readonly options: CreditLedgerOptions) {}

  static create (options: CreditLedgerOptions): CreditLedger {
    return new CreditLedger(options)
  }

  /** Sets the endpoints that may be lent. Slots of others are reclaimed. */
  setEndpoints (endpoints: readonly LentEndpoint[]): void {
    this.endpoints = endpoints
  }

  /**
   * Sets the share of each endpoint's slots that may be lent: the daemons heard of all daemons listed.
   * While daemons cannot hear each other, lenders on both sides together stay within the slots.
   */
  setReach (reach: { heard: number, listed: number }): void {
    this.reach = reach
  }

  /**
   * Names a daemon that may hold slots from an earlier lender. Until it has reported, or whatever it
   * held has expired, it does not count as heard when free slots are lent.
   */
  expectReport (daemonId: string, nowMs: number): void {
    if (this.holders.has(daemonId) || this.expected.has(daemonId)) return
    this.expected.set(daemonId, nowMs + this.getHoldMs())
  }

  /**
   * Notes that another daemon was the lender. Slots that no holder has reported count as used until
   * every expected daemon has reported, and not before a time by which unknown holders have become known.
   */
  takeOver (settledFromMs: number): void {
    this.takeover = { settledFromMs, reported: new Map() }
  }

  /** Takes in a holder's report. */
  report (report: CreditReport, nowMs: number): void {
    this.expected.delete(report.daemonId)
    if (!this.holders.has(report.daemonId)) this.noteTakenOver(report)
    const holder = this.holders.get(report.daemonId) ?? this.addHolder(report, nowMs)
    holder.zone = report.zone
    holder.demand = report.demand
    holder.ackSeq = report.ackSeq
    holder.lastHeardMs = nowMs
    const current = report.ackSeq === holder.seq
    const endpointIds = new Set([...holder.committed.keys(), ...report.held.keys()])
    for (const endpointId of endpointIds) {
      const held = report.held.get(endpointId) ?? 0
      // A holder that let its credits expire holds less than it was granted, and gets them anew.
      if (current) setCount(holder.limits, endpointId, Math.min(held, holder.limits.get(endpointId) ?? 0))
      const limit = holder.limits.get(endpointId) ?? 0
      // A report that predates the latest grant cannot free what that grant may have lowered or raised.
      const before = current ? 0 : holder.committed.get(endpointId) ?? 0
      setCount(holder.committed, endpointId, Math.max(held, limit, before))
    }
  }

  /** Returns true where a holder has reported. */
  hasHolder (daemonId: string): boolean {
    return this.holders.has(daemonId)
  }

  /** Notes that a holder is alive and that its last report still holds. */
  touch (daemonId: string, nowMs: number): void {
    const holder = this.holders.get(daemonId)
    if (holder !== undefined) holder.lastHeardMs = nowMs
  }

  /** Forgets a holder that has returned everything and is leaving. */
  release (daemonId: string): void {
    this.holders.delete(daemonId)
    this.expected.delete(daemonId)
  }

  /** Frees the slots of holders that have been silent past their credits and attempts. */
  expire (nowMs: number): void {
    for (const holder of this.holders.values()) {
      if (nowMs - holder.lastHeardMs >= this.getHoldMs()) this.holders.delete(holder.daemonId)
    }
    for (const [daemonId, untilMs] of this.expected) {
      if (nowMs >= untilMs) this.expected.delete(daemonId)
    }
  }

  /** Returns the slots of an endpoint that holders may be using. */
  getCommitted (endpointId: string): number {
    let sum = 0
    for (const holder of this.holders.values()) sum += holder.committed.get(endpointId) ?? 0
    return sum
  }

  /** Returns the slots that all holders heard lately want. */
  getDemand (nowMs: number): number {
    return [...this.holders.values()].filter((holder) => this.isActive(holder, nowMs)).reduce((sum, { demand }) => sum + demand, 0)
  }

  /** Returns the latest grant of a holder that has not acknowledged it, so that a lost grant is sent again. */
  getUnacknowledged (daemonId: string): CreditGrant | undefined {
    const holder = this.holders.get(daemonId)
    if (holder === undefined || holder.ackSeq === holder.seq) return undefined
    return { seq: holder.seq, limits: new Map(holder.limits) }
  }

  /**
   * Decides new limits.
   *
   * @param nowMs - monotonic time.
   * @returns the grants that changed, by daemon. Each must be sent to its holder.
   */
  allocate (nowMs: number): Map<string, CreditGrant> {
    const active = [...this.holders.values()].filter((holder) => this.isActive(holder, nowMs))
    const before = new Map(active.map((holder) => [holder, new Map(holder.limits)]))
    for (const holder of active) this.capToLentSlots(holder, active)
    allocateSlots(active, {
      endpoints: this.endpoints,
      total: this.endpoints.reduce((sum, endpoint) => sum + this.getLentSlots(endpoint), 0),
      free: this.getFreeSlots(nowMs),
      pendingReturns: this.getPendingReturns(),
    })
    return this.issueChanged(before)
  }

  private noteTakenOver (report: CreditReport): void {
    if (this.takeover === undefined) return
    for (const [endpointId, held] of report.held) raiseBy(this.takeover.reported, endpointId, held)
  }

  private getHoldMs (): number {
    return this.options.creditTtlMs + this.options.attemptHoldMs
  }

  private isActive (holder: Holder, nowMs: number): boolean {
    return nowMs - holder.lastHeardMs < this.options.creditTtlMs
  }

  private addHolder (report: CreditReport, nowMs: number): Holder {
    const holder: Holder = {
      daemonId: report.daemonId,
      zone: report.zone,
      demand: report.demand,
      // Numbers continue from what the holder knows, so that a new lender's grants are newer.
      seq: report.ackSeq,
      ackSeq: report.ackSeq,
      lastHeardMs: nowMs,
      limits: new Map(report.held),
      committed: new Map(),
    }
    this.holders.set(holder.daemonId, holder)
    return holder
  }

  /** @param unheard - daemons of the reach that have not reported yet. */
  private getLentSlots (endpoint: LentEndpoint, unheard = 0): number {
    const share = Math.min(1, (this.reach.heard - unheard) / Math.max(1, this.reach.listed))
    return Math.max(1, Math.floor(endpoint.slots * share))
  }

  /** Lowers limits on endpoints that are no longer lent or are lent too far. */
  private capToLentSlots (holder: Holder, active: readonly Holder[]): void {
    const byId = new Map(this.endpoints.map((endpoint) => [endpoint.endpointId, endpoint]))
    for (const [endpointId, limit] of [...holder.limits]) {
      const endpoint = byId.get(endpointId)
      const excess = endpoint === undefined ? limit : getLimitSum(active, endpointId) - this.getLentSlots(endpoint)
      if (excess > 0) setCount(holder.limits, endpointId, Math.max(0, limit - excess))
    }
  }

  private getFreeSlots (nowMs: number): Map<string, number> {
    if (this.takeover !== undefined && this.expected.size === 0 && nowMs >= this.takeover.settledFromMs) this.takeover = undefined
    return new Map(this.endpoints.map((endpoint) => [endpoint.endpointId, this.getFree(endpoint, nowMs)]))
  }

  /** Slots that an earlier lender may have lent to daemons that have not reported. */
  private getUnknown (endpoint: LentEndpoint): number {
    if (this.takeover === undefined) return 0
    return Math.max(0, endpoint.slots - (this.takeover.reported.get(endpoint.endpointId) ?? 0))
  }

  /**
   * The share that may be lent counts for the holders that are heard. What silent holders may still use
   * counts against all slots, as their part of the share is not lent by this daemon any more.
   */
  private getFree (endpoint: LentEndpoint, nowMs: number): number {
    let heard = 0
    let all = 0
    for (const holder of this.holders.values()) {
      const use = Math.max(holder.committed.get(endpoint.endpointId) ?? 0, holder.limits.get(endpoint.endpointId) ?? 0)
      all += use
      if (this.isActive(holder, nowMs)) heard += use
    }
    // After a takeover the slots of unheard daemons are among the unknown ones already.
    const lendable = this.getLentSlots(endpoint, this.takeover === undefined ? this.expected.size : 0)
    return Math.max(0, Math.min(lendable - heard, endpoint.slots - all - this.getUnknown(endpoint)))
  }

  /** Slots that holders were told to return and have not yet returned. */
  private getPendingReturns (): number {
    let sum = 0
    for (const { committed, limits } of this.holders.values()) {
      for (const [endpointId, count] of committed) sum += Math.max(0, count - (limits.get(endpointId) ?? 0))
    }
    return sum
  }

  private issueChanged (before: ReadonlyMap<Holder, ReadonlyMap<string, number>>): Map<string, CreditGrant> {
    const grants = new Map<string, CreditGrant>()
    for (const [holder, earlier] of before) {
      if (isSameCounts(earlier, holder.limits)) continue
      holder.seq += 1
      for (const [endpointId, limit] of holder.limits) {
        setCount(holder.committed, endpointId, Math.max(limit, holder.committed.get(endpointId) ?? 0))
      }
      grants.set(holder.daemonId, { seq: holder.seq, limits: new Map(holder.limits) })
    }
    return grants
  }
}

function getLimitSum (holders: readonly Holder[], endpointId: string): number {
  return holders.reduce((sum, holder) => sum + (holder.limits.get(endpointId) ?? 0), 0)
}
