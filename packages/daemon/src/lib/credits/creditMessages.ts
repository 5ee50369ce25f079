/**
 * Encoding of credit reports and grants.
 */
import { createHash } from 'node:crypto'
import type { CreditGrant, CreditReport, MemberRecord } from '@vanillathread/policy'
import type { PeerMessageKind, PeerMessageOf } from '../peer/messages.js'

/** A report as encoded in a message. */
export type ReportEntry = PeerMessageOf<PeerMessageKind.CreditReports>['reports'][number]
/** A grant as encoded in a message. */
export type GrantEntry = PeerMessageOf<PeerMessageKind.CreditGrants>['grants'][number]

/** Length of a digest of services, in hexadecimal digits. */
const DIGEST_CHARACTERS = 8

/** Returns the id of one process: the daemon id and the incarnation. */
export function getInstanceId (record: Pick<MemberRecord, 'daemonId' | 'incarnation'>): string {
  return `${record.daemonId}:${record.incarnation}`
}

/** Returns a short digest of a set of services; an empty set has an empty digest. */
export function getServicesDigest (serviceIds: readonly string[]): string {
  if (serviceIds.length === 0) return ''
  return createHash('md5').update([...serviceIds].sort().join('\n')).digest('hex').slice(0, DIGEST_CHARACTERS)
}

/** Encodes the report of one service. The holder's id is left out, as the message contains it once for all reports. */
export function encodeReport (service: string, report: CreditReport): ReportEntry {
  return { service, zone: report.zone, demand: report.demand, ackSeq: report.ackSeq, held: [...report.held] }
}

/** Encodes the grant of one service. */
export function encodeGrant (service: string, grant: CreditGrant): GrantEntry {
  return { service, seq: grant.seq, limits: [...grant.limits] }
}

/** Decodes the grant of one service. */
export function decodeGrant (entry: GrantEntry): CreditGrant {
  return { seq: entry.seq, limits: new Map(entry.limits) }
}
