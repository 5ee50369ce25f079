/**
 * HTTP calls to the platform, whose failures are sorted into not executed and unknown outcome.
 */
import { Pool, errors } from 'undici'
import type { z } from 'zod'
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError } from '../PlatformError.js'

/** A request to the platform. @public */
export interface PlatformRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  /** Path with its query. */
  readonly path: string
  /** Bytes, or content that is sent as JSON. */
  readonly body?: unknown
  /** Entity tag of the answer that the caller already has; if it is current, the platform answers 304. */
  readonly ifNoneMatch?: string
}

/** An answer of the platform before its content is checked. */
export interface RawAnswer {
  readonly status: number
  readonly bytes: Uint8Array
  /** Entity tag of the answer, if the platform sends one. */
  readonly etag?: string
  /** Time of the answer by the platform's clock, in milliseconds since 1970. */
  readonly dateMs?: number
}

const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const FIRST_SERVER_ERROR = 500

/** Codes of undici's errors that mean that the request was not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Sends requests to the platform over pooled connections. @public */
export class HttpPlatformClient {
  private constructor (private readonly pool: Pool, private readonly timeoutMs: number) {}

  static create (options: { url: string, timeoutMs: number }): HttpPlatformClient {
    const pool = new Pool(options.url, {
      connections: MAX_CONNECTIONS,
      connect: { timeout: options.timeoutMs },
      headersTimeout: options.timeoutMs,
      bodyTimeout: options.timeoutMs,
    })
    return new HttpPlatformClient(pool, options.timeoutMs)
  }

  /** Sends a request and checks the JSON of the answer against a schema. */
  async exchangeJson<T> (req: PlatformRequest, schema: z.ZodType<T>): Promise<Result<T, PlatformError>> {
    const res = await this.exchange(req)
    if (!res.ok) return res
    const parsed = schema.safeParse(parseJson(res.value.bytes))
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'answer does not match its schema' })
  }

  /** Sends a request and returns the answer with any status from 200 to 499. */
  async exchangeBytes (req: PlatformRequest): Promise<Result<RawAnswer, PlatformError>> {
    return this.exchange(req)
  }

  async dispose (): Promise<void> {
    await this.pool.destroy()
  }

  private async exchange (req: PlatformRequest): Promise<Result<RawAnswer, PlatformError>> {
    try {
      const res = await this.pool.request({
        method: req.method,
        path: req.path,
        ...encodeBody(req),
        // Bounds the whole call: an unresponsive connection must not hold the caller longer than the timeout.
        signal: AbortSignal.timeout(this.timeoutMs),
      })
      const bytes = new Uint8Array(await res.body.arrayBuffer())
      const etag = getText(res.headers['etag'])
      const date = getText(res.headers['date'])
      return classifyStatus({
        status: res.statusCode, bytes, ...etag === undefined ? {} : { etag }, ...date === undefined ? {} : { dateMs: Date.parse(date) },
      })
    } catch (err) {
      return Result.err(classifyFailure(err))
    }
  }
}

const MAX_CONNECTIONS = 8

function encodeBody ({ body, ifNoneMatch }: PlatformRequest): { body?: string | Uint8Array, headers?: Record<string, string> } {
  const condition: Record<string, string> = ifNoneMatch === undefined ? {} : { 'if-none-match': ifNoneMatch }
  if (body === undefined) return { headers: condition }
  if (body instanceof Uint8Array) return { body, headers: { ...condition, 'content-type': 'application/octet-stream' } }
  return { body: JSON.stringify(body), headers: { ...condition, 'content-type': 'application/json' } }
}

function getText (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function classifyStatus (answer: RawAnswer): Result<RawAnswer, PlatformError> {
  const { status } = answer
  if (status === STATUS_UNAVAILABLE) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'service unavailable' })
  if (status < STATUS_OK || status >= FIRST_SERVER_ERROR) return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: `status ${status}` })
  return Result.ok(answer)
}

function classifyFailure (err: unknown): PlatformError {
  const code = err instanceof Error && 'code' in err ? String(err.code) : ''
  const notSent = NOT_SENT_CODES.has(code) || err instanceof errors.ConnectTimeoutError
  return { kind: notSent ? PlatformErrorKind.Unavailable : PlatformErrorKind.OutcomeUnknown, reason: code || String(err) }
}

/** Parses the JSON of an answer. Returns undefined if it is not JSON. */
export function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
