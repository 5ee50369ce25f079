/**
 * The row that records that a keyed non-idempotent request was accepted.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ServiceRequest } from '../request/ServiceRequest.js'

/** How far a claimed request has come. @public */
export enum ClaimState {
  /** Accepted; it may be running. */
  Claimed = 'claimed',
  /** Answered whole; the answer is kept where it is small enough. */
  Answered = 'answered',
  /** It may have run; nobody will find out. */
  Unknown = 'unknown',
}

/** Schema of a claim row. @public */
export const claimRowSchema = z.strictObject({
  state: z.enum(ClaimState),
  /** Request that holds the claim. */
  requestId: z.string(),
  /** Digest of the request's method, path and body. */
  requestDigest: z.string(),
  /** Wall-clock time of the claim in milliseconds since 1970. */
  claimedAtMs: z.number(),
  /** Answer by its digest in the object store. */
  answerDigest: z.string().optional(),
})

/** Content of a claim row. @public */
export type ClaimRow = z.infer<typeof claimRowSchema>

/** Returns the key of a request's claim row. */
export function getClaimKey (service: string, idempotencyKey: string): string {
  return `claim/${service}/${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

/** Returns a digest by which a key that is reused for another request is noticed. */
export function getRequestDigest (req: ServiceRequest): string {
  const hash = createHash('sha256').update(`${req.method} ${req.path}\n`)
  if (req.body !== undefined) hash.update(req.body)
  return hash.digest('hex')
}
