/**
 * Stand-in of the service that says which minions may run a step. It handles one call at a time, in turn; all calls come from one
 * machine, the owner's.
 */
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { listen, readJson, sendJson } from './http.mjs'

const MAX_WAITING = 32

export class AdviceService {
  /** Ends of validity, by step, minion, its life and ticket. */
  tickets = new Map()
  waiting = 0
  turn = Promise.resolve()
  nextTicket = 1

  /** @param rules - `decide-ms`, `each-ms` and `valid-ms`, as in the configuration. */
  constructor (rules, { record, findMinion }) {
    Object.assign(this, { rules, record, findMinion })
    this.server = createServer((req, res) => this.handle(req, res).catch(() => res.destroy()))
  }

  async start (host) {
    this.address = await listen(this.server, host)
  }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  async handle (req, res) {
    const { step, workers = [] } = await readJson(req)
    if (this.waiting >= MAX_WAITING) return sendJson(res, 429, {})
    this.waiting += 1
    const before = this.turn
    const work = before.then(() => sleep(this.rules['decide-ms'] + this.rules['each-ms'] * workers.length))
    this.turn = work
    await work
    this.waiting -= 1
    const granted = workers.map((id) => [id, this.grant(step, id)])
    this.record('advice', { step, workers: workers.length, waiting: this.waiting, heard: !res.destroyed })
    return sendJson(res, 200, { granted, 'valid-ms': this.rules['valid-ms'] })
  }

  grant (step, id) {
    const ticket = `t-${this.nextTicket++}`
    this.tickets.set(`${step}/${id}/${this.findMinion(id)?.born}/${ticket}`, performance.now() + this.rules['valid-ms'])
    return ticket
  }

  isValid (task, minion, ticket) {
    const step = task.slice(0, task.lastIndexOf('.'))
    return (this.tickets.get(`${step}/${minion.id}/${minion.born}/${ticket}`) ?? 0) > performance.now()
  }
}
