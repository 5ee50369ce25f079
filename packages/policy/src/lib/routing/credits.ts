/**
 * Messages between the daemon that lends an endpoint's slots and the daemons that use them.
 */

/** Slots by endpoint id. @public */
export type SlotCounts = ReadonlyMap<string, number>

/** A holder's report to the lender. @public */
export interface CreditReport {
  readonly daemonId: string
  /** Availability zone of the holder. */
  readonly zone: string
  /** Number of requests in flight and queued. */
  readonly demand: number
  /** Sequence number of the latest grant that the holder has applied; 0 before the first. */
  readonly ackSeq: number
  /** Slots by endpoint that the holder may use or still uses. */
  readonly held: SlotCounts
}

/** The limits that the lender grants to a holder. @public */
export interface CreditGrant {
  /** Sequence number, which increases with each grant to this holder. */
  readonly seq: number
  /** Maximum number of attempts that the holder may have in flight, by endpoint. */
  readonly limits: SlotCounts
}

/** An endpoint whose slots may be lent. @public */
export interface LendableEndpoint {
  readonly endpointId: string
  readonly zone: string
  readonly slots: number
}
