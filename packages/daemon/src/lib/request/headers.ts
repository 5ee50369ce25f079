/**
 * Names of the headers exchanged with callers and endpoints, and the selection of the headers that are forwarded.
 */
import type { Headers } from './ServiceRequest.js'

/** Headers that callers may set. @public */
export enum CallerHeader {
  WorkClass = 'vanillathread-class',
  DeadlineMs = 'vanillathread-deadline-ms',
  Idempotent = 'vanillathread-idempotent',
  IdempotencyKey = 'idempotency-key',
}

/** Headers of answers to callers. @public */
export enum AnswerHeader {
  RequestId = 'vanillathread-request-id',
  Code = 'vanillathread-code',
  Execution = 'vanillathread-execution',
}

/** Headers between the daemon and endpoints. @public */
export enum EndpointHeader {
  /** Id of the attempt, sent with each request. If the endpoint echoes it, an answer to another attempt is detected. */
  Attempt = 'vanillathread-attempt',
  /** Set by an endpoint that refused a request without running it. */
  NotRun = 'vanillathread-not-run',
  /** Set together with `NotRun` by an endpoint that is leaving and accepts no new work. */
  Leaving = 'vanillathread-leaving',
}

/** Headers that apply to a single connection and are not forwarded. Source: RFC 9110, section 7.6.1. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade',
])

/** Request headers that are not forwarded, because the daemon sets or handles them itself. */
const REPLACED: ReadonlySet<string> = new Set(['host', 'content-length', 'expect'])

/** Returns the headers of a request that are forwarded to the endpoint. */
export function selectRequestHeaders (headers: Headers): Record<string, string | string[]> {
  return selectHeaders(headers, (name) => !REPLACED.has(name))
}

/** Returns the headers of an answer that are forwarded to the caller. */
export function selectAnswerHeaders (headers: Headers): Record<string, string | string[]> {
  return selectHeaders(headers, (name) => name !== EndpointHeader.Attempt)
}

function selectHeaders (headers: Headers, isWanted: (name: string) => boolean): Record<string, string | string[]> {
  const named = getConnectionOptions(headers)
  const selected: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || named.has(name) || !isWanted(name)) continue
    selected[name] = value
  }
  return selected
}

/** Returns the names of further hop-by-hop headers that the `Connection` header lists. */
function getConnectionOptions (headers: Headers): Set<string> {
  const value = headers['connection']
  const text = Array.isArray(value) ? value.join(',') : value ?? ''
  return new Set(text.toLowerCase().split(',').map((name) => name.trim()).filter((name) => name !== ''))
}
