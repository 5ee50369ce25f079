/**
 * Header names of the interfaces towards callers and endpoints, and which headers are passed on.
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
  /** Sent with each attempt; an endpoint that echoes it lets crossed answers be recognized. */
  Attempt = 'vanillathread-attempt',
  /** Set by an endpoint that refused a request without running it. */
  NotRun = 'vanillathread-not-run',
  /** Set by an endpoint that wants no new work. */
  Leaving = 'vanillathread-leaving',
}

/** Headers that concern one connection only. Source: RFC 9110, section 7.6.1. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade',
])

/** Headers that the daemon sets itself in each direction. */
const REPLACED: ReadonlySet<string> = new Set(['host', 'content-length', 'expect'])

/** Returns the headers of a request that go on to the endpoint. */
export function selectRequestHeaders (headers: Headers): Record<string, string | string[]> {
  return selectHeaders(headers, (name) => !REPLACED.has(name))
}

/** Returns the headers of an answer that go on to the caller. */
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

/** Returns the names that a `Connection` header adds to the hop-by-hop ones. */
function getConnectionOptions (headers: Headers): Set<string> {
  const value = headers['connection']
  const text = Array.isArray(value) ? value.join(',') : value ?? ''
  return new Set(text.toLowerCase().split(',').map((name) => name.trim()).filter((name) => name !== ''))
}
