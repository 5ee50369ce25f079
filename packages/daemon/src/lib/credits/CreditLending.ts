/**
 * The services whose slots this daemon lends.
 */
import type { TimerService } from '@vanillathread/kernel'
import { CreditLedger, MemberState, type CreditGrant, type CreditReport, type LendableEndpoint, type LendingMember, type MemberRecord } from '@vanillathread/policy'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { creditOptions, endpointOptions } from '../options.js'
import type { PeerMessageKind, PeerMessageOf } from '../peer/messages.js'
import { getInstanceId, getServicesDigest } from './creditMessages.js'

/** A service whose slots this daemon lends. */
export interface LentService {
  readonly serviceId: string
  readonly attemptTimeoutMs: number
  /** Returns the endpoints whose slots may be lent now. */
  listEndpoints (): LendableEndpoint[]
}

/** A new grant, which is to be sent to its holder. */
export interface IssuedGrant {
  /** Daemon and incarnation of the holder. */
  readonly holderId: string
  readonly serviceId: string
  readonly grant: CreditGrant
}

/** A lender's answer to a message with a holder's reports. */
export interface LendingAnswer {
  /** Services of the message that this daemon does not lend. */
  readonly declined: string[]
  /** True if the lender knows the services that the holder left out as unchanged, or if the message renews none. */
  readonly unchangedKnown: boolean
  /** Grants that the holder has not acknowledged. */
  readonly grants: Array<{ serviceId: string, grant: CreditGrant }>
  /** New grants for other holders. */
  readonly issued: IssuedGrant[]
}

/** Options of {@link CreditLending.create}. */
export interface CreditLendingOptions {
  readonly membership: Pick<MembershipKeeper, 'getSelf' | 'listOthers'>
  readonly timers: TimerService
}

interface LentEntry {
  readonly service: LentService
  readonly ledger: CreditLedger
}

type ReportsMessage = PeerMessageOf<PeerMessageKind.CreditReports>

/** The ledgers of the services that one daemon lends. */
export class CreditLending {
  private readonly lent = new Map<string, LentEntry>()

  private constructor (private readonly options: CreditLendingOptions) {}

  static create (options: CreditLendingOptions): CreditLending {
    return new CreditLending(options)
  }

  /**
   * Starts to lend a service, or goes on lending it after a change of membership. In both cases the
   * ledger expects a report of every other daemon, as each may hold slots from an earlier lender.
   */
  lend (service: LentService): void {
    const others = this.options.membership.listOthers()
    const { ledger } = this.lent.get(service.serviceId) ?? this.add(service, others.length > 0)
    for (const { record } of others) ledger.expectReport(getInstanceId(record), this.options.timers.now())
  }

  /** Stops lending a service, because another daemon is its lender or because the service was removed. */
  stop (serviceId: string): void {
    this.lent.delete(serviceId)
  }

  isLending (serviceId: string): boolean {
    return this.lent.has(serviceId)
  }

  /** Forgets a holder that has left and uses no slots any more. */
  forgetHolder (record: MemberRecord): void {
    for (const { ledger } of this.lent.values()) ledger.removeHolder(getInstanceId(record))
  }

  /** Frees the slots of unresponsive holders whose credits have expired and whose attempts have timed out, and decides all limits again. */
  reallocateAll (): IssuedGrant[] {
    const nowMs = this.options.timers.now()
    for (const { ledger } of this.lent.values()) ledger.removeExpiredHolders(nowMs)
    return [...this.lent.keys()].flatMap((serviceId) => this.allocate(serviceId))
  }

  /** Applies the report of one holder. @returns the grants that change as a result, including the holder's own. */
  applyReport (serviceId: string, report: CreditReport): IssuedGrant[] {
    this.lent.get(serviceId)?.ledger.applyReport(report, this.options.timers.now())
    return this.allocate(serviceId)
  }

  /** Applies a message with a holder's reports, and returns the answer to it. */
  answer (message: ReportsMessage): LendingAnswer {
    const lentReports = message.reports.filter(({ service }) => this.isLending(service))
    const declined = message.reports.filter(({ service }) => !this.isLending(service)).map(({ service }) => service)
    const unchangedKnown = this.renewUnchanged(message)
    const issued = lentReports.flatMap(({ service, ...report }) =>
      this.applyReport(service, { ...report, daemonId: message.holder, held: new Map(report.held) }))
    const grants = lentReports.flatMap(({ service }) => {
      const grant = this.lent.get(service)?.ledger.getUnacknowledged(message.holder)
      return grant === undefined ? [] : [{ serviceId: service, grant }]
    })
    return { declined, unchangedKnown, grants, issued: issued.filter(({ holderId }) => holderId !== message.holder) }
  }

  /** Returns the number of an endpoint's slots that holders may be using, or undefined if this daemon does not lend the service. */
  getCommitted (serviceId: string, endpointId: string): number | undefined {
    return this.lent.get(serviceId)?.ledger.getCommitted(endpointId)
  }

  /** Returns, for each service that is lent, the number of slots that the holders want. */
  listDemand (): Array<{ service: string, slots: number }> {
    const nowMs = this.options.timers.now()
    return [...this.lent].map(([service, { ledger }]) => ({ service, slots: ledger.getDemand(nowMs) }))
  }

  /** Creates the ledger of a service. `takesOver` is true if another daemon may have lent the service before. */
  private add (service: LentService, takesOver: boolean): LentEntry {
    const ledger = CreditLedger.create({
      creditTtlMs: creditOptions.creditTtlMs,
      maxSlotHoldMs: service.attemptTimeoutMs + endpointOptions.timedOutSlotHoldMs,
    })
    if (takesOver) ledger.startTakeover(this.options.timers.now() + creditOptions.takeoverSettleMs)
    const added = { service, ledger }
    this.lent.set(service.serviceId, added)
    return added
  }

  /**
   * Renews the holder in the ledgers of the services that it left out as unchanged.
   *
   * @returns false if the message has a digest that does not match the services known here.
   */
  private renewUnchanged ({ holder, reports, unchanged }: ReportsMessage): boolean {
    if (unchanged === undefined) return true
    const reported = new Set(reports.map(({ service }) => service))
    const leftOut = [...this.lent].filter(([serviceId, { ledger }]) => ledger.hasHolder(holder) && !reported.has(serviceId))
    if (getServicesDigest(leftOut.map(([serviceId]) => serviceId)) !== unchanged) return false
    for (const [, { ledger }] of leftOut) ledger.recordContact(holder, this.options.timers.now())
    return true
  }

  private listMembers (): LendingMember[] {
    const { membership } = this.options
    const describe = (record: MemberRecord, suspected: boolean): LendingMember => ({ name: record.daemonId, holderId: getInstanceId(record), suspected })
    return [describe(membership.getSelf(), false), ...membership.listOthers().map(({ record, state }) => describe(record, state === MemberState.Suspected))]
  }

  private allocate (serviceId: string): IssuedGrant[] {
    const lent = this.lent.get(serviceId)
    if (lent === undefined) return []
    lent.ledger.setEndpoints(lent.service.listEndpoints())
    lent.ledger.setMembers(this.listMembers())
    return [...lent.ledger.allocate(this.options.timers.now())].map(([holderId, grant]) => ({ holderId, serviceId, grant }))
  }
}
