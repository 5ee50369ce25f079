/**
 * HTTP server of the platform's store, over the in-memory stand-in.
 */
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { Result } from '@vanillathread/model'
import { StoreFailureKind, type RowCondition, type RowKey, type RowPage, type StoredRow, type StoreFailure } from '@vanillathread/ports'
import type { StoreClientStandIn, StoreStandIn } from '@vanillathread/stand-ins'

/** Tables that only the operator and the VMs write to. */
const READ_ONLY_TABLES = ['op', 'servers']

/** Maximum number of rows in one answer, as specified by the platform. */
const MAX_PAGE_ROWS = 500

/** Time for which changes stay in the history. */
const HISTORY_MS = 20_000

const MAX_BODY_BYTES = 1024 * 1024

interface TransactionBody {
  readonly precondition?: ReadonlyArray<RowKey & { readonly ver: number }>
  readonly put?: ReadonlyArray<RowKey & { readonly value: string }>
  readonly remove?: readonly RowKey[]
}

/** Serves a {@link StoreStandIn}. */
export class StoreServer {
  private readonly app: FastifyInstance = fastify({ bodyLimit: MAX_BODY_BYTES })
  private readonly client: StoreClientStandIn

  private constructor (private readonly store: StoreStandIn, private readonly onPut: (key: RowKey, value: Buffer) => void) {
    this.client = store.connect()
    this.app.post('/rows-tx', (req, res) => this.transact(req, res))
    this.app.get('/rows-get', (req, res) => this.readRange(req, res))
    this.app.get('/rows-parts', (req) => this.listParts(req))
    this.app.get('/rows-feed', (req, res) => this.readFeed(req, res))
  }

  /** `onPut` is called after each row that a transaction has written. */
  static create (options: { store: StoreStandIn, onPut: (key: RowKey, value: Buffer) => void }): StoreServer {
    return new StoreServer(options.store, options.onPut)
  }

  /** Listens on a port that the system chooses, and returns the port. */
  async listen (host: string): Promise<number> {
    await this.app.listen({ host, port: 0 })
    this.trimHistory()
    return (this.app.server.address() as AddressInfo).port
  }

  /** Repeatedly drops the changes that are older than {@link HISTORY_MS}. */
  private trimHistory (): void {
    const version = this.store.latestVersion
    this.store.timers.after(HISTORY_MS, () => {
      this.store.dropHistory(version)
      this.trimHistory()
    })
  }

  private async transact (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const body = req.body as TransactionBody
    const puts = (body.put ?? []).map((row) => ({ ...toKey(row), value: Buffer.from(row.value, 'base64') }))
    const removes = (body.remove ?? []).map(toKey)
    if ([...puts, ...removes].some(({ table }) => READ_ONLY_TABLES.includes(table))) return res.code(403).send({})
    const conditions: RowCondition[] = (body.precondition ?? []).map((row) => ({ ...toKey(row), version: row.ver }))
    const outcome = await this.client.transact({ conditions, puts, removes })
    if (!outcome.ok) return this.fail(res, outcome.error)
    for (const put of puts) this.onPut(put, put.value)
    return this.send(res, { ver: outcome.value.version })
  }

  private async readRange (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const { table = '', part = '', from, target, limit } = req.query as Record<string, string | undefined>
    const outcome = await this.client.readRange({ table, part, from, to: target })
    return this.sendPage(res, outcome, Math.min(Number(limit ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS))
  }

  private async readFeed (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const query = req.query as Record<string, string | undefined>
    const outcome = await this.client.readFeed(query['table'] ?? '', Number(query['after']), Number(query['wait-ms'] ?? 0))
    return this.sendPage(res, outcome, Infinity)
  }

  private listParts (req: FastifyRequest): Record<string, unknown> {
    const { table, after = '' } = req.query as Record<string, string | undefined>
    const parts = new Set([...this.store.rows.values()].filter((row) => row.table === table && row.part > after).map((row) => row.part))
    return { parts: [...parts].sort(), ver: this.store.latestVersion, 'now-ms': this.getClockMs(), 'has-more': false }
  }

  private sendPage (res: FastifyReply, outcome: Result<RowPage, StoreFailure>, limit: number): FastifyReply {
    if (!outcome.ok) return this.fail(res, outcome.error)
    const { rows, version } = outcome.value
    return this.send(res, { ver: version, rows: rows.slice(0, limit).map(encodeRow), 'has-more': rows.length > limit })
  }

  private fail (res: FastifyReply, failure: StoreFailure): FastifyReply {
    switch (failure.kind) {
      case StoreFailureKind.Conflict:
        res.code(412)
        return this.send(res, { ver: this.store.latestVersion, rows: failure.rows.map(encodeRow) })
      case StoreFailureKind.HistoryGone: return res.code(410).send({})
      case StoreFailureKind.NotDone: return res.code(503).send({})
      case StoreFailureKind.Unknown:
        res.hijack()
        res.raw.destroy()
        return res
    }
  }

  private send (res: FastifyReply, body: Record<string, unknown>): FastifyReply {
    return res.send({ ...body, 'now-ms': this.getClockMs() })
  }

  private getClockMs (): number {
    return Math.floor(this.store.timers.now())
  }
}

function toKey ({ table, part, key }: RowKey): RowKey {
  return { table, part, key }
}

function encodeRow (row: StoredRow): Record<string, unknown> {
  const { table, part, key, value, version } = row
  return { table, part, key, ver: version, ...(row.removed ? { deleted: true } : { value: Buffer.from(value).toString('base64') }) }
}
