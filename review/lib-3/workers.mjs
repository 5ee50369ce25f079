/**
 * Stand-ins of workers that run tasks, over HTTP, as PROTOCOL.md describes them: leases, fencing tokens, run numbers, checkpoints and gangs.
 */
import { createServer } from 'node:http'

/** Ends of one report at the most. */
const MAX_ENDS = 500

/** Bounds that the settings of the daemons name, too. */
export const STOP_MS = 200
export const GANG_MS = 3_000
export const CHECKPOINT_MS = 1_000

/** What the tasks of each job do, by job, and what happened. */
export class Fleet {
  /** Workers that are up, by id. */
  workers = new Map()
  /** The last life of each machine's worker, by machine. */
  lastWorkers = new Map()
  jobs = new Map()
  events = []
  #gangs = new Map()
  #listeners = new Set()

  static create () {
    return new Fleet()
  }

  /** Describes a job before it is handed in: for each step `ms`, and `gang` if its tasks work only together. */
  describeJob (id, steps) {
    this.jobs.set(id, steps)
  }

  onEvent (listener) {
    this.#listeners.add(listener)
  }

  record (event) {
    const entry = { atMs: Math.round(performance.now()), ...event }
    this.events.push(entry)
    for (const listener of this.#listeners) listener(entry)
  }

  getStep (task) {
    const [job, , step] = task.split('.')
    return this.jobs.get(job)?.[Number(step)]
  }

  /** Adds a run to its gang, which begins to work once all its members are present. */
  joinGang (run) {
    const gang = this.#getGang(run)
    gang.members.add(run)
    if (gang.members.size < this.getStep(run.task).count) {
      run.aloneTimer = setTimeout(() => run.worker.end(run, 'alone'), GANG_MS)
      return
    }
    // The members resume from the earliest point that they were given.
    const baseMs = Math.min(...[...gang.members].map((member) => member.baseMs))
    for (const member of gang.members) {
      clearTimeout(member.aloneTimer)
      member.baseMs = baseMs
      member.worker.begin(member)
    }
  }

  /** Ends the other members of a gang together with one of them. */
  leaveGang (run, how) {
    const gang = this.#getGang(run)
    clearTimeout(run.aloneTimer)
    gang.members.delete(run)
    if (run.workSinceMs === undefined) return
    const others = [...gang.members]
    gang.members.clear()
    for (const other of others) other.worker.end(other, how === 'done' ? 'done' : 'broken')
  }

  #getGang ({ task, run }) {
    const name = `${task.slice(0, task.lastIndexOf('.'))}#${run}`
    const gang = this.#gangs.get(name) ?? { members: new Set() }
    this.#gangs.set(name, gang)
    return gang
  }
}

/** One life of a worker. */
export class Worker {
  draining = false
  runs = new Map()
  #ends = []
  #nextEnd = 1
  #fence = 0
  #leaseUntilMs = 0
  #barred = new Map()
  #waiters = new Set()
  #startedAtMs = performance.now()
  bornMs = Date.now()

  constructor (fleet, id, { pool, machine, rack, capacity }) {
    Object.assign(this, { fleet, id, pool, machine, rack, capacity })
    fleet.workers.set(id, this)
    fleet.lastWorkers.set(machine, this)
  }

  static create (fleet, id, options) {
    return new Worker(fleet, id, options)
  }

  get clockMs () {
    return Math.floor(performance.now() - this.#startedAtMs)
  }

  /** The worker's row in the table `servers`. */
  get entry () {
    return {
      service: this.pool,
      address: `127.0.0.1:${this.port}`,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: this.draining ? 'draining' : 'ready',
      'cold-remaining-ms': 0,
      capacity: this.capacity,
      labels: ['a', this.rack],
      machine: this.machine,
      'clock-ms': this.clockMs,
      born: this.bornMs,
      sequence: 1,
    }
  }

  /** Listens on a port, or on one that the system chooses. */
  async listen (port) {
    this.server = createServer((req, res) => this.#serve(req, res))
    await new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve))
    this.port = this.server.address().port
  }

  /** Ends the worker and what it runs, without a word. Connections to it are refused. */
  crash () {
    this.#loseRuns()
    this.server.close()
    this.server.closeAllConnections()
    this.fleet.workers.delete(this.id)
  }

  /** Starts a crashed worker again under its id and at its address. It knows nothing of before. */
  async revive () {
    this.#forget()
    await new Promise((resolve) => this.server.listen(this.port, '127.0.0.1', resolve))
    this.fleet.workers.set(this.id, this)
  }

  /** Ends the worker as a crash does, and starts it again at once. */
  restart () {
    this.#loseRuns()
    this.#forget()
    this.server.closeAllConnections()
  }

  #loseRuns () {
    clearTimeout(this.leaseTimer)
    for (const run of [...this.runs.values()]) {
      this.runs.delete(run.name)
      clearTimeout(run.doneTimer)
      this.fleet.record({ event: 'end', worker: this.id, task: run.task, run: run.run, how: 'crash' })
      if (run.step.gang) this.fleet.leaveGang(run, 'crash')
    }
  }

  #forget () {
    this.#ends = []
    this.#nextEnd = 1
    this.#fence = 0
    this.#leaseUntilMs = 0
    this.#barred.clear()
    this.#startedAtMs = performance.now()
    this.bornMs = Date.now()
  }

  /** Begins or resumes the work of a run. */
  begin (run) {
    run.workSinceMs = performance.now()
    // A task that lasts has no end of its own.
    if (run.step.ms === undefined) return
    const leftMs = Math.max(1, run.step.ms - run.baseMs)
    run.doneTimer = setTimeout(() => this.end(run, 'done'), leftMs)
  }

  end (run, how) {
    if (this.runs.get(run.name) !== run) return
    this.runs.delete(run.name)
    clearTimeout(run.doneTimer)
    if (how === 'stopped') run.saved = formatCheckpoint(run, getWorkMs(run))
    else run.saved = getSaved(run)
    this.#barred.set(run.task, Math.max(this.#barred.get(run.task) ?? 0, run.run))
    this.#ends.push([this.#nextEnd++, run.task, run.run, how, run.step.checkpointing ? run.saved : ''])
    this.fleet.record({ event: 'end', worker: this.id, task: run.task, run: run.run, how, saved: run.step.checkpointing ? run.saved : undefined })
    if (run.step.gang) this.fleet.leaveGang(run, how)
    for (const settle of [...this.#waiters]) settle()
  }

  async #serve (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const body = JSON.parse(Buffer.concat(chunks).toString() || '{}')
    const lateMs = this.fleet.chooseLateMs?.(req.url)
    if (lateMs !== undefined) {
      // The order gets no answer and is carried out late, unless the worker has started again meanwhile.
      const { bornMs } = this
      setTimeout(() => { if (this.bornMs === bornMs && this.fleet.workers.get(this.id) === this) this.#answer(req, body) }, lateMs)
      return
    }
    const [status, answer] = await this.#answer(req, body)
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ 'clock-ms': this.clockMs, born: this.bornMs, ...answer }))
  }

  async #answer (req, body) {
    const expected = req.headers['vanillathread-expect-instance']
    if (expected !== undefined && expected !== this.id) return [421, {}]
    const token = body['fencing-token'] ?? 0
    if (token < this.#fence) return [409, { reason: 'fence' }]
    this.#fence = token
    switch (req.url) {
      case '/run-start': return this.#start(body)
      case '/run-stop': return this.#stop(body)
      case '/pace': return [200, {}]
      case '/hold': return this.#hold(body)
      default: return [404, {}]
    }
  }

  #start (body) {
    const { task, 'run-id': run, spec, 'until-ms': until, checkpoint = '' } = body
    this.#extendLease(until)
    if (until <= this.clockMs) return [409, { reason: 'late' }]
    const name = `${task}#${run}`
    if (this.runs.has(name)) return [200, {}]
    if (run <= (this.#barred.get(task) ?? 0)) return [409, { reason: 'old' }]
    const step = this.fleet.getStep(task)
    this.fleet.record({ event: 'start', worker: this.id, task, run, spec, checkpoint, ticket: body.ticket, token: body['fencing-token'] })
    if (step === undefined) return [200, {}]
    const started = { name, task, run, step, worker: this, baseMs: checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16), saved: checkpoint }
    this.runs.set(name, started)
    if (step.gang) this.fleet.joinGang(started)
    else this.begin(started)
    return [200, {}]
  }

  #stop ({ task, 'run-id': run }) {
    this.#barred.set(task, Math.max(this.#barred.get(task) ?? 0, run))
    const stopped = this.runs.get(`${task}#${run}`)
    if (stopped !== undefined) setTimeout(() => this.end(stopped, 'stopped'), STOP_MS / 2)
    return [200, {}]
  }

  async #hold (body) {
    const seen = body['last-seen'] ?? 0
    for (const [number, task, run, how] of this.#ends) if (number <= seen) this.fleet.record({ event: 'noted', worker: this.id, task, run, how })
    this.#ends = this.#ends.filter(([number]) => number > seen)
    if (body['until-ms'] !== undefined) this.#extendLease(body['until-ms'])
    if (this.#ends.length === 0 && body['wait-ms'] > 0) await this.#waitForEnd(Math.min(2_000, body['wait-ms']))
    const running = [...this.runs.values()].map((run) => [run.task, run.run, run.step.checkpointing ? getSaved(run) : '', 100, 0])
    return [200, { running, finished: this.#ends.slice(0, MAX_ENDS) }]
  }

  #waitForEnd (limitMs) {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer)
        this.#waiters.delete(settle)
        resolve()
      }
      const timer = setTimeout(settle, limitMs)
      this.#waiters.add(settle)
    })
  }

  #extendLease (untilMs) {
    if (untilMs <= this.#leaseUntilMs) return
    this.#leaseUntilMs = untilMs
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => { for (const run of [...this.runs.values()]) this.end(run, 'lapsed') }, Math.max(1, untilMs - this.clockMs))
  }
}

function getWorkMs ({ baseMs, workSinceMs }) {
  return workSinceMs === undefined ? baseMs : baseMs + Math.floor(performance.now() - workSinceMs)
}

/** Returns the latest value: a new one comes with each CHECKPOINT_MS of work. */
function getSaved (run) {
  const workMs = getWorkMs(run)
  const savedMs = run.baseMs + Math.floor((workMs - run.baseMs) / CHECKPOINT_MS) * CHECKPOINT_MS
  return savedMs <= run.baseMs ? run.saved : formatCheckpoint(run, savedMs)
}

function formatCheckpoint ({ task }, workMs) {
  return `${workMs.toString(16).padStart(8, '0')}${task.slice(4, 12)}`
}
