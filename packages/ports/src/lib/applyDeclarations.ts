/**
 * Stores declarations and records them as the accepted configuration.
 */
import { z } from 'zod'
import {
  CONFIGURATION_HEAD_KEY, configurationHeadSchema, encodeBundle, Result, ResultCode,
  type ConfigurationHead, type Declarations, type EncodedBundle,
} from '@vanillathread/model'
import type { Platform } from './Platform.js'
import { getPlatformResultCode, PlatformErrorKind, type PlatformError } from './PlatformError.js'

/** Reason why an edit was not accepted; `head` is the accepted one. @public */
export type ApplyError =
  | { readonly code: ResultCode.VersionConflict, readonly basedOn: number, readonly head: ConfigurationHead }
  | { readonly code: ResultCode.NothingToApply, readonly head: ConfigurationHead }
  | { readonly code: ResultCode.PlatformUnavailable | ResultCode.PlatformOutcomeUnknown | ResultCode.PlatformConflict, readonly reason: string }

/** An edit of the configuration. @public */
export interface ApplyRequest {
  readonly declarations: Declarations
  /** Version that the edit is based on, or 0 for the first one. */
  readonly basedOn: number
  /** Unique id of the edit. After a lost answer it shows whether the edit was accepted. */
  readonly applyId: string
}

/** The head row with its revision, which a conditional write needs. @public */
export interface HeadRow {
  readonly head: ConfigurationHead
  /** Revision of the row, or 0 if it does not exist. */
  readonly revision: number
}

/** Key of the row that holds the most recently accepted heads, newest last. */
const HISTORY_KEY = 'configuration/history'
/** Largest number of heads in the history. */
const HISTORY_LIMIT = 64
const historySchema = z.array(configurationHeadSchema)

const EMPTY_HEAD: ConfigurationHead = { version: 0, manifestDigest: '', applyId: '' }
const RESOLVE_ATTEMPTS = 3

/**
 * Records an edit as accepted by compare-and-set on the head row.
 *
 * The call may be repeated with the same apply id: an edit that is the accepted one already is recognized by its id.
 *
 * @returns the accepted head, or the reason why nothing was changed. With the code `PlatformOutcomeUnknown` it is not
 * known whether the edit was accepted.
 * @public
 */
export async function applyDeclarations (platform: Platform, req: ApplyRequest): Promise<Result<ConfigurationHead, ApplyError>> {
  const current = await readConfigurationHead(platform)
  if (!current.ok) return Result.err(toApplyError(current.error))
  const { head, revision } = current.value
  if (head.applyId === req.applyId) return Result.ok(head)
  if (head.version !== req.basedOn) return Result.err({ code: ResultCode.VersionConflict, basedOn: req.basedOn, head })

  const bundle = encodeBundle(req.declarations)
  if (head.manifestDigest === bundle.manifestDigest) return Result.err({ code: ResultCode.NothingToApply, head })
  const stored = await storeObjects(platform, bundle)
  if (!stored.ok) return Result.err(toApplyError(stored.error))
  return setHead(platform, { version: head.version + 1, manifestDigest: bundle.manifestDigest, applyId: req.applyId }, revision)
}

/** Reads the head row. A head with version 0 means that no configuration has been accepted. @public */
export async function readConfigurationHead (platform: Platform): Promise<Result<HeadRow, PlatformError>> {
  const res = await platform.table.read(CONFIGURATION_HEAD_KEY)
  if (!res.ok) return res
  if (res.value === undefined) return Result.ok({ head: EMPTY_HEAD, revision: 0 })
  return Result.ok({ head: configurationHeadSchema.parse(res.value.value), revision: res.value.revision })
}

async function storeObjects (platform: Platform, bundle: EncodedBundle): Promise<Result<void, PlatformError>> {
  for (const [digest, bytes] of bundle.objects) {
    const res = await platform.objects.put(digest, bytes)
    if (!res.ok) return res
  }
  return Result.ok(undefined)
}

async function setHead (platform: Platform, head: ConfigurationHead, revision: number): Promise<Result<ConfigurationHead, ApplyError>> {
  const history = await readHistory(platform)
  if (!history.ok) return Result.err(toApplyError(history.error))
  const res = await platform.table.transact({
    conditions: [{ key: CONFIGURATION_HEAD_KEY, revision }],
    writes: [
      { key: CONFIGURATION_HEAD_KEY, value: head },
      { key: HISTORY_KEY, value: [...history.value, head].slice(-HISTORY_LIMIT) },
    ],
  })
  if (res.ok) return Result.ok(head)
  if (res.error.kind === PlatformErrorKind.Unavailable) return Result.err(toApplyError(res.error))
  return resolveHead(platform, head, res.error)
}

/** Reads the history. A transaction that writes the head also writes the history. */
async function readHistory (platform: Platform): Promise<Result<ConfigurationHead[], PlatformError>> {
  const res = await platform.table.read(HISTORY_KEY)
  if (!res.ok) return res
  return Result.ok(historySchema.parse(res.value?.value ?? []))
}

/**
 * Finds out whether an edit was accepted after a conflict or a lost answer.
 *
 * It reads the history as well as the head, because a later edit may already have replaced this one in the head.
 */
async function resolveHead (platform: Platform, wanted: ConfigurationHead, cause: PlatformError): Promise<Result<ConfigurationHead, ApplyError>> {
  for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
    const history = await readHistory(platform)
    const current = await readConfigurationHead(platform)
    if (!history.ok || !current.ok) continue
    const accepted = history.value.find((head) => head.applyId === wanted.applyId)
    if (accepted !== undefined) return Result.ok(accepted)
    const { head } = current.value
    if (head.applyId === wanted.applyId) return Result.ok(head)
    if (head.version >= wanted.version) return Result.err({ code: ResultCode.VersionConflict, basedOn: wanted.version - 1, head })
  }
  return Result.err(toApplyError(cause))
}

function toApplyError (error: PlatformError): ApplyError {
  const code = getPlatformResultCode(error) as ResultCode.PlatformUnavailable | ResultCode.PlatformOutcomeUnknown | ResultCode.PlatformConflict
  const reason = error.kind === PlatformErrorKind.Conflict ? error.keys.join(', ') : error.reason
  return { code, reason }
}
