/**
 * Stand-in of one minion: runs tasks under a lease, on its own steady clock, and registers itself in the store.
 */
import { createServer } from 'node:http'
import { listen, readJson, sendJson } from './http.mjs'

const HOLD_MAX_MS = 10_000
const STOP_MS = 200
/** Time after its start from which a task is at work. */
const STARTUP_MS = 300
/** Most ends in one list. */
const MAX_ENDS = 500

export class Minion {
  alive = false

  /**
   * @param spec - id, machine, service, capacity, labels.
   * @param world - store, host, record(), getTask(name) and observer with onStart, onEnd.
   */
  constructor (spec, world) {
    Object.assign(this, { draining: false, ...spec })
    this.world = world
  }

  /** Begins a life: nothing runs, no fencing token is known, the clock and the numbers of ends start anew. */
  async start () {
    this.alive = true
    this.born = Date.now()
    this.startedAt = performance.now()
    this.token = 0
    this.leaseUntil = 0
    this.runs = new Map()
    this.ends = []
    this.nextEnd = 1
    this.barred = new Map()
    this.waiters = new Set()
    this.timers = new Set()
    this.server = createServer((req, res) => this.handle(req, res).catch(() => res.destroy()))
    this.address = await listen(this.server, this.world.host, this.address?.port ?? 0)
    this.world.record('minion up', { minion: this.id, machine: this.machine, born: this.born, capacity: this.capacity, labels: this.labels })
  }

  /** Writes the minion's entry to the store. */
  register () {
    if (!this.alive) return
    this.world.store.put('servers', this.id, {
      service: this.service,
      address: `${this.address.host}:${this.address.port}`,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: this.draining ? 'draining' : 'ready',
      'cold-remaining-ms': 0,
      capacity: this.capacity,
      labels: this.labels,
      machine: this.machine,
      born: this.born,
      'clock-ms': this.clock,
      sequence: 1,
    })
    this.world.record('minion registers', { minion: this.id, born: this.born, capacity: this.capacity })
  }

  /** Ends the life at once, as a crash or a taken-away machine does: connections are reset, nothing is listed. */
  kill (why) {
    if (!this.alive) return
    this.alive = false
    for (const timer of this.timers) clearTimeout(timer)
    for (const run of [...this.runs.values()]) this.drop(run, 'lost')
    for (const wake of [...this.waiters]) wake()
    this.server.closeAllConnections()
    this.server.close()
    this.world.record('minion down', { minion: this.id, why })
  }

  get clock () {
    return Math.floor(performance.now() - this.startedAt)
  }

  after (ms, work) {
    const timer = setTimeout(() => {
      this.timers.delete(timer)
      work()
    }, ms)
    this.timers.add(timer)
  }

  async handle (req, res) {
    const body = await readJson(req)
    const expected = req.headers['vanillathread-expect-instance']
    if (expected !== undefined && expected !== this.id) return sendJson(res, 421, {})
    switch (`${req.method} ${req.url}`) {
      case 'POST /run-start': return this.answer(res, this.startRun(body))
      case 'POST /run-stop': return this.answer(res, this.stopRun(body))
      case 'POST /pace': return this.answer(res, this.isFenced(body) ? 'fence' : undefined)
      case 'POST /hold': return this.hold(body, res)
      case 'GET /healthz': return sendJson(res, 200, {})
      default: return sendJson(res, 400, {})
    }
  }

  answer (res, reason) {
    if (reason === undefined) sendJson(res, 200, { 'clock-ms': this.clock, born: this.born })
    else sendJson(res, 409, { 'clock-ms': this.clock, born: this.born, reason })
  }

  isFenced ({ 'fencing-token': token = 0 }) {
    if (token < this.token) return true
    this.token = token
    return false
  }

  startRun (body) {
    const { task, 'run-id': number, 'until-ms': until } = body
    const key = `${task}#${number}`
    if (this.isFenced(body)) return 'fence'
    this.extendLease(until)
    if (until <= this.clock) return 'late'
    if (this.runs.has(key)) return undefined
    if (number <= (this.barred.get(task) ?? 0)) return 'old'
    if (!this.world.isTicketValid(task, this, body.ticket)) return 'ticket'
    const run = { key, task, number, minion: this, startedAt: performance.now(), spec: this.world.getTask(task) }
    this.runs.set(key, run)
    this.world.record('run begins', { minion: this.id, task, run: number, token: this.token })
    this.world.observer.onStart(run)
    if (run.spec?.durationMs !== undefined) this.after(run.spec.durationMs, () => this.end(run, 'done'))
    return undefined
  }

  stopRun (body) {
    const { task, 'run-id': number } = body
    if (this.isFenced(body)) return 'fence'
    this.barred.set(task, Math.max(this.barred.get(task) ?? 0, number))
    const run = this.runs.get(`${task}#${number}`)
    if (run !== undefined) this.after(STOP_MS, () => this.end(run, 'stopped'))
    return undefined
  }

  async hold (body, res) {
    if (this.isFenced(body)) return this.answer(res, 'fence')
    this.ends = this.ends.filter(([number]) => number > (body['last-seen'] ?? 0))
    if (body['until-ms'] !== undefined) this.extendLease(body['until-ms'])
    if (this.ends.length === 0 && body['wait-ms'] > 0) await this.waitForEnd(Math.min(2_000, body['wait-ms']))
    if (!this.alive) return res.destroy()
    const running = [...this.runs.values()].map(({ task, number, startedAt, spec }) => [task, number, '', performance.now() - startedAt < STARTUP_MS ? 0 : 100, spec?.cpu ?? 0])
    return sendJson(res, 200, { 'clock-ms': this.clock, born: this.born, running, finished: this.ends.slice(0, MAX_ENDS) })
  }

  /** Extends the lease if the new end is later, at most by the longest lease. All runs end when it expires. */
  extendLease (until) {
    const end = Math.min(until, this.clock + HOLD_MAX_MS)
    if (end <= this.leaseUntil) return
    this.leaseUntil = end
    this.after(end - this.clock + 1, () => {
      if (this.clock < this.leaseUntil) return
      for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
    })
  }

  waitForEnd (limitMs) {
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

  end (run, how) {
    if (!this.drop(run, how)) return
    this.barred.set(run.task, Math.max(this.barred.get(run.task) ?? 0, run.number))
    this.ends.push([this.nextEnd++, run.task, run.number, how, ''])
    for (const wake of [...this.waiters]) wake()
  }

  drop (run, how) {
    if (this.runs.get(run.key) !== run) return false
    this.runs.delete(run.key)
    this.world.record('run ends', { minion: this.id, task: run.task, run: run.number, how })
    this.world.observer.onEnd(run, how)
    return true
  }
}
