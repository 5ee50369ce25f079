/**
 * The lender's account of one service's slots.
 *
 * The ledger ensures that the slots that holders may be using never exceed an endpoint's slots. A slot counts
 * as committed from the grant that raises a limit. It is freed when the holder has acknowledged a lower limit,
 * or when the holder has been unresponsive until its credits expired and its last attempts timed out.
 */
import { allocateSlots, type SlotHolder } from './allocateSlots.js'
import { LendableSlots, type LendingMember } from './LendableSlots.js'
import type { CreditGrant, CreditReport, LendableEndpoint } from './credits.js'
import { areCountsEqual, addToCount, setCount } from './slotCounts.js'

/** Options of {@link CreditLedger.create}. @public */
export interface CreditLedgerOptions {
  /** Time after which a holder no longer uses a grant that was not renewed. */
  readonly creditTtlMs: number
  /** Maximum time for which an attempt occupies a slot. */
  readonly maxSlotHoldMs: number
}

interface Holder extends SlotHolder {
  zone: string
  demand: number
  /** Sequence number of the latest grant. */
  seq: number
  /** Sequence number of the latest grant that the holder has acknowledged. */
  ackSeq: number
  /** Time of the holder's latest report, or of a later message that confirmed it. */
  lastContactMs: number
  /** Slots by endpoint that the holder may be using. */
  readonly committed: Map<string, number>
}

interface Takeover {
  /** Time before which the takeover does not end, as some holders may not be known yet. */
  readonly settledFromMs: number
  /** Slots by endpoint that holders had from an earlier lender, according to their first reports. */
  readonly reported: Map<string, number>
}

/** Keeps account of the lent slots of one service and decides the limits of its holders. @public */
export class CreditLedger {
  private readonly holders = new Map<string, Holder>()
  private endpoints: readonly LendableEndpoint[] = []
  private readonly lendable = LendableSlots.create()
  /** Daemons that may hold slots from an earlier lender, with the time at which these slots have expired. */
  private readonly expectedReports = new Map<string, number>()
  /** Set from the start of a takeover until all slots lent by an earlier lender are known or have expired. */
  private takeover: Takeover | undefined

  private constructor (private readonly options: CreditLedgerOptions) {}

  static create (options: CreditLedgerOptions): CreditLedger {
    return new CreditLedger(options)
  }

  /** Sets the endpoints whose slots may be lent. Slots of other endpoints are reclaimed. */
  setEndpoints (endpoints: readonly LendableEndpoint[]): void {
    this.endpoints = endpoints
    this.lendable.keepOnly(endpoints)
  }

  /**
   * Sets the listed daemons, this one included. Only the parts of those that are not suspected are lent: during a network
   * partition there may be a lender on each side. Without any daemon, all slots are lent.
   */
  setMembers (members: readonly LendingMember[]): void {
    this.lendable.setMembers(members)
  }

  /**
   * Adds a daemon that may hold slots from an earlier lender. Until it has reported or these slots have expired,
   * it counts as suspected when free slots are lent.
   */
  expectReport (daemonId: string, nowMs: number): void {
    if (this.holders.has(daemonId) || this.expectedReports.has(daemonId)) return
    this.expectedReports.set(daemonId, nowMs + this.getReclaimDelayMs())
  }

  /**
   * Starts a takeover from another lender. Slots that no holder has reported count as used until each expected
   * daemon has reported or its slots have expired, and at least until `settledFromMs`.
   *
   * @param settledFromMs - time by which the holders that are unknown at first have become known.
   */
  startTakeover (settledFromMs: number): void {
    this.takeover = { settledFromMs, reported: new Map() }
  }

  /** Applies a holder's report. */
  applyReport (report: CreditReport, nowMs: number): void {
    this.expectedReports.delete(report.daemonId)
    if (!this.holders.has(report.daemonId)) this.recordTakenOverSlots(report)
    const holder = this.holders.get(report.daemonId) ?? this.addHolder(report, nowMs)
    holder.zone = report.zone
    holder.demand = report.demand
    holder.ackSeq = report.ackSeq
    holder.lastContactMs = nowMs
    const isCurrent = report.ackSeq === holder.seq
    const endpointIds = new Set([...holder.committed.keys(), ...report.held.keys()])
    for (const endpointId of endpointIds) {
      const held = report.held.get(endpointId) ?? 0
      // If its credits have expired, a holder holds less than it was granted. Its limits are lowered, so that they are granted again.
      if (isCurrent) setCount(holder.limits, endpointId, Math.min(held, holder.limits.get(endpointId) ?? 0))
      const limit = holder.limits.get(endpointId) ?? 0
      // A report that does not acknowledge the latest grant frees no slots, as that grant may have changed the limits.
      const stillCommitted = isCurrent ? 0 : holder.committed.get(endpointId) ?? 0
      setCount(holder.committed, endpointId, Math.max(held, limit, stillCommitted))
    }
  }

  /** Returns true if the daemon is a holder, that is, it has reported. */
  hasHolder (daemonId: string): boolean {
    return this.holders.has(daemonId)
  }

  /** Records that a holder is alive and that its last report is still valid. */
  recordContact (daemonId: string, nowMs: number): void {
    const holder = this.holders.get(daemonId)
    if (holder !== undefined) holder.lastContactMs = nowMs
  }

  /** Removes a holder that is leaving and has returned all slots. */
  removeHolder (daemonId: string): void {
    this.holders.delete(daemonId)
    this.expectedReports.delete(daemonId)
  }

  /** Frees the slots of holders that have been unresponsive until their credits expired and their attempts timed out. */
  removeExpiredHolders (nowMs: number): void {
    for (const holder of this.holders.values()) {
      if (nowMs - holder.lastContactMs >= this.getReclaimDelayMs()) this.holders.delete(holder.daemonId)
    }
    for (const [daemonId, untilMs] of this.expectedReports) {
      if (nowMs >= untilMs) this.expectedReports.delete(daemonId)
    }
  }

  /** Returns the number of slots of an endpoint that holders may be using. */
  getCommitted (endpointId: string): number {
    let sum = 0
    for (const holder of this.holders.values()) sum += holder.committed.get(endpointId) ?? 0
    return sum
  }

  /** Returns the total demand of the holders whose credits have not expired, in slots. */
  getDemand (nowMs: number): number {
    return [...this.holders.values()].filter((holder) => this.isActive(holder, nowMs)).reduce((sum, { demand }) => sum + demand, 0)
  }

  /** Returns a holder's latest grant if the holder has not acknowledged it, so that a lost grant is sent again. */
  getUnacknowledged (daemonId: string): CreditGrant | undefined {
    const holder = this.holders.get(daemonId)
    if (holder === undefined || holder.ackSeq === holder.seq) return undefined
    return { seq: holder.seq, limits: new Map(holder.limits) }
  }

  /**
   * Decides the limits of all holders whose credits have not expired.
   *
   * @param nowMs - monotonic time.
   * @returns the grants whose limits changed, by daemon id. Each must be sent to its holder.
   */
  allocate (nowMs: number): Map<string, CreditGrant> {
    const active = [...this.holders.values()].filter((holder) => this.isActive(holder, nowMs))
    const before = new Map(active.map((holder) => [holder, new Map(holder.limits)]))
    for (const holder of active) this.capToLendableSlots(holder, active)
    allocateSlots(active, {
      endpoints: this.endpoints,
      total: this.endpoints.reduce((sum, endpoint) => sum + this.lendable.count(endpoint), 0),
      free: this.getFreeByEndpoint(nowMs),
      pendingReturns: this.getPendingReturns(),
    })
    return this.issueChanged(before)
  }

  private recordTakenOverSlots (report: CreditReport): void {
    if (this.takeover === undefined) return
    for (const [endpointId, held] of report.held) addToCount(this.takeover.reported, endpointId, held)
  }

  /** Returns the time from a holder's last contact until its credits have expired and its last attempts have timed out. */
  private getReclaimDelayMs (): number {
    return this.options.creditTtlMs + this.options.maxSlotHoldMs
  }

  /** Returns true if the holder's credits have not expired. */
  private isActive (holder: Holder, nowMs: number): boolean {
    return nowMs - holder.lastContactMs < this.options.creditTtlMs
  }

  private addHolder (report: CreditReport, nowMs: number): Holder {
    const holder: Holder = {
      daemonId: report.daemonId,
      zone: report.zone,
      demand: report.demand,
      // Sequence numbers continue from the holder's last one, so that it accepts the grants of a new lender.
      seq: report.ackSeq,
      ackSeq: report.ackSeq,
      lastContactMs: nowMs,
      limits: new Map(report.held),
      committed: new Map(),
    }
    this.holders.set(holder.daemonId, holder)
    return holder
  }

  /** Lowers a holder's limits on endpoints that are no longer lent, or whose limits add up to more slots than may be lent. */
  private capToLendableSlots (holder: Holder, active: readonly Holder[]): void {
    const byId = new Map(this.endpoints.map((endpoint) => [endpoint.endpointId, endpoint]))
    for (const [endpointId, limit] of [...holder.limits]) {
      const endpoint = byId.get(endpointId)
      const excess = endpoint === undefined ? limit : getLimitSum(active, endpointId) - this.lendable.count(endpoint)
      if (excess > 0) setCount(holder.limits, endpointId, Math.max(0, limit - excess))
    }
  }

  /** Returns the slots that can be granted now, by endpoint id. First ends the takeover if no slots are unknown any more. */
  private getFreeByEndpoint (nowMs: number): Map<string, number> {
    if (this.takeover !== undefined && this.expectedReports.size === 0 && nowMs >= this.takeover.settledFromMs) this.takeover = undefined
    return new Map(this.endpoints.map((endpoint) => [endpoint.endpointId, this.getFreeSlots(endpoint, nowMs)]))
  }

  /** Returns the number of slots that an earlier lender may have lent to daemons that have not reported. */
  private getUnknownSlots (endpoint: LendableEndpoint): number {
    if (this.takeover === undefined) return 0
    return Math.max(0, endpoint.slots - (this.takeover.reported.get(endpoint.endpointId) ?? 0))
  }

  /**
   * Returns the number of an endpoint's slots that can be granted now. The slots of active holders are limited to the
   * parts that may be lent. The slots that unresponsive holders may still use count only against all slots of the
   * endpoint, as the parts of suspected daemons are not lent anyway.
   */
  private getFreeSlots (endpoint: LendableEndpoint, nowMs: number): number {
    let activeUse = 0
    let totalUse = 0
    for (const holder of this.holders.values()) {
      const use = Math.max(holder.committed.get(endpoint.endpointId) ?? 0, holder.limits.get(endpoint.endpointId) ?? 0)
      totalUse += use
      if (this.isActive(holder, nowMs)) activeUse += use
    }
    // During a takeover, the slots of daemons that have not reported are already counted as unknown.
    const lendable = this.takeover === undefined ? this.lendable.countWithout(endpoint, this.expectedReports) : this.lendable.count(endpoint)
    return Math.max(0, Math.min(lendable - activeUse, endpoint.slots - totalUse - this.getUnknownSlots(endpoint)))
  }

  /** Returns the number of slots that holders have not yet returned although their limits were lowered. */
  private getPendingReturns (): number {
    let sum = 0
    for (const { committed, limits } of this.holders.values()) {
      for (const [endpointId, count] of committed) sum += Math.max(0, count - (limits.get(endpointId) ?? 0))
    }
    return sum
  }

  /** Returns the new grants of the holders whose limits differ from those before, and commits their slots. */
  private issueChanged (before: ReadonlyMap<Holder, ReadonlyMap<string, number>>): Map<string, CreditGrant> {
    const grants = new Map<string, CreditGrant>()
    for (const [holder, previousLimits] of before) {
      if (areCountsEqual(previousLimits, holder.limits)) continue
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
