/**
 * Client of a daemon's operations port.
 */
import { request } from 'undici'
import { z } from 'zod'
import { ResultCode, type ConfigurationHead } from '@vanillathread/model'
import { CliError } from './CliError.js'

const memberSchema = z.looseObject({
  daemonId: z.string(),
  zone: z.string(),
  version: z.int(),
  state: z.string(),
})

const serviceSchema = z.looseObject({
  id: z.string(),
  queued: z.int(),
  active: z.int(),
  slots: z.int(),
  ejected: z.array(z.string()),
})

const statusSchema = z.looseObject({
  daemonId: z.string(),
  phase: z.string(),
  version: z.int(),
  loopLagMs: z.number(),
  memoryBytes: z.number(),
  members: z.array(memberSchema),
  leavingVms: z.array(z.string()),
  services: z.array(serviceSchema),
})

/** A daemon's status. Only the fields that the tool uses are checked; the others are kept as they are. */
export type OperationsStatus = z.infer<typeof statusSchema>

/** Kinds of objects that a daemon can explain. */
export enum ExplainedKind {
  Vm = 'vm',
  Pool = 'pool',
  Request = 'request',
}

const STATUS_OK = 200
const STATUS_NOT_FOUND = 404
const TIMEOUT_MS = 5_000

/** Calls one daemon's operations port. */
export class OperationsClient {
  private constructor (private readonly url: string) {}

  static create (url: string): OperationsClient {
    return new OperationsClient(url.replace(/\/$/, ''))
  }

  async getStatus (): Promise<OperationsStatus> {
    return statusSchema.parse(await this.get('/status'))
  }

  /** Announces an accepted configuration to the daemon, so that it spreads even if the platform fails right after accepting it. */
  async announce (head: ConfigurationHead, objects: ReadonlyMap<string, Uint8Array>): Promise<void> {
    const body = { head, objects: [...objects].map(([digest, bytes]) => ({ digest, base64: Buffer.from(bytes).toString('base64') })) }
    const res = await this.request('/configuration/announce', { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' } })
    await res.body.dump()
  }

  /** Returns the explanation of one object. Throws a {@link CliError} with `NotFound` if the daemon does not know it. */
  async explain (kind: ExplainedKind, id: string): Promise<Record<string, unknown>> {
    return z.record(z.string(), z.unknown()).parse(await this.get(`/explain/${kind}/${encodeURIComponent(id)}`))
  }

  private async get (path: string): Promise<unknown> {
    const res = await this.request(path)
    const body: unknown = await res.body.json()
    if (res.statusCode === STATUS_NOT_FOUND) throw CliError.create(ResultCode.NotFound, path)
    if (res.statusCode !== STATUS_OK) throw CliError.create(ResultCode.PlatformUnavailable, `status ${res.statusCode} from ${this.url}`)
    return body
  }

  private async request (path: string, options: { method?: 'POST', body?: string, headers?: Record<string, string> } = {}): ReturnType<typeof request> {
    try {
      return await request(this.url + path, { ...options, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
    } catch (err) {
      throw CliError.create(ResultCode.PlatformUnavailable, `daemon at ${this.url}: ${String(err)}`)
    }
  }
}
