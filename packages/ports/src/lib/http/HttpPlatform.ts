/**
 * Implementation of every platform port over HTTP.
 */
import { z } from 'zod'
import { Result } from '@vanillathread/model'
import type { FleetList, FleetSnapshot } from '../FleetList.js'
import type { ObjectStore } from '../ObjectStore.js'
import type { Platform } from '../Platform.js'
import { PlatformErrorKind, type PlatformError } from '../PlatformError.js'
import type { TableChanges, TableRow, TableService, TableTransaction } from '../TableService.js'
import type { VmActions, PlatformVmState } from '../VmActions.js'
import { HttpPlatformClient, parseJson } from './HttpPlatformClient.js'
import { changesAnswerSchema, fleetAnswerSchema, observationAnswerSchema, readAnswerSchema, transactAnswerSchema } from './wire.js'

const STATUS_NOT_MODIFIED = 304
const STATUS_NOT_FOUND = 404

class HttpTable implements TableService {
  constructor (private readonly client: HttpPlatformClient) {}

  async read (key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    const res = await this.client.exchangeJson({ method: 'GET', path: `/table/row?key=${encodeURIComponent(key)}` }, readAnswerSchema)
    return res.ok ? Result.ok(res.value.row ?? undefined) : res
  }

  async readChanges (prefix: string, sinceRevision: number): Promise<Result<TableChanges, PlatformError>> {
    const path = `/table/changes?prefix=${encodeURIComponent(prefix)}&since=${sinceRevision}`
    return this.client.exchangeJson({ method: 'GET', path }, changesAnswerSchema)
  }

  async transact (transaction: TableTransaction): Promise<Result<number, PlatformError>> {
    const res = await this.client.exchangeJson({ method: 'POST', path: '/table/transact', body: transaction }, transactAnswerSchema)
    if (!res.ok) return res
    if ('conflict' in res.value) return Result.err({ kind: PlatformErrorKind.Conflict, keys: res.value.conflict })
    return Result.ok(res.value.revision)
  }
}

class HttpObjectStore implements ObjectStore {
  constructor (private readonly client: HttpPlatformClient) {}

  async put (digest: string, bytes: Uint8Array): Promise<Result<void, PlatformError>> {
    const res = await this.client.exchangeBytes({ method: 'PUT', path: `/objects/${digest}`, body: bytes })
    return res.ok ? Result.ok(undefined) : res
  }

  async get (digest: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
    const res = await this.client.exchangeBytes({ method: 'GET', path: `/objects/${digest}` })
    if (!res.ok) return res
    return Result.ok(res.value.status === STATUS_NOT_FOUND ? undefined : res.value.bytes)
  }
}

class HttpFleet implements FleetList, VmActions {
  /** The last list that was read, with its entity tag. */
  private lastList: { readonly etag: string, readonly snapshot: FleetSnapshot } | undefined

  constructor (private readonly client: HttpPlatformClient) {}

  /** Reads the list by a conditional request, which transfers it only if it has changed (RFC 9110, section 13.1.2). */
  async list (): Promise<Result<FleetSnapshot, PlatformError>> {
    const res = await this.client.exchangeBytes({ method: 'GET', path: '/fleet', ...this.lastList === undefined ? {} : { ifNoneMatch: this.lastList.etag } })
    if (!res.ok) return res
    const { status, etag, dateMs, bytes } = res.value
    if (status === STATUS_NOT_MODIFIED && this.lastList !== undefined && dateMs !== undefined) {
      return Result.ok({ ...this.lastList.snapshot, asOfMs: Math.max(this.lastList.snapshot.asOfMs, dateMs) })
    }
    const parsed = fleetAnswerSchema.safeParse(parseJson(bytes))
    if (!parsed.success) return Result.err({ kind: PlatformErrorKind.OutcomeUnknown, reason: 'fleet list does not match its schema' })
    this.lastList = etag === undefined ? undefined : { etag, snapshot: parsed.data }
    return Result.ok(parsed.data)
  }

  async readState (vmId: string): Promise<Result<PlatformVmState | undefined, PlatformError>> {
    const res = await this.client.exchangeJson({ method: 'GET', path: `/vms/${encodeURIComponent(vmId)}` }, observationAnswerSchema)
    return res.ok ? Result.ok(res.value.observation ?? undefined) : res
  }

  async reboot (vmId: string, operationId: string): Promise<Result<void, PlatformError>> {
    const path = `/vms/${encodeURIComponent(vmId)}/reboot`
    const res = await this.client.exchangeJson({ method: 'POST', path, body: { operationId } }, z.strictObject({}))
    return res.ok ? Result.ok(undefined) : res
  }
}

/** The platform's services over HTTP. @public */
export class HttpPlatform implements Platform {
  readonly table: TableService
  readonly objects: ObjectStore
  readonly fleet: FleetList
  readonly vms: VmActions

  private constructor (private readonly client: HttpPlatformClient) {
    const fleet = new HttpFleet(client)
    this.table = new HttpTable(client)
    this.objects = new HttpObjectStore(client)
    this.fleet = fleet
    this.vms = fleet
  }

  /** @param options - `timeoutMs` bounds each call, including the time to connect. */
  static create (options: { url: string, timeoutMs: number }): HttpPlatform {
    return new HttpPlatform(HttpPlatformClient.create(options))
  }

  async dispose (): Promise<void> {
    await this.client.dispose()
  }
}
