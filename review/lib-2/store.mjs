/**
 * Stand-in of the platform's metadata store: rows, transactions under conditions, and the feed of changes.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { serveJson } from './http.mjs'

/** Time that an answer takes. */
const ANSWER_MS = 3

const MAX_ENTRIES = 100
const MAX_ROWS = 500
const HISTORY_MS = 20_000

/** Tables that the system may not write to. */
const OUTER_TABLES = new Set(['op', 'servers'])

export class Store {
  constructor () {
    this.rows = new Map()
    this.version = 1
    this.history = []
    this.forgottenUpTo = 0
    this.waiters = new Set()
  }

  async listen (host) {
    this.server = await serveJson(host, (req) => this.handle(req))
    return this.server.address().port
  }

  /** Writes a row as the operator or a minion does. */
  put (table, key, value) {
    this.apply([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  remove (table, key) {
    this.apply([], [{ table, part: '', key }])
  }

  /** Returns the decoded JSON of a row, or undefined. */
  get (table, key) {
    const row = this.rows.get(name({ table, part: '', key }))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'))
  }

  async handle ({ method, path, query, body }) {
    await sleep(ANSWER_MS)
    const route = `${method} ${path}`
    if (route === 'POST /rows-tx') return this.transact(body)
    if (route === 'GET /rows-get') return this.readRange(query)
    if (route === 'GET /rows-feed') return this.readFeed(query)
    if (route === 'GET /rows-parts') {
      const parts = new Set([...this.rows.values()].filter((row) => row.table === query.get('table') && row.part > (query.get('after') ?? '')).map(({ part }) => part))
      return this.answer({ parts: [...parts].sort(), 'has-more': false })
    }
    return { status: 404 }
  }

  transact ({ precondition = [], put = [], remove = [], across = false }) {
    const entries = [...precondition, ...put, ...remove]
    if (entries.length > MAX_ENTRIES || (!across && new Set(entries.map(({ part }) => part)).size > 1)) return { status: 400 }
    if ([...put, ...remove].some(({ table }) => OUTER_TABLES.has(table))) return { status: 403 }
    if (precondition.some((row) => (this.rows.get(name(row))?.ver ?? 0) !== row.ver)) {
      const rows = precondition.map((row) => this.rows.get(name(row))).filter((row) => row !== undefined)
      return this.answer({ rows }, 412)
    }
    this.apply(put, remove)
    return this.answer({})
  }

  readRange (query) {
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS)
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const rows = [...this.rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? '') && row.key >= from && (target === null || row.key < target))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
    return this.answer({ rows: rows.slice(0, limit), 'has-more': rows.length > limit })
  }

  async readFeed (query) {
    const after = Number(query.get('after'))
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('wait-ms') ?? 0))
    for (;;) {
      if (after < this.forgottenUpTo) return { status: 410 }
      const rows = this.history.filter(({ row }) => row.table === query.get('table') && row.ver > after).map(({ row }) => row)
      const leftMs = untilMs - performance.now()
      if (rows.length > 0 || leftMs <= 0) return this.answer({ rows: rows.slice(0, MAX_ROWS) }, 200, rows.length > MAX_ROWS ? rows[MAX_ROWS - 1].ver : this.version)
      await new Promise((resolve) => {
        const timer = setTimeout(finish, leftMs)
        const { waiters } = this
        function finish () {
          clearTimeout(timer)
          waiters.delete(finish)
          resolve()
        }
        waiters.add(finish)
      })
    }
  }

  apply (puts, removes) {
    this.version += 1
    const atMs = performance.now()
    for (const { table, part, key, value } of puts) {
      const row = { table, part, key, value, ver: this.version }
      this.rows.set(name(row), row)
      this.history.push({ atMs, row })
    }
    for (const { table, part, key } of removes) {
      if (this.rows.delete(name({ table, part, key }))) this.history.push({ atMs, row: { table, part, key, ver: this.version, deleted: true } })
    }
    while (this.history.length > 0 && this.history[0].atMs < atMs - HISTORY_MS) this.forgottenUpTo = this.history.shift().row.ver
    for (const finish of [...this.waiters]) finish()
  }

  answer (body, status = 200, version = this.version) {
    return { status, body: { ...body, ver: version, 'now-ms': Math.floor(performance.now()) } }
  }
}

function name ({ table, part, key }) {
  return `${table}\0${part}\0${key}`
}
