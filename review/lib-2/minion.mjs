/**
 * Stand-in of a minion: it runs tasks under a lease, and carries out the orders of the highest fencing token that it has seen.
 *
 * The text that a job passes to its tasks is JSON: `{ "steps": [{ "workMs", "failsAfterMs", "lasts", "count", "gang", "checkpointing" }] }`.
 */
import { closeServer, serveJson } from './http.mjs'

/** Time from the start of a task until it works. */
const STARTUP_MS = 100

/** Time until the other minions of a gang see that a member has ended. */
const GANG_NOTICE_MS = 20

const MAX_ENDS = 500

/** Gangs with members on any minion, by step and run. */
export class Gangs {
  constructor ({ gangMs, onMixed }) {
    this.gangMs = gangMs
    this.onMixed = onMixed
    this.gangs = new Map()
  }

  join (minion, run) {
    const key = `${run.step}#${run.number}`
    const gang = this.gangs.get(key) ?? { members: new Map(), startedAtMs: undefined }
    this.gangs.set(key, gang)
    gang.members.set(run.task, { minion, run })
    run.gangKey = key
    if (gang.members.size < run.spec.count) {
      run.timer = setTimeout(() => minion.end(run, 'alone'), this.gangMs)
      return
    }
    const checkpoints = [...gang.members.values()].map(({ run: member }) => [member.task, member.checkpoint])
    this.onMixed(key, checkpoints)
    for (const { minion: each, run: member } of gang.members.values()) each.beginWork(member)
  }

  /** Ends the other members of a run that has ended in another way than `done`. */
  leave (run, how) {
    const gang = this.gangs.get(run.gangKey)
    if (gang === undefined) return
    gang.members.delete(run.task)
    if (how === 'done') return
    setTimeout(() => {
      for (const { minion, run: member } of gang.members.values()) minion.end(member, 'broken')
    }, GANG_NOTICE_MS)
  }
}

export class Minion {
  constructor (options) {
    Object.assign(this, { registerDelayMs: 0, ...options })
    this.bornMs = Date.now()
    this.startedAtMs = performance.now()
    this.runs = new Map()
    this.barred = new Map()
    this.ends = []
    this.nextEnd = 1
    this.token = 0
    this.leaseUntilMs = 0
    this.waiters = new Set()
    this.alive = true
    this.sequence = 0
    /** Number of the life; connections of a former one are reset when something comes on them. */
    this.life = 1
    this.isDark = false
  }

  get clockMs () {
    return Math.floor(performance.now() - this.startedAtMs)
  }

  async start () {
    this.server = await serveJson(this.host, (req) => this.handle(req), this.port ?? 0)
    this.port = this.server.address().port
    this.server.on('connection', (socket) => { socket.life = this.life })
    this.leaseTimer = setInterval(() => this.checkLease(), 5)
    this.registerTimer = setTimeout(() => this.register(), this.registerDelayMs)
    return this
  }

  register () {
    if (!this.alive) return
    this.sequence += 1
    this.store.put('servers', this.id, {
      service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: 'v1', slots: 8, state: 'ready', 'cold-remaining-ms': 0, capacity: this.capacity, labels: this.labels, 'clock-ms': this.clockMs, sequence: this.sequence, machine: this.machine, born: this.bornMs,
    })
  }

  /** Ends the minion at once, as a crash does: it says nothing more. */
  async crash () {
    this.alive = false
    clearInterval(this.leaseTimer)
    clearTimeout(this.registerTimer)
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      this.observe('gone', run)
      if (run.spec.gang) this.gangs.leave(run, 'crashed')
    }
    this.runs.clear()
    await closeServer(this.server)
  }

  /** Falls silent, as a machine that loses power does: nothing is answered or reset, and all runs are gone. */
  goDark () {
    this.isDark = true
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      this.observe('gone', run)
    }
    this.runs.clear()
  }

  /** Starts again under the same id, after `goDark`. It holds and knows nothing of before. */
  startAgain (registerDelayMs = 0) {
    this.life += 1
    this.isDark = false
    this.bornMs = Date.now()
    this.startedAtMs = performance.now()
    this.barred.clear()
    this.ends = []
    this.nextEnd = 1
    this.token = 0
    this.leaseUntilMs = 0
    this.waiters.clear()
    setTimeout(() => this.register(), registerDelayMs)
  }

  async handle ({ path, headers, body, socket }) {
    if (this.isDark) return undefined
    if (socket.life !== undefined && socket.life !== this.life) {
      socket.resetAndDestroy()
      return undefined
    }
    const expected = headers['vanillathread-expect-instance']
    if (expected !== undefined && expected !== this.id) return { status: 421, body: { 'clock-ms': this.clockMs } }
    if (this.ignores?.(body) === true) return undefined
    const token = body['fencing-token'] ?? 0
    if (token < this.token) return this.refuse('fence')
    this.token = token
    if (path === '/run-start') return this.startRun(body)
    if (path === '/run-stop') return this.stopRun(body)
    if (path === '/hold') return this.hold(body)
    return path === '/pace' ? this.answer({}) : { status: 404 }
  }

  startRun (body) {
    const { task, 'run-id': number, spec, checkpoint = '' } = body
    this.extendLease(body['until-ms'])
    const key = `${task}#${number}`
    if (this.runs.has(key)) return this.answer({})
    if (number <= (this.barred.get(task) ?? 0)) return this.refuse('old')
    if (body['until-ms'] <= this.clockMs) return this.refuse('late')
    const [job, occurrence, step] = task.split('.')
    const run = { task, number, job, step: `${job}.${occurrence}.${step}`, spec: JSON.parse(spec).steps[Number(step)], checkpoint, workedMs: readProgress(checkpoint), saved: checkpoint, workingSinceMs: undefined, token: body['fencing-token'] }
    this.runs.set(key, run)
    this.observe('start', run)
    if (run.spec.gang) this.gangs.join(this, run)
    else this.beginWork(run)
    return this.answer({})
  }

  /** Lets a run work, after its startup or the time to restore its checkpoint. */
  beginWork (run) {
    clearTimeout(run.timer)
    run.workingSinceMs = performance.now() + (run.checkpoint === '' ? STARTUP_MS : this.restoreMs)
    const startupMs = run.workingSinceMs - performance.now()
    if (run.spec.failsAfterMs !== undefined) run.timer = setTimeout(() => this.end(run, 'failed'), startupMs + run.spec.failsAfterMs)
    else if (!run.spec.lasts) run.timer = setTimeout(() => this.end(run, 'done'), startupMs + run.spec.workMs - run.workedMs)
  }

  stopRun ({ task, 'run-id': number }) {
    const run = this.runs.get(`${task}#${number}`)
    if (run === undefined) this.barred.set(task, Math.max(this.barred.get(task) ?? 0, number))
    else setTimeout(() => this.end(run, 'stopped'), 20)
    return this.answer({})
  }

  async hold (body) {
    this.lastHoldAtMs = performance.now()
    for (const [number, task, run, how] of this.ends) if (number <= (body['last-seen'] ?? 0)) this.observe('noted', { task, number: run, how })
    this.ends = this.ends.filter(([number]) => number > (body['last-seen'] ?? 0))
    if (body['until-ms'] !== undefined) this.extendLease(body['until-ms'])
    const waitMs = Math.min(2_000, body['wait-ms'] ?? 0)
    const { life } = this
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(waitMs)
    if (!this.alive || this.isDark || this.life !== life) return undefined
    const running = [...this.runs.values()].map((run) => [run.task, run.number, this.save(run), this.isAtWork(run) ? 100 : 0, 0])
    return this.answer({ running, finished: this.ends.slice(0, MAX_ENDS) })
  }

  waitForEnd (waitMs) {
    return new Promise((resolve) => {
      const { waiters } = this
      const timer = setTimeout(finish, waitMs)
      function finish () {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      waiters.add(finish)
    })
  }

  isAtWork (run) {
    return run.workingSinceMs !== undefined && performance.now() >= run.workingSinceMs
  }

  /** Returns the latest checkpoint of a run: one is produced with each `checkpointMs` of work. */
  save (run) {
    if (run.spec.checkpointing && this.isAtWork(run)) {
      const workedMs = run.workedMs + performance.now() - run.workingSinceMs
      const savedMs = Math.floor(workedMs / this.checkpointMs) * this.checkpointMs
      if (savedMs > readProgress(run.saved)) run.saved = `${savedMs.toString(16).padStart(8, '0')}${run.job.slice(0, 8)}`
    }
    return run.saved
  }

  end (run, how) {
    const key = `${run.task}#${run.number}`
    if (this.runs.get(key) !== run) return
    clearTimeout(run.timer)
    const saved = this.save(run)
    this.runs.delete(key)
    this.barred.set(run.task, Math.max(this.barred.get(run.task) ?? 0, run.number))
    this.ends.push([this.nextEnd++, run.task, run.number, how, saved])
    this.observe(how, run)
    if (run.spec.gang) this.gangs.leave(run, how)
    for (const finish of [...this.waiters]) finish()
  }

  /** Extends the lease, at most to the longest one that a minion grants. */
  extendLease (untilMs) {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.clockMs + this.holdMaxMs))
  }

  checkLease () {
    if (this.clockMs >= this.leaseUntilMs) for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
  }

  refuse (reason) {
    return { status: 409, body: { 'clock-ms': this.clockMs, born: this.bornMs, reason } }
  }

  answer (body) {
    return { status: 200, body: { 'clock-ms': this.clockMs, born: this.bornMs, ...body } }
  }

  observe (what, run) {
    this.onEvent(what, run, this)
  }
}

/** Returns the work that a checkpoint holds, in milliseconds. */
function readProgress (checkpoint) {
  return checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16)
}
