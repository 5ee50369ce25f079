/**
 * The services whose slots this daemon lends.
 */
import type { TimerService } from '@vanillathread/kernel'
import { CreditLedger, type CreditGrant, type CreditReport, type LentEndpoint, type MemberRecord } from '@vanillathread/policy'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { creditOptions, endpointOptions } from '../options.js'
import type { PeerMessageKind, PeerMessageOf } from '../peer/messages.js'
import { getInstanceId, getServicesDigest } from './creditMessages.js'

/** What lending needs to know of a service. */
export interface LentService {
  readonly serviceId: string
  readonly attemptTimeoutMs: number
  /** Returns the endpoints whose slots may be lent now. */
  listEndpoints (): LentEndpoint[]
}

/** A grant that must reach its holder. */
export interface IssuedGrant {
  /** Daemon and incarnation of the holder. */
  readonly holderId: string
  readonly serviceId: string
  readonly grant: CreditGrant
}

/** What a lender answers to a holder's reports. */
export interface LendingAnswer {
  /** Services of the message that this daemon does not lend. */
  readonly declined: string[]
  /** True where the services that the holder left out as unchanged are known here. */
  readonly unchangedKnown: boolean
  /** Grants for the holder that it has not acknowledged. */
  readonly grants: Array<{ serviceId: string, grant: CreditGrant }>
  /** Grants for other holders. */
  readonly issued: IssuedGrant[]
}

/** Options of {@link CreditLending.create}. */
export interface CreditLendingOptions {
  readonly membership: Pick<MembershipKeeper, 'listOthers' | 'getReach'>
  readonly timers: TimerService
}

interface Lent {
  readonly service: LentService
  readonly ledger: CreditLedger
}

type ReportsMessage = PeerMessageOf<PeerMessageKind.CreditReports>

/** Ledgers of one daemon. */
export class CreditLending {
  private readonly lent = new Map<string, Lent>()

  private constructor (private readonly options: CreditLendingOptions) {}

  static create (options: CreditLendingOptions): CreditLending {
    return new CreditLending(options)
  }

  /** Becomes the lender of a service, or stays it and takes in who has joined or fallen silent. */
  lend (service: LentService): void {
    const others = this.options.membership.listOthers()
    const { ledger } = this.lent.get(service.serviceId) ?? this.add(service, others.length > 0)
    for (const { record } of others) ledger.expectReport(getInstanceId(record), this.options.timers.now())
  }

  /** Stops lending a service, as another daemon is its lender. */
  stop (serviceId: string): void {
    this.lent.delete(serviceId)
  }

  isLending (serviceId: string): boolean {
    return this.lent.has(serviceId)
  }

  /** Forgets a holder that uses nothing any more. */
  release (record: MemberRecord): void {
    for (const { ledger } of this.lent.values()) ledger.release(getInstanceId(record))
  }

  /** Frees what silent holders can no longer use, and decides all limits anew. */
  renew (): IssuedGrant[] {
    const nowMs = this.options.timers.now()
    for (const { ledger } of this.lent.values()) ledger.expire(nowMs)
    return [...this.lent.keys()].flatMap((serviceId) => this.allocate(serviceId))
  }

  /** Takes in the report of one holder. @returns the grants that it leads to, the holder's own among them. */
  report (serviceId: string, report: CreditReport): IssuedGrant[] {
    this.lent.get(serviceId)?.ledger.report(report, this.options.timers.now())
    return this.allocate(serviceId)
  }

  /** Takes in a message with a holder's reports. */
  answer (message: ReportsMessage): LendingAnswer {
    const known = message.reports.filter(({ service }) => this.isLending(service))
    const declined = message.reports.filter(({ service }) => !this.isLending(service)).map(({ service }) => service)
    const unchangedKnown = this.touchUnchanged(message)
    const issued = known.flatMap(({ service, ...report }) =>
      this.report(service, { ...report, daemonId: message.holder, held: new Map(report.held) }))
    const grants = known.flatMap(({ service }) => {
      const grant = this.lent.get(service)?.ledger.getUnacknowledged(message.holder)
      return grant === undefined ? [] : [{ serviceId: service, grant }]
    })
    return { declined, unchangedKnown, grants, issued: issued.filter(({ holderId }) => holderId !== message.holder) }
  }

  /** Returns the slots that holders may be using, where this daemon is the lender. */
  getCommitted (serviceId: string, endpointId: string): number | undefined {
    return this.lent.get(serviceId)?.ledger.getCommitted(endpointId)
  }

  /** Returns the demand of each service that is lent. */
  listDemand (): Array<{ service: string, slots: number }> {
    const nowMs = this.options.timers.now()
    return [...this.lent].map(([service, { ledger }]) => ({ service, slots: ledger.getDemand(nowMs) }))
  }

  private add (service: LentService, takesOver: boolean): Lent {
    const ledger = CreditLedger.create({
      creditTtlMs: creditOptions.creditTtlMs,
      attemptHoldMs: service.attemptTimeoutMs + endpointOptions.abandonedHoldMs,
    })
    if (takesOver) ledger.takeOver(this.options.timers.now() + creditOptions.takeOverSettleMs)
    const added = { service, ledger }
    this.lent.set(service.serviceId, added)
    return added
  }

  /** Notes that the holder is alive, where the services that it left out are those known here. */
  private touchUnchanged ({ holder, reports, unchanged }: ReportsMessage): boolean {
    if (unchanged === undefined) return true
    const reported = new Set(reports.map(({ service }) => service))
    const held = [...this.lent].filter(([serviceId, { ledger }]) => ledger.hasHolder(holder) && !reported.has(serviceId))
    if (getServicesDigest(held.map(([serviceId]) => serviceId)) !== unchanged) return false
    for (const [, { ledger }] of held) ledger.touch(holder, this.options.timers.now())
    return true
  }

  private allocate (serviceId: string): IssuedGrant[] {
    const lent = this.lent.get(serviceId)
    if (lent === undefined) return []
    lent.ledger.setEndpoints(lent.service.listEndpoints())
    lent.ledger.setReach(this.options.membership.getReach())
    return [...lent.ledger.allocate(this.options.timers.now())].map(([holderId, grant]) => ({ holderId, serviceId, grant }))
  }
}
