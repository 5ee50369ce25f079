/**
 * Keeps a non-idempotent request with an idempotency key from running twice, even if it is resent through another daemon.
 *
 * A row is written before the request is sent to an endpoint. If the outcome of this write stays
 * unknown, the request is not run.
 */
import { delay, type EventLog, type TimerService } from '@vanillathread/kernel'
import { EventCode, Execution, getDigest, RESULT_CODES, ResultCode } from '@vanillathread/model'
import { PlatformErrorKind, type Platform, type PlatformError, type TableRow } from '@vanillathread/ports'
import { claimOptions } from '../options.js'
import { RequestOutcomeKind, type Answer, type RequestOutcome, type ServiceRequest } from '../request/ServiceRequest.js'
import { claimRowSchema, ClaimState, getClaimKey, getRequestDigest, type ClaimRow } from './ClaimRow.js'
import { decodeAnswer, encodeAnswer } from './storedAnswer.js'
import { TableBatcher } from './TableBatcher.js'

/** Kinds of {@link ClaimResult}. */
export enum ClaimResultKind {
  Claimed = 'claimed',
  /** An earlier request with the same key was answered; the caller gets that answer. */
  Replay = 'replay',
  Refused = 'refused',
}

/** A claim that this daemon holds. */
export interface Claim {
  /** Key of the claim row, not the idempotency key. */
  readonly key: string
  /** Content of the claim row as written when the key was claimed. */
  readonly row: ClaimRow
  /** Revision of the claim row, on which the write of its final content is conditional. */
  readonly revision: number
}

/** Result of claiming a key. */
export type ClaimResult =
  | { readonly kind: ClaimResultKind.Claimed, readonly claim: Claim }
  | { readonly kind: ClaimResultKind.Replay, readonly answer: Answer }
  | { readonly kind: ClaimResultKind.Refused, readonly code: ResultCode, readonly retryAfterMs?: number }

/** Options of {@link RequestClaims.create}. */
export interface RequestClaimsOptions {
  readonly platform: Platform
  readonly timers: TimerService
  readonly log: EventLog
}

/** Claims idempotency keys for one daemon, and records how the claimed requests ended. */
export class RequestClaims {
  private readonly batcher: TableBatcher
  /** Number of claimed requests that have ended and whose end is not recorded yet. */
  private unrecordedCount = 0

  private constructor (private readonly options: RequestClaimsOptions) {
    this.batcher = TableBatcher.create(options.platform.table)
  }

  static create (options: RequestClaimsOptions): RequestClaims {
    return new RequestClaims(options)
  }

  /** Claims the idempotency key of a request. Only a request with the result `Claimed` may be run. */
  async claim (req: ServiceRequest, idempotencyKey: string): Promise<ClaimResult> {
    const key = getClaimKey(req.service, idempotencyKey)
    const row: ClaimRow = {
      state: ClaimState.Claimed,
      requestId: req.requestId,
      requestDigest: getRequestDigest(req),
      claimedAtMs: this.options.timers.wallClock(),
    }
    let reason = ''
    for (let attempt = 0; attempt < claimOptions.maxAttempts; attempt++) {
      const res = await this.batcher.write({ key, revision: 0, value: row })
      if (res.ok) return { kind: ClaimResultKind.Claimed, claim: { key, row, revision: res.value } }
      reason = describePlatformError(res.error)
      if (res.error.kind === PlatformErrorKind.Unavailable) break
      // After a conflict or an unknown outcome, the row itself shows which request holds the claim.
      const found = await this.options.platform.table.read(key)
      if (found.ok && found.value !== undefined) return this.resolveExisting(found.value, row)
    }
    this.options.log.write(EventCode.ClaimFailed, { requestId: req.requestId, service: req.service, reason })
    return { kind: ClaimResultKind.Refused, code: ResultCode.ClaimStoreUnavailable, retryAfterMs: claimOptions.retryAfterMs }
  }

  /** Records how a claimed request ended. The answer to the caller does not wait for this. */
  async finish (claim: Claim, outcome: RequestOutcome): Promise<void> {
    this.unrecordedCount += 1
    try {
      const value = await this.getFinalRow(claim.row, outcome)
      await this.writeWithRetries(claim, value)
    } finally {
      this.unrecordedCount -= 1
    }
  }

  /** Waits until every end of a claimed request passed to `finish` is recorded, but no longer than `drainTimeoutMs`. */
  async drain (): Promise<void> {
    for (let waitedMs = 0; this.unrecordedCount > 0 && waitedMs < claimOptions.drainTimeoutMs; waitedMs += DRAIN_POLL_MS) {
      await delay(this.options.timers, DRAIN_POLL_MS)
    }
  }

  /** Returns the result for a request whose key has a claim row already. `own` is the row that the request would have written. */
  private async resolveExisting (found: TableRow, own: ClaimRow): Promise<ClaimResult> {
    const row = claimRowSchema.parse(found.value)
    if (row.requestId === own.requestId) return { kind: ClaimResultKind.Claimed, claim: { key: found.key, row: own, revision: found.revision } }
    if (row.requestDigest !== own.requestDigest) return { kind: ClaimResultKind.Refused, code: ResultCode.KeyReused }
    if (row.state !== ClaimState.Answered) {
      return { kind: ClaimResultKind.Refused, code: ResultCode.ClaimUndecided, retryAfterMs: claimOptions.retryAfterMs }
    }
    const answer = await this.readAnswer(row)
    if (answer === undefined) return { kind: ClaimResultKind.Refused, code: ResultCode.DuplicateRequest }
    return { kind: ClaimResultKind.Replay, answer }
  }

  private async readAnswer (row: ClaimRow): Promise<Answer | undefined> {
    if (row.answerDigest === undefined) return undefined
    const res = await this.options.platform.objects.get(row.answerDigest)
    if (!res.ok || res.value === undefined || getDigest(res.value) !== row.answerDigest) return undefined
    return decodeAnswer(res.value)
  }

  /**
   * Returns the final content of the row. If the request did not run, returns undefined, which deletes
   * the row and frees the key.
   */
  private async getFinalRow (row: ClaimRow, outcome: RequestOutcome): Promise<ClaimRow | undefined> {
    if (outcome.kind === RequestOutcomeKind.Refusal) {
      const notRun = RESULT_CODES[outcome.refusal.code].execution === Execution.NotRun
      return notRun ? undefined : { ...row, state: ClaimState.Unknown }
    }
    const bytes = encodeAnswer(outcome.answer)
    if (bytes === undefined) return { ...row, state: ClaimState.Answered }
    const answerDigest = getDigest(bytes)
    const stored = await this.options.platform.objects.put(answerDigest, bytes)
    return { ...row, state: ClaimState.Answered, ...stored.ok ? { answerDigest } : {} }
  }

  private async writeWithRetries (claim: Claim, value: ClaimRow | undefined): Promise<void> {
    let reason = ''
    for (let attempt = 0; attempt < claimOptions.finishAttempts; attempt++) {
      const res = await this.batcher.write({ key: claim.key, revision: claim.revision, value })
      // A conflict means that an earlier attempt of this write took effect, as no other daemon changes the row.
      if (res.ok || res.error.kind === PlatformErrorKind.Conflict) return
      reason = describePlatformError(res.error)
      await delay(this.options.timers, claimOptions.finishRetryMs)
    }
    this.options.log.write(EventCode.ClaimFailed, { requestId: claim.row.requestId, step: 'finish', reason })
  }
}

function describePlatformError (error: PlatformError): string {
  return error.kind === PlatformErrorKind.Conflict ? error.kind : error.reason
}

const DRAIN_POLL_MS = 50
