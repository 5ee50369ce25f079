/**
 * Stand-in of the platform's store: rows with versions, transactions with conditions, feeds with a bounded history.
 */
import { createServer } from 'node:http'
import { listen, readJson, sendJson } from './http.mjs'

const LATENCY_MS = 4
const MAX_ENTRIES = 100
const MAX_PAGE_ROWS = 500
const ROW_BYTES = 65_536
const HISTORY_MS = 20_000

/** Tables that only the operator and the minions write to. */
const READ_ONLY_TABLES = ['op', 'servers']

export class Store {
  rows = new Map()
  version = 1
  history = []
  historyStart = 0
  waiters = new Set()
  startedAt = performance.now()
  /** Time after which a write that came while the store is silent is carried out; undefined while the store answers. */
  silentWriteDelayMs = undefined

  constructor () {
    this.server = createServer((req, res) => {
      setTimeout(() => this.handle(req, res).catch(() => res.destroy()), LATENCY_MS)
    })
    this.trimTimer = setInterval(() => this.trim(), 1_000)
  }

  async start (host) {
    this.address = await listen(this.server, host)
  }

  stop () {
    clearInterval(this.trimTimer)
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Writes a row as the operator, a minion or another program does. */
  put (table, key, value) {
    this.apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (table, key) {
    this.apply([], [{ table, part: '', key }])
  }

  /** Discards the history of all changes until now. */
  dropHistory () {
    this.history = []
    this.historyStart = this.version
    this.wake()
  }

  /** Drops changes that are older than the history is long. */
  trim () {
    const limit = performance.now() - HISTORY_MS
    while (this.history.length > 0 && this.history[0].atMs < limit) this.historyStart = this.history.shift().row.ver
  }

  apply (puts, removes) {
    this.version += 1
    const atMs = performance.now()
    for (const { table, part, key, value } of puts) {
      const row = { table, part, key, value, ver: this.version }
      this.rows.set(rowId(row), row)
      this.history.push({ row, atMs })
    }
    for (const { table, part, key } of removes) {
      if (!this.rows.delete(rowId({ table, part, key }))) continue
      this.history.push({ row: { table, part, key, ver: this.version, deleted: true }, atMs })
    }
    this.wake()
    return this.version
  }

  wake () {
    for (const wake of [...this.waiters]) wake()
  }

  async handle (req, res) {
    const url = new URL(req.url, 'http://store')
    const body = await readJson(req)
    if (this.silentWriteDelayMs !== undefined) {
      if (url.pathname === '/rows-tx') setTimeout(() => this.transact(body), this.silentWriteDelayMs)
      return
    }
    switch (`${req.method} ${url.pathname}`) {
      case 'POST /rows-tx': return this.transact(body, res)
      case 'GET /rows-get': return this.readRange(url.searchParams, res)
      case 'GET /rows-feed': return this.readFeed(url.searchParams, res)
      default: return sendJson(res, 400, {})
    }
  }

  /** Carries out a transaction, and answers it unless its answer is lost. */
  transact ({ precondition = [], put = [], remove = [] }, res) {
    if ([...put, ...remove].some(({ table }) => READ_ONLY_TABLES.includes(table))) return sendJson(res, 403, {})
    if (precondition.length + put.length + remove.length > MAX_ENTRIES) return sendJson(res, 400, {})
    if (put.some(({ value }) => Buffer.from(value, 'base64').length > ROW_BYTES)) return sendJson(res, 400, {})
    const isMet = precondition.every((row) => (this.rows.get(rowId(row))?.ver ?? 0) === row.ver)
    if (isMet) return this.answer(res, 200, { ver: this.apply(put, remove) })
    const rows = precondition.map((row) => this.rows.get(rowId(row))).filter((row) => row !== undefined)
    return this.answer(res, 412, { ver: this.version, rows })
  }

  readRange (query, res) {
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const limit = Math.min(Number(query.get('limit') ?? MAX_PAGE_ROWS), MAX_PAGE_ROWS)
    const rows = [...this.rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter((row) => row.key >= from && (target === null || row.key < target))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)))
    return this.answer(res, 200, { rows: rows.slice(0, limit), 'has-more': rows.length > limit, ver: this.version })
  }

  async readFeed (query, res) {
    const table = query.get('table')
    const after = Number(query.get('after'))
    const untilMs = performance.now() + Number(query.get('wait-ms') ?? 0)
    for (;;) {
      if (after < this.historyStart) return sendJson(res, 410, {})
      const rows = this.history.filter(({ row }) => row.table === table && row.ver > after).map(({ row }) => row)
      const leftMs = untilMs - performance.now()
      if (rows.length > 0 || leftMs <= 0) return this.answer(res, 200, { rows, ver: this.version })
      await this.waitForChange(leftMs)
    }
  }

  waitForChange (limitMs) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, limitMs)
      this.waiters.add(wake)
    })
  }

  answer (res, status, body) {
    if (res !== undefined) sendJson(res, status, { ...body, 'now-ms': Math.floor(performance.now() - this.startedAt) })
  }
}

function rowId ({ table, part, key }) {
  return `${table}\0${part}\0${key}`
}
