/**
 * One HTTP exchange with the platform, with its outcome told apart.
 */
import { Pool, errors } from 'undici'
import type { z } from 'zod'
import { Result } from '@vanillathread/model'
import { PlatformErrorKind, type PlatformError } from '../PlatformError.js'

/** A request to the platform. @public */
export interface PlatformRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  /** JSON content or bytes. */
  readonly body?: unknown
  /** Validator of the answer that the caller has already. */
  readonly ifNoneMatch?: string
}

/** A platform answer before it is checked. */
export interface RawAnswer {
  readonly status: number
  readonly bytes: Uint8Array
  /** Validator of the answer, where the platform gives one. */
  readonly etag?: string
  /** Time at which the platform answered, by its own clock, in milliseconds since 1970. */
  readonly dateMs?: number
}

const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503
const FIRST_SERVER_ERROR = 500

/** Errors by which undici says that a request was never sent. */
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

  /** Exchanges JSON and checks the answer against a schema. */
  async exchangeJson<T> (req: PlatformRequest, schema: z.ZodType<T>): Promise<Result<T, PlatformError>> {
    const res = await this.exchange(req)
    if (!res.ok) return res
    const parsed = schema.safeParse(parseJson(res.value.bytes))
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'answer does not match its schema' })
  }

  /** Exchanges bytes. */
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
        // A silent connection must not hold the caller longer than the timeout.
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

/** Parses an answer's JSON; an answer that is none gives undefined. */
export function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
