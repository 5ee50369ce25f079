/**
 * Lends and borrows endpoints' slots between daemons.
 *
 * Each service has one lender, the first daemon by rendezvous hashing. Every daemon reports its
 * demand to the lender and uses no more slots than the lender has granted it.
 */
import type { Subscription, TimerService } from '@vanillathread/kernel'
import type { Service } from '@vanillathread/model'
import { CreditHolder, CreditLedger, getRendezvousOwner, MemberState, type CreditGrant, type CreditReport, type LentEndpoint, type MemberRecord, type MembershipChange } from '@vanillathread/policy'
import type { DaemonState } from '../DaemonState.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { creditOptions, endpointOptions } from '../options.js'
import { PeerMessageKind, type PeerMessage, type PeerMessageOf } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'

/** Options of {@link CreditExchange.create}. */
export interface CreditExchangeOptions {
  readonly state: DaemonState
  readonly zone: string
  readonly membership: MembershipKeeper
  readonly network: PeerNetwork
  readonly timers: TimerService
}

/** What the exchange needs to know of a service. */
export interface CreditedService {
  readonly service: Service
  /** Returns the endpoints whose slots may be lent now. */
  listEndpoints (): LentEndpoint[]
  /** Called where slots have become usable. */
  onCredits (): void
}

interface ServiceCredits {
  credited: CreditedService
  readonly holder: CreditHolder
  /** Present while this daemon is the lender. */
  ledger: CreditLedger | undefined
  /** Daemon that lends, as this daemon sees it. */
  lenderId: string
  queued: number
  reportedDemand: number
  reportedMs: number
  /** True where a report is due before the next renewal. */
  reportDue: boolean
}

type GrantEntry = PeerMessageOf<PeerMessageKind.CreditGrants>['grants'][number]

/** Slot credits of one daemon, as holder and as lender. */
export class CreditExchange {
  private readonly services = new Map<string, ServiceCredits>()
  private readonly sentReports = new Map<number, number>()
  private readonly subscriptions: Subscription[] = []
  private nextReportId = 1

  private constructor (private readonly options: CreditExchangeOptions) {}

  static create (options: CreditExchangeOptions): CreditExchange {
    return new CreditExchange(options)
  }

  start (): void {
    const { network, timers, membership } = this.options
    network.on(PeerMessageKind.CreditReports, (message, reply) => this.onReports(message, reply))
    network.on(PeerMessageKind.CreditGrants, (message) => this.onGrants(message))
    membership.subscribe((change) => this.onMembership(change))
    this.subscriptions.push(
      timers.every(creditOptions.renewPeriodMs, () => this.renew()),
      timers.every(creditOptions.reportSpacingMs, () => this.sendDueReports())
    )
  }

  /** Starts to borrow slots of a service. @returns the slots that may be used. */
  add (credited: CreditedService): CreditHolder {
    const { state, zone } = this.options
    const holder = CreditHolder.create({ daemonId: state.instanceId, zone, creditTtlMs: creditOptions.creditTtlMs })
    const credits: ServiceCredits = {
      credited, holder, ledger: undefined, lenderId: '', queued: 0, reportedDemand: 0, reportedMs: Number.NEGATIVE_INFINITY, reportDue: true,
    }
    this.services.set(credited.service.id, credits)
    this.chooseLender(credits)
    this.report([credits])
    return holder
  }

  /** Takes in a changed declaration of a service. */
  update (service: Service): void {
    const credits = this.services.get(service.id)
    if (credits !== undefined) credits.credited = { ...credits.credited, service }
  }

  remove (serviceId: string): void {
    this.services.delete(serviceId)
  }

  /** Notes how many requests wait for a slot; asks for more at once where none is free. */
  noteDemand (serviceId: string, queued: number): void {
    const credits = this.services.get(serviceId)
    if (credits === undefined) return
    credits.queued = queued
    const nowMs = this.options.timers.now()
    const { holder } = credits
    const inUse = holder.getTotalInUse()
    const limit = holder.getTotalLimit(nowMs)
    const starved = queued > 0 && inUse >= limit && queued + inUse > credits.reportedDemand
    // Slots that were asked back are reported as soon as they are free.
    const returning = inUse >= limit && credits.reportDue
    if (starved || returning) credits.reportDue = true
    if (credits.reportDue && nowMs - credits.reportedMs >= creditOptions.reportSpacingMs) this.report([credits])
  }

  /** Returns the daemon that lends a service's slots, as this daemon sees it. */
  getLenderId (serviceId: string): string | undefined {
    return this.services.get(serviceId)?.lenderId
  }

  /** Returns the demand of the services whose slots this daemon lends. */
  listLentDemand (): Array<{ service: string, slots: number }> {
    const nowMs = this.options.timers.now()
    return [...this.services].flatMap(([service, { ledger }]) => ledger === undefined ? [] : [{ service, slots: ledger.getDemand(nowMs) }])
  }

  /** Returns the slots that holders may be using, where this daemon is the lender. */
  getCommitted (serviceId: string, endpointId: string): number | undefined {
    return this.services.get(serviceId)?.ledger?.getCommitted(endpointId)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
  }

  private onMembership ({ left }: MembershipChange): void {
    for (const credits of this.services.values()) {
      this.chooseLender(credits)
      for (const record of left) credits.ledger?.release(getInstanceId(record))
    }
    this.report([...this.services.values()])
  }

  private chooseLender (credits: ServiceCredits): void {
    const { membership } = this.options
    const lenderId = getRendezvousOwner(credits.credited.service.id, membership.listActiveIds()) ?? ''
    credits.lenderId = lenderId
    if (lenderId === membership.getSelf().daemonId) this.lend(credits)
    else credits.ledger = undefined
  }

  /** Becomes the lender, or stays it and takes in who has joined or fallen silent. */
  private lend (credits: ServiceCredits): void {
    const { membership, timers } = this.options
    const others = membership.listOthers()
    const ledger = credits.ledger ??= this.createLedger(credits, others.length > 0)
    for (const { record } of others) ledger.expectReport(getInstanceId(record), timers.now())
  }

  private createLedger (credits: ServiceCredits, takesOver: boolean): CreditLedger {
    const ledger = CreditLedger.create({
      creditTtlMs: creditOptions.creditTtlMs,
      attemptHoldMs: credits.credited.service.attemptTimeoutMs + endpointOptions.abandonedHoldMs,
    })
    if (takesOver) ledger.takeOver(this.options.timers.now() + creditOptions.takeOverSettleMs)
    return ledger
  }

  private renew (): void {
    const nowMs = this.options.timers.now()
    for (const credits of this.services.values()) credits.ledger?.expire(nowMs)
    this.report([...this.services.values()])
    for (const credits of this.services.values()) this.pushGrants(credits)
    for (const reportId of this.sentReports.keys()) {
      if (reportId < this.nextReportId - MAX_SENT_REPORTS) this.sentReports.delete(reportId)
    }
  }

  private sendDueReports (): void {
    const nowMs = this.options.timers.now()
    const due = [...this.services.values()].filter((credits) =>
      credits.reportDue && nowMs - credits.reportedMs >= creditOptions.reportSpacingMs)
    if (due.length > 0) this.report(due)
  }

  /** Sends reports, one message for each lender. */
  private report (list: readonly ServiceCredits[]): void {
    const byLender = new Map<string, ServiceCredits[]>()
    for (const credits of list) {
      const group = byLender.get(credits.lenderId) ?? []
      group.push(credits)
      byLender.set(credits.lenderId, group)
    }
    for (const [lenderId, group] of byLender) this.reportTo(lenderId, group)
  }

  private reportTo (lenderId: string, group: readonly ServiceCredits[]): void {
    const { membership, timers, state, network } = this.options
    const nowMs = timers.now()
    const reports = group.map((credits) => this.createReport(credits, nowMs))
    if (lenderId === membership.getSelf().daemonId) {
      group.forEach((credits, index) => this.lendToSelf(credits, reports[index] as CreditReport, nowMs))
      return
    }
    const lender = findMember(membership, lenderId)
    if (lender === undefined) return
    const reportId = this.nextReportId++
    this.sentReports.set(reportId, nowMs)
    network.sendAwaited(lender.peer, {
      kind: PeerMessageKind.CreditReports,
      holder: state.instanceId,
      reportId,
      reports: group.map((credits, index) => encodeReport(credits.credited.service.id, reports[index] as CreditReport)),
    })
  }

  private createReport (credits: ServiceCredits, nowMs: number): CreditReport {
    const report = credits.holder.createReport(credits.queued, nowMs)
    credits.reportedDemand = report.demand
    credits.reportedMs = nowMs
    credits.reportDue = isHoldingTooMuch(credits.holder, report)
    return report
  }

  private lendToSelf (credits: ServiceCredits, report: CreditReport, nowMs: number): void {
    credits.ledger?.report(report, nowMs)
    credits.holder.renew(nowMs)
    this.pushGrants(credits)
  }

  private onReports (message: PeerMessageOf<PeerMessageKind.CreditReports>, reply: (answer: PeerMessage) => void): void {
    const nowMs = this.options.timers.now()
    const renewed: string[] = []
    const grants: GrantEntry[] = []
    for (const entry of message.reports) {
      const credits = this.services.get(entry.service)
      // A daemon that does not see itself as the lender answers nothing, so that there are never two lenders by mistake.
      if (credits?.ledger === undefined) continue
      credits.ledger.report({ ...entry, daemonId: message.holder, held: new Map(entry.held) }, nowMs)
      renewed.push(entry.service)
      this.pushGrants(credits, message.holder)
      const grant = credits.ledger.getUnacknowledged(message.holder)
      if (grant !== undefined) grants.push(encodeGrant(entry.service, grant))
    }
    reply({ kind: PeerMessageKind.CreditGrants, lender: this.options.state.instanceId, reportId: message.reportId, renewed, grants })
  }

  /** Decides new limits and sends those that changed, except to the holder that is answered anyway. */
  private pushGrants (credits: ServiceCredits, answeredHolder?: string): void {
    const { ledger, holder, credited } = credits
    if (ledger === undefined) return
    ledger.setEndpoints(credited.listEndpoints())
    ledger.setReach(this.options.membership.getReach())
    for (const [holderId, grant] of ledger.allocate(this.options.timers.now())) {
      if (holderId === this.options.state.instanceId) {
        holder.applyGrant(grant)
        credits.reportDue = true
        credited.onCredits()
      } else if (holderId !== answeredHolder) {
        this.sendGrant(holderId, encodeGrant(credited.service.id, grant))
      }
    }
  }

  private sendGrant (holderId: string, grant: GrantEntry): void {
    const member = this.options.membership.listOthers().find(({ record }) => getInstanceId(record) === holderId)
    if (member === undefined) return
    this.options.network.send(member.record.peer, {
      kind: PeerMessageKind.CreditGrants, lender: this.options.state.instanceId, reportId: 0, renewed: [], grants: [grant],
    })
  }

  private onGrants (message: PeerMessageOf<PeerMessageKind.CreditGrants>): void {
    const sentMs = this.sentReports.get(message.reportId)
    this.sentReports.delete(message.reportId)
    if (sentMs !== undefined) this.takeInRenewals(message, sentMs)
    for (const entry of message.grants) {
      const credits = this.services.get(entry.service)
      if (credits === undefined || !this.isLender(credits, message.lender)) continue
      credits.holder.applyGrant({ seq: entry.seq, limits: new Map(entry.limits) })
      credits.reportDue = true
      credits.credited.onCredits()
    }
  }

  private takeInRenewals (message: PeerMessageOf<PeerMessageKind.CreditGrants>, sentMs: number): void {
    for (const serviceId of message.renewed) {
      const credits = this.services.get(serviceId)
      if (credits !== undefined && this.isLender(credits, message.lender)) credits.holder.renew(sentMs)
    }
  }

  /** Grants of a daemon that is no longer the lender are dropped. */
  private isLender (credits: ServiceCredits, instanceId: string): boolean {
    const member = findMember(this.options.membership, credits.lenderId)
    return member !== undefined && getInstanceId(member) === instanceId
  }
}

const MAX_SENT_REPORTS = 1_000

function findMember (membership: MembershipKeeper, daemonId: string): MemberRecord | undefined {
  return membership.listOthers().find(({ record, state }) => record.daemonId === daemonId && state !== MemberState.Silent)?.record
}

function getInstanceId (record: MemberRecord): string {
  return `${record.daemonId}:${record.incarnation}`
}

/** Returns true where more attempts are in flight than the limits allow, so that a further report is due. */
function isHoldingTooMuch (holder: CreditHolder, report: CreditReport): boolean {
  for (const [endpointId, held] of report.held) {
    if (held > holder.getLimit(endpointId)) return true
  }
  return false
}

function encodeReport (service: string, report: CreditReport): PeerMessageOf<PeerMessageKind.CreditReports>['reports'][number] {
  return { service, zone: report.zone, demand: report.demand, ackSeq: report.ackSeq, held: [...report.held] }
}

function encodeGrant (service: string, grant: CreditGrant): GrantEntry {
  return { service, seq: grant.seq, limits: [...grant.limits] }
}
