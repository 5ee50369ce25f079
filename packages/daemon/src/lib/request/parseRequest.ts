/**
 * Parses the URL and the headers of a caller's request.
 */
import { Result, WorkClass } from '@vanillathread/model'
import { CallerHeader } from './headers.js'
import type { Headers } from './ServiceRequest.js'

/** The fields of a caller's request that its URL and headers determine. */
export interface ParsedRequest {
  readonly service: string
  /** Path and query that are sent to the endpoint. */
  readonly path: string
  readonly workClass: WorkClass
  /** Time from the arrival of the request to its deadline. */
  readonly timeToDeadlineMs?: number
  readonly idempotent: boolean
  readonly idempotencyKey?: string
}

/** Methods that are idempotent by definition. Source: RFC 9110, section 9.2.2. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE'])
const MAX_DEADLINE_MS = 10 * 60 * 1000
/** Largest length of an idempotency key in characters. */
const MAX_KEY_LENGTH = 255

/**
 * Splits the URL into service and path, and parses the headers that are meant for the daemon.
 *
 * @param url - `/SERVICE/PATH?QUERY`.
 * @returns the parsed request, or the name of the header whose value is invalid.
 */
export function parseRequest (method: string, url: string, headers: Headers): Result<ParsedRequest, string> {
  const workClass = getHeader(headers, CallerHeader.WorkClass) ?? WorkClass.Normal
  if (!isWorkClass(workClass)) return Result.err(CallerHeader.WorkClass)
  const timeToDeadlineMs = parseDeadline(getHeader(headers, CallerHeader.DeadlineMs))
  if (Number.isNaN(timeToDeadlineMs)) return Result.err(CallerHeader.DeadlineMs)
  const idempotent = parseBoolean(getHeader(headers, CallerHeader.Idempotent)) ?? IDEMPOTENT_METHODS.has(method)
  if (idempotent === 'invalid') return Result.err(CallerHeader.Idempotent)
  const idempotencyKey = getHeader(headers, CallerHeader.IdempotencyKey)
  if (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > MAX_KEY_LENGTH)) return Result.err(CallerHeader.IdempotencyKey)
  return Result.ok({
    ...splitUrl(url),
    workClass,
    idempotent,
    ...timeToDeadlineMs === undefined ? {} : { timeToDeadlineMs },
    ...idempotencyKey === undefined ? {} : { idempotencyKey },
  })
}

function splitUrl (url: string): { service: string, path: string } {
  const match = /^\/([^/?]*)(.*)$/.exec(url)
  const rest = match?.[2] ?? ''
  return { service: match?.[1] ?? '', path: rest.startsWith('/') ? rest : `/${rest}` }
}

function getHeader (headers: Headers, name: CallerHeader): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

function isWorkClass (text: string): text is WorkClass {
  return Object.values<string>(WorkClass).includes(text)
}

/** Returns undefined if there is no value, and NaN if it is invalid. */
function parseDeadline (text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  const value = /^\d+$/.test(text) ? Number(text) : Number.NaN
  return value > 0 && value <= MAX_DEADLINE_MS ? value : Number.NaN
}

function parseBoolean (text: string | undefined): boolean | 'invalid' | undefined {
  if (text === undefined) return undefined
  if (text === 'true') return true
  return text === 'false' ? false : 'invalid'
}
