/**
 * The row that records that a non-idempotent request with an idempotency key was accepted.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ServiceRequest } from '../request/ServiceRequest.js'

/** States of a claimed request. @public */
export enum ClaimState {
  /** Accepted; it may be running. */
  Claimed = 'claimed',
  /** Answered completely. The answer is stored too, unless it is too large or could not be stored. */
  Answered = 'answered',
  /** The request may or may not have run, and this can no longer be determined. */
  Unknown = 'unknown',
}

/** Schema of a claim row. @public */
export const claimRowSchema = z.strictObject({
  state: z.enum(ClaimState),
  /** Id of the request that holds the claim. */
  requestId: z.string(),
  /** Digest of the request's method, path and body. */
  requestDigest: z.string(),
  /** Wall-clock time of the claim in milliseconds since 1970. */
  claimedAtMs: z.number(),
  /** Digest under which the object store holds the answer; absent if the answer is not stored. */
  answerDigest: z.string().optional(),
})

/** Content of a claim row. @public */
export type ClaimRow = z.infer<typeof claimRowSchema>

/** Returns the key of a request's claim row. */
export function getClaimKey (service: string, idempotencyKey: string): string {
  return `claim/${service}/${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

/** Returns the digest of a request, which shows whether a key is used again for a different request. */
export function getRequestDigest (req: ServiceRequest): string {
  const hash = createHash('sha256').update(`${req.method} ${req.path}\n`)
  if (req.body !== undefined) hash.update(req.body)
  return hash.digest('hex')
}
