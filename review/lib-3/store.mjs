/**
 * Stand-in of the platform's metadata store, over HTTP, as PROTOCOL.md describes it.
 */
import { createServer } from 'node:http'

/** Rows of one answer at the most. */
const MAX_ROWS = 500

/** Time that the store takes for an answer. */
const ANSWER_MS = 3

/** Time for which changes stay in the history. */
const HISTORY_MS = 20_000

/** The store's steady clock at the start of the case: the store has run for some time. */
const CLOCK_BASE_MS = 1_000_000

/** Time after which a late call is carried out. */
const LATE_MS = 3_000

const READ_ONLY_TABLES = ['op', 'servers']

function nameOf ({ table, part, key }) {
  return `${table}\0${part}\0${key}`
}

/** Rows with versions, and the history of their changes. */
export class Store {
  #rows = new Map()
  #history = []
  #trimmedVersion = 0
  #sortedKeys = new Map()
  #waiters = new Set()
  version = 0

  static create () {
    return new Store()
  }

  get nowMs () {
    return CLOCK_BASE_MS + Math.floor(performance.now())
  }

  get (table, part, key) {
    return this.#rows.get(nameOf({ table, part, key }))
  }

  /** Returns the rows of one part of a table in the order of their keys. */
  list (table, part) {
    return this.#keysOf(table, part).map((key) => this.get(table, part, key))
  }

  /** Writes a row that the operator or a worker puts. */
  put (table, key, value) {
    this.#commit([{ table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  /** Removes a row of the operator or of a worker. */
  remove (table, key) {
    this.#commit([], [{ table, part: '', key }])
  }

  /** Writes many rows, whose changes are older than the history. */
  load (rows) {
    this.#commit(rows, [])
    this.#history.length = 0
    this.#trimmedVersion = this.version
  }

  /** Returns the status and the body of a transaction. */
  transact ({ precondition = [], put = [], remove = [] }) {
    if ([...put, ...remove].some(({ table }) => READ_ONLY_TABLES.includes(table))) return [403, {}]
    if (precondition.length + put.length + remove.length > 100) return [413, {}]
    const holds = precondition.every((row) => (this.#rows.get(nameOf(row))?.ver ?? 0) === row.ver)
    if (!holds) {
      const rows = precondition.map(({ table, part, key }) => this.get(table, part, key) ?? { table, part, key, value: '', ver: 0 })
      return [412, { rows, ver: this.version, 'now-ms': this.nowMs }]
    }
    this.#commit(put, remove)
    return [200, { ver: this.version, 'now-ms': this.nowMs }]
  }

  readRange ({ table, part = '', from = '', target, limit }) {
    const keys = this.#keysOf(table, part).filter((key) => key >= from && (target === undefined || key < target))
    const count = Math.min(MAX_ROWS, Number(limit ?? MAX_ROWS))
    return [200, { rows: keys.slice(0, count).map((key) => this.get(table, part, key)), 'has-more': keys.length > count, ver: this.version, 'now-ms': this.nowMs }]
  }

  async readFeed ({ table, after, 'wait-ms': wait = 0 }) {
    const endMs = performance.now() + Math.min(30_000, Number(wait))
    for (;;) {
      const res = this.#readChanges(table, Number(after))
      if (res[0] !== 200 || res[1].rows.length > 0 || performance.now() >= endMs) return res
      await new Promise((resolve) => {
        const settle = () => {
          clearTimeout(timer)
          this.#waiters.delete(settle)
          resolve()
        }
        const timer = setTimeout(settle, Math.max(1, endMs - performance.now()))
        this.#waiters.add(settle)
      })
    }
  }

  listParts ({ table }) {
    const parts = new Set([...this.#rows.values()].filter((row) => row.table === table).map((row) => row.part))
    return [200, { parts: [...parts].sort(), 'has-more': false, ver: this.version, 'now-ms': this.nowMs }]
  }

  #readChanges (table, after) {
    if (after < this.#trimmedVersion) return [410, {}]
    const changed = new Map()
    for (let index = this.#history.length - 1; index >= 0 && this.#history[index].ver > after; index--) {
      const { row } = this.#history[index]
      if (row.table === table && !changed.has(nameOf(row))) changed.set(nameOf(row), row)
    }
    return [200, { rows: [...changed.values()].reverse(), 'has-more': false, ver: this.version, 'now-ms': this.nowMs }]
  }

  #commit (puts, removes) {
    this.version += 1
    const atMs = performance.now()
    const changes = [...puts.map(({ table, part, key, value }) => ({ table, part, key, value, ver: this.version })), ...removes.map(({ table, part, key }) => ({ table, part, key, deleted: true, ver: this.version }))]
    for (const row of changes) {
      const known = this.#rows.has(nameOf(row))
      if (row.deleted !== true) this.#rows.set(nameOf(row), row)
      else if (known) this.#rows.delete(nameOf(row))
      if (known !== (row.deleted !== true)) this.#sortedKeys.delete(`${row.table}\0${row.part}`)
      this.#history.push({ ver: this.version, atMs, row })
    }
    while (this.#history.length > 0 && this.#history[0].atMs < atMs - HISTORY_MS) this.#trimmedVersion = this.#history.shift().ver
    for (const settle of [...this.#waiters]) settle()
  }

  #keysOf (table, part) {
    const name = `${table}\0${part}`
    let keys = this.#sortedKeys.get(name)
    if (keys === undefined) {
      keys = [...this.#rows.values()].filter((row) => row.table === table && row.part === part).map(({ key }) => key).sort()
      this.#sortedKeys.set(name, keys)
    }
    return keys
  }
}

/**
 * Serves a store on a loopback port that the system chooses.
 *
 * @param chooseFault - returns what happens to a call: undefined, or 'busy', 'reset', 'silent', 'lost' (done and not answered) or 'late' (done
 *   later, if its condition still holds, and not answered).
 */
export async function serveStore (store, chooseFault = () => undefined) {
  const server = createServer(async (req, res) => {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const fault = chooseFault(req.url)
    if (fault === 'silent') return
    if (fault === 'reset') return req.socket.destroy()
    if (fault === 'busy') return res.writeHead(503).end()
    if (fault === 'lost') store.transact(JSON.parse(Buffer.concat(chunks).toString()))
    if (fault === 'late') setTimeout(() => store.transact(JSON.parse(Buffer.concat(chunks).toString())), LATE_MS)
    if (fault !== undefined) return
    const url = new URL(req.url, 'http://store')
    const query = Object.fromEntries(url.searchParams)
    let answer = [404, {}]
    if (url.pathname === '/rows-tx') answer = store.transact(JSON.parse(Buffer.concat(chunks).toString()))
    else if (url.pathname === '/rows-get') answer = store.readRange(query)
    else if (url.pathname === '/rows-feed') answer = await store.readFeed(query)
    else if (url.pathname === '/rows-parts') answer = store.listParts(query)
    setTimeout(() => {
      res.writeHead(answer[0], { 'content-type': 'application/json' })
      res.end(JSON.stringify(answer[1]))
    }, ANSWER_MS)
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server.address().port
}
