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
}

/** A platform answer before it is checked. */
interface RawAnswer {
  readonly status: number
  readonly bytes: Uint8Array
}

const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503

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
        ...encodeBody(req.body),
        // A silent connection must not hold the caller longer than the timeout.
        signal: AbortSignal.timeout(this.timeoutMs),
      })
      const bytes = new Uint8Array(await res.body.arrayBuffer())
      return classifyStatus(res.statusCode, bytes)
    } catch (err) {
      return Result.err(classifyFailure(err))
    }
  }
}

const MAX_CONNECTIONS = 8

function encodeBody (body: unknown): { body?: string | Uint8Array, headers?: Record<string, string> } {
  if (body === undefined) return {}
  if (body instanceof Uint8Array) return { body, headers: { 'content-type': 'application/octet-stream' } }
  return { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
}

function classifyStatus (status: number, bytes: Uint8Array): Result<RawAnswer, PlatformError> {
  if (status === STATUS_UNAVAILABLE) return Result.err({ kind: PlatformErrorKind.Unavailable, reason: 'service unavailable' })
  if (status < STATUS_OK || status >= 500) return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: `status ${status}` })
  return Result.ok({ status, bytes })
}

function classifyFailure (err: unknown): PlatformError {
  const code = err instanceof Error && 'code' in err ? String(err.code) : ''
  const notSent = NOT_SENT_CODES.has(code) || err instanceof errors.ConnectTimeoutError
  return { kind: notSent ? PlatformErrorKind.Unavailable : PlatformErrorKind.OutcomeUnknown, reason: code || String(err) }
}

function parseJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
