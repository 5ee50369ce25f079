/**
 * Borrows endpoint slots from the daemons that lend them, and lends the slots of some services.
 *
 * Each service has one lender: the daemon that rendezvous hashing ranks first. Every daemon reports
 * its demand to the lender and uses no more slots than the lender has granted it. If a report has not
 * changed since the lender confirmed it, it is left out of the message. The periodic message to a
 * lender contains one digest of all services that were left out, which renews their grants.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Subscription, TimerService } from '@vanillathread/kernel'
import type { Service } from '@vanillathread/model'
import { CreditHolder, getRendezvousOwner, MemberState, type CreditReport, type LendableEndpoint, type MemberRecord, type MembershipChange } from '@vanillathread/policy'
import type { DaemonState } from '../DaemonState.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { creditOptions } from '../options.js'
import { PeerMessageKind, type PeerMessage, type PeerMessageOf } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import { CreditLending, type IssuedGrant } from './CreditLending.js'
import { decodeGrant, encodeGrant, encodeReport, getInstanceId, getServicesDigest, type ReportEntry } from './creditMessages.js'
import { SentReports, type SentMessage } from './SentReports.js'

/** Options of {@link CreditExchange.create}. */
export interface CreditExchangeOptions {
  readonly state: DaemonState
  readonly zone: string
  readonly membership: MembershipKeeper
  readonly network: PeerNetwork
  readonly timers: TimerService
}

/** A service whose slots are shared, with the functions that the exchange calls. */
export interface CreditedService {
  readonly service: Service
  /** Returns the endpoints whose slots may be lent now. */
  listEndpoints (): LendableEndpoint[]
  /** Called when a grant has been applied, as more slots may be usable. */
  onCredits (): void
}

/** A service whose slots this daemon borrows, with the state of its reports. */
interface BorrowedService {
  credited: CreditedService
  readonly holder: CreditHolder
  /** Id of the daemon that lends the slots, according to this daemon's membership view; empty if there is none. */
  lenderId: string
  /** Requests that wait for a slot. */
  queued: number
  /** Demand in the last report. */
  reportedDemand: number
  /** Monotonic time of the last report. */
  reportedMs: number
  /** True if a report must be sent before the next renewal. */
  reportDue: boolean
  /** Report that the current lender has confirmed; undefined if there is none. */
  confirmed: ReportEntry | undefined
}

/** Borrows and lends slots for one daemon. */
export class CreditExchange {
  private readonly services = new Map<string, BorrowedService>()
  private readonly unanswered = SentReports.create()
  private readonly subscriptions: Subscription[] = []
  private readonly lending: CreditLending
  private dueTimer: Subscription | undefined

  private constructor (private readonly options: CreditExchangeOptions) {
    this.lending = CreditLending.create(options)
  }

  static create (options: CreditExchangeOptions): CreditExchange {
    return new CreditExchange(options)
  }

  start (): void {
    const { network, timers, membership } = this.options
    network.on(PeerMessageKind.CreditReports, (message, reply) => this.onReports(message, reply))
    network.on(PeerMessageKind.CreditGrants, (message) => this.onGrants(message))
    membership.subscribe((change) => this.onMembership(change))
    this.subscriptions.push(
      timers.every(creditOptions.renewPeriodMs, () => this.renew())
    )
  }

  /** Starts to borrow slots of a service. @returns the slots that this daemon may use; they change with each grant. */
  add (credited: CreditedService): CreditHolder {
    const { state, zone } = this.options
    const holder = CreditHolder.create({ daemonId: state.instanceId, zone, creditTtlMs: creditOptions.creditTtlMs })
    const borrowed: BorrowedService = {
      credited, holder, lenderId: '', queued: 0, reportedDemand: 0, reportedMs: Number.NEGATIVE_INFINITY, reportDue: true, confirmed: undefined,
    }
    this.services.set(credited.service.id, borrowed)
    this.updateLender(borrowed)
    this.sendReports([borrowed])
    return holder
  }

  /** Applies a changed declaration of a service. */
  update (service: Service): void {
    const borrowed = this.services.get(service.id)
    if (borrowed !== undefined) borrowed.credited = { ...borrowed.credited, service }
  }

  /** Stops borrowing and lending the slots of a service. */
  remove (serviceId: string): void {
    this.services.delete(serviceId)
    this.lending.stop(serviceId)
  }

  /**
   * Records how many requests wait for a slot. If no slot is free and the demand is higher than the one
   * reported last, reports it without waiting for the next renewal.
   */
  recordDemand (serviceId: string, queued: number): void {
    const borrowed = this.services.get(serviceId)
    if (borrowed === undefined) return
    borrowed.queued = queued
    const nowMs = this.options.timers.now()
    const inUse = borrowed.holder.getTotalInUse()
    const isFull = inUse >= borrowed.holder.getTotalLimit(nowMs)
    if (isFull && queued > 0 && queued + inUse > borrowed.reportedDemand) borrowed.reportDue = true
    if (!borrowed.reportDue) return
    if (this.mayReport(borrowed, nowMs)) this.sendReports([borrowed])
    else this.scheduleDueReports()
  }

  /**
   * Returns the id of the daemon that lends a service's slots, according to this daemon's membership view. The id is
   * empty if there is no lender, and undefined if the service is unknown.
   */
  getLenderId (serviceId: string): string | undefined {
    return this.services.get(serviceId)?.lenderId
  }

  /** Returns, for each service whose slots this daemon lends, the number of slots that the holders want. */
  listLentDemand (): Array<{ service: string, slots: number }> {
    return this.lending.listDemand()
  }

  /** Returns the number of an endpoint's slots that holders may be using, or undefined if this daemon does not lend the service. */
  getCommitted (serviceId: string, endpointId: string): number | undefined {
    return this.lending.getCommitted(serviceId, endpointId)
  }

  dispose (): void {
    for (const subscription of this.subscriptions) subscription.dispose()
    this.dueTimer?.dispose()
  }

  private onMembership ({ left }: MembershipChange): void {
    for (const borrowed of this.services.values()) this.updateLender(borrowed)
    for (const record of left) this.lending.forgetHolder(record)
    this.sendReports([...this.services.values()])
  }

  /** Determines the lender of a service. Starts lending if this daemon is the lender, otherwise stops. */
  private updateLender (borrowed: BorrowedService): void {
    const { membership } = this.options
    const { service, listEndpoints } = borrowed.credited
    const lenderId = getRendezvousOwner(service.id, membership.listActiveIds()) ?? ''
    if (lenderId !== borrowed.lenderId) borrowed.confirmed = undefined
    borrowed.lenderId = lenderId
    if (this.isSelf(lenderId)) this.lending.lend({ serviceId: service.id, attemptTimeoutMs: service.attemptTimeoutMs, listEndpoints })
    else this.lending.stop(service.id)
  }

  private isSelf (daemonId: string): boolean {
    return daemonId === this.options.membership.getSelf().daemonId
  }

  /** Returns true if the last report was sent at least `minReportIntervalMs` ago. */
  private mayReport (borrowed: BorrowedService, nowMs: number): boolean {
    return nowMs - borrowed.reportedMs >= creditOptions.minReportIntervalMs
  }

  /** Reports all services, which renews their grants, and reallocates the slots that this daemon lends. */
  private renew (): void {
    this.sendReports([...this.services.values()], { complete: true })
    this.deliver(this.lending.reallocateAll())
  }

  /** Schedules the sending of due reports, unless it is scheduled already. */
  private scheduleDueReports (): void {
    this.dueTimer ??= this.options.timers.after(creditOptions.minReportIntervalMs, () => this.sendDueReports())
  }

  private sendDueReports (): void {
    this.dueTimer = undefined
    const nowMs = this.options.timers.now()
    const due = [...this.services.values()].filter((borrowed) => borrowed.reportDue && this.mayReport(borrowed, nowMs))
    if (due.length > 0) this.sendReports(due)
    if ([...this.services.values()].some(({ reportDue }) => reportDue)) this.scheduleDueReports()
  }

  /** Sends reports, one message to each lender. A complete message also renews the grants of the services that it leaves out as unchanged. */
  private sendReports (list: readonly BorrowedService[], options: { complete: boolean } = { complete: false }): void {
    const lenders = new Set(list.map(({ lenderId }) => lenderId))
    for (const lenderId of lenders) {
      const group = list.filter((borrowed) => borrowed.lenderId === lenderId)
      if (this.isSelf(lenderId)) this.reportToSelf(group)
      else this.sendReportsTo(lenderId, group, options)
    }
  }

  private reportToSelf (group: readonly BorrowedService[]): void {
    for (const borrowed of group) {
      const report = this.createReport(borrowed)
      borrowed.holder.renew(borrowed.reportedMs)
      this.deliver(this.lending.applyReport(borrowed.credited.service.id, report))
    }
  }

  private sendReportsTo (lenderId: string, group: readonly BorrowedService[], { complete }: { complete: boolean }): void {
    const { membership, timers, state, network } = this.options
    const lender = findUnsuspectedMember(membership, lenderId)
    if (lender === undefined) return
    const reports = new Map<string, ReportEntry>()
    for (const borrowed of group) {
      const entry = encodeReport(borrowed.credited.service.id, this.createReport(borrowed))
      if (!isDeepStrictEqual(entry, borrowed.confirmed)) reports.set(entry.service, entry)
    }
    const unchanged = complete ? this.listConfirmed(lenderId).filter((serviceId) => !reports.has(serviceId)) : []
    const reportId = this.unanswered.add({ sentMs: timers.now(), reports, unchanged })
    network.sendExpectingReply(lender.peer, {
      kind: PeerMessageKind.CreditReports,
      holder: state.instanceId,
      reportId,
      reports: [...reports.values()],
      ...complete ? { unchanged: getServicesDigest(unchanged) } : {},
    })
  }

  /** Returns the ids of the services of which the lender has confirmed a report. */
  private listConfirmed (lenderId: string): string[] {
    return [...this.services].filter(([, borrowed]) => borrowed.lenderId === lenderId && borrowed.confirmed !== undefined).map(([serviceId]) => serviceId)
  }

  /** Creates a report, and records its demand and the time. */
  private createReport (borrowed: BorrowedService): CreditReport {
    const nowMs = this.options.timers.now()
    const report = borrowed.holder.createReport(borrowed.queued, nowMs)
    borrowed.reportedDemand = report.demand
    borrowed.reportedMs = nowMs
    borrowed.reportDue = borrowed.holder.isOverLimit()
    return report
  }

  private onReports (message: PeerMessageOf<PeerMessageKind.CreditReports>, reply: (answer: PeerMessage) => void): void {
    // Services that this daemon does not lend, according to its own membership view, are declined.
    // Otherwise a service could have two lenders by mistake.
    const { declined, unchangedKnown, grants, issued } = this.lending.answer(message)
    reply({
      kind: PeerMessageKind.CreditGrants,
      lender: this.options.state.instanceId,
      reportId: message.reportId,
      declined,
      unchangedKnown,
      grants: grants.map(({ serviceId, grant }) => encodeGrant(serviceId, grant)),
    })
    this.deliver(issued)
  }

  /** Applies the grants for this daemon, and sends the others to their holders. */
  private deliver (issued: readonly IssuedGrant[]): void {
    for (const { holderId, serviceId, grant } of issued) {
      const borrowed = this.services.get(serviceId)
      if (holderId !== this.options.state.instanceId) this.sendGrant(holderId, serviceId, grant)
      else if (borrowed !== undefined) this.applyGrant(borrowed, grant)
    }
  }

  private sendGrant (holderId: string, serviceId: string, grant: IssuedGrant['grant']): void {
    const { membership, network, state } = this.options
    const member = membership.listOthers().find(({ record }) => getInstanceId(record) === holderId)
    if (member === undefined) return
    network.send(member.record.peer, {
      kind: PeerMessageKind.CreditGrants, lender: state.instanceId, reportId: 0, declined: [], unchangedKnown: true, grants: [encodeGrant(serviceId, grant)],
    })
  }

  private onGrants (message: PeerMessageOf<PeerMessageKind.CreditGrants>): void {
    const sent = this.unanswered.take(message.reportId)
    if (sent !== undefined) this.onReportAnswer(message, sent)
    for (const entry of message.grants) {
      const borrowed = this.services.get(entry.service)
      if (borrowed !== undefined && this.isLender(borrowed, message.lender)) this.applyGrant(borrowed, decodeGrant(entry))
    }
  }

  /**
   * Renews the grants of the services that the lender has confirmed. If the lender does not know the services
   * that were left out, their full reports are sent again.
   */
  private onReportAnswer (message: PeerMessageOf<PeerMessageKind.CreditGrants>, { sentMs, reports, unchanged }: SentMessage): void {
    for (const [serviceId, entry] of reports) {
      const borrowed = this.services.get(serviceId)
      if (borrowed === undefined || !this.isLender(borrowed, message.lender) || message.declined.includes(serviceId)) continue
      borrowed.confirmed = entry
      borrowed.holder.renew(sentMs)
    }
    for (const serviceId of unchanged) {
      const borrowed = this.services.get(serviceId)
      if (borrowed === undefined || !this.isLender(borrowed, message.lender)) continue
      if (message.unchangedKnown) borrowed.holder.renew(sentMs)
      else this.forgetConfirmed(borrowed)
    }
  }

  /** Requires the next report of a service to be sent in full. */
  private forgetConfirmed (borrowed: BorrowedService): void {
    borrowed.confirmed = undefined
    borrowed.reportDue = true
  }

  /** Applies a grant, and schedules a report that acknowledges it. */
  private applyGrant (borrowed: BorrowedService, grant: IssuedGrant['grant']): void {
    borrowed.holder.applyGrant(grant)
    borrowed.reportDue = true
    this.scheduleDueReports()
    borrowed.credited.onCredits()
  }

  /** Returns true if the given process is the current lender. Grants of an earlier lender are dropped. */
  private isLender (borrowed: BorrowedService, instanceId: string): boolean {
    const member = findUnsuspectedMember(this.options.membership, borrowed.lenderId)
    return member !== undefined && getInstanceId(member) === instanceId
  }
}

/** Returns the record of another daemon, or undefined if it is unknown or suspected. */
function findUnsuspectedMember (membership: MembershipKeeper, daemonId: string): MemberRecord | undefined {
  return membership.listOthers().find(({ record, state }) => record.daemonId === daemonId && state !== MemberState.Suspected)?.record
}
