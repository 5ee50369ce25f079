/**
 * A small deployment on loopback addresses: the store, minions and machine service as stand-ins in this process, and daemons as
 * processes with the command of the deploy file.
 */
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { AdviceService } from './advice.mjs'
import { listen, readJson, sendJson } from './http.mjs'
import { Minion } from './minion.mjs'
import { Store } from './store.mjs'

export { sleep }

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
/** The command of `deploy/system.toml`. */
const DAEMON_ARGS = ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/vanillathreadd.cjs']
const QUEUE_HOST = 'review.example'
const PREFIX = '/puxa400/'
export const SERVICE = 'checks'
/** A client tries four times more after its first attempt. */
const SUBMIT_ATTEMPTS = 5
const READY_LIMIT_MS = 20_000
const RUN_LIMIT_MS = 110_000
/** Registrations of minions that have fallen silent are removed after three heartbeats. */
export const HEARTBEAT_MS = 1_500
const MACHINES_PER_RACK = 4
const MOVE_MS = 1_500
const UPKEEP_MS = 2_000

/** The bounds of the site mzok-lowicz that a daemon reads, as in DEPLOY. */
const BOUNDS = { 'contact-ms': 3_000, 'ack-ms': 4_000, 'drain-ms': 2_000, 'grace-s': 6, 'config-apply-ms': 2_000, 'hold-max-ms': 10_000, 'stop-ms': 900, 'gang-ms': 3_000, cancel_ms: 3_000, visible_ms: 3_000, finish_s: 14, status_s: 120, 'remote-factor': 1.5, 'move-s': 1.5, 'upkeep-s': 2, 'fencing-enforced': true, 'lease-ms': 3_000 }

export class World {
  store = new Store()
  minions = new Map()
  machines = new Map()
  daemons = []
  jobs = new Map()
  lines = []
  breaks = []
  /** Runs that exist now, by task. */
  runsByTask = new Map()
  startsByTask = new Map()
  endsByTask = new Map()
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + process.pid % 250}`
  startedAt = performance.now()
  nextMinion = 1

  get host () {
    return `${this.network}.1`
  }

  /** Notes a line of the record. */
  record (what, fields = {}) {
    const atS = ((performance.now() - this.startedAt) / 1_000).toFixed(3)
    this.lines.push(`${atS} ${what} ${JSON.stringify(fields)}`)
  }

  /** Notes that a rule was broken. */
  break (rule, what) {
    this.breaks.push(`${rule}: ${what}`)
    this.record(`BROKEN ${rule}`, { what })
  }

  /** @param advice - rules of the queue's advice, if it has any. */
  async start ({ daemons = 3, maxAttempts = 2, advice } = {}) {
    await this.store.start(this.host)
    if (advice !== undefined) {
      this.advice = new AdviceService(advice, { record: (...args) => this.record(...args), findMinion: (id) => [...this.minions.values()].find((minion) => minion.id === id) })
      await this.advice.start(this.host)
    }
    this.cloud = createServer((req, res) => this.handleCloud(req, res).catch(() => res.destroy()))
    this.cloudAddress = await listen(this.cloud, this.host)
    this.store.put('op', 'config', {
      version: 7,
      routes: [{ name: 'r-work', host: QUEUE_HOST, 'path-prefix': PREFIX, type: 'unsafe', service: SERVICE, 'timeout-ms': 3_000, 'target-latency-ms': 600, priority: 0, 'max-attempts': maxAttempts, 'deadline-factor': 1.6, advice }],
      services: [{ name: SERVICE, standby: false, 'admission-check': false }],
      limits: { 'max-body-bytes': 262_144 },
    })
    for (let index = 0; index < daemons; index++) await this.addDaemon(`edge-a-${index + 1}`, `${this.network}.${index + 10}`)
    const limit = performance.now() + READY_LIMIT_MS
    while (!(await Promise.all(this.daemons.map((daemon) => this.isReady(daemon)))).every(Boolean)) {
      if (performance.now() > limit) throw new Error('the daemons are not ready')
      await sleep(100)
    }
    this.record('daemons ready', { count: daemons })
  }

  async addDaemon (name, ip) {
    const [frontend, readiness, first, last] = await findFreePorts(ip, 4)
    const settings = {
      'node-name': name,
      role: 'daemon',
      'machine-class': 'edge',
      serves: ['edge'],
      ip,
      zone: 'a',
      region: 'r',
      zones: { a: 'r' },
      'listen-addrs': { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` },
      'internal-port-range': [first, last],
      bootstrap: true,
      limits: { 'cpu-shares': 0.675, 'cpu-cores': 1, 'memory-limit-mb': 350, 'max-fds': 4_100 },
      discovery: 'platform',
      entry: 'vip',
      'heartbeat-ms': HEARTBEAT_MS,
      bounds: BOUNDS,
      'control-mode': 'call',
      advice: this.advice === undefined ? null : format(this.advice.address),
      platform: { address: format(this.store.address), form: 'table', 'row-bytes': 65_536, across: true, 'history-s': 20 },
      'cloud-api': { address: format(this.cloudAddress), 'rate-per-s': 64, duties: [], 'duty-per-s': 64 },
    }
    const settingsPath = join(this.folder, `${name}.yaml`)
    // JSON is valid YAML.
    writeFileSync(settingsPath, JSON.stringify(settings))
    const daemon = { name, ip, frontend, readiness, settingsPath, logPath: join(this.folder, `${name}.log`) }
    this.daemons.push(daemon)
    this.spawnDaemon(daemon)
  }

  spawnDaemon (daemon) {
    const log = openSync(daemon.logPath, 'a')
    daemon.process = spawn(process.execPath, DAEMON_ARGS, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, VANILLATHREAD_CONFIG: daemon.settingsPath, CBOR_NATIVE_ACCELERATION_DISABLED: 'true' },
      stdio: ['ignore', log, log],
    })
    closeSync(log)
    this.record('daemon starts', { daemon: daemon.name })
  }

  isReady ({ ip, readiness }) {
    return call({ host: ip, port: readiness, method: 'GET', path: '/readyz', timeoutMs: 500 }).then(({ status }) => status === 200)
  }

  /** Returns the lines that a daemon's log has for an event of a given message. */
  readLogs (pattern) {
    return this.daemons.flatMap(({ name, logPath }) => readFileSync(logPath, 'utf8').split('\n').filter((line) => pattern.test(line)).map((line) => `${name} ${line}`))
  }

  /** Adds a machine with a minion that is registered at once. */
  async addMachine ({ machine, capacity = { cpu: 32_000, 'mem-mb': 65_536, gpu: 0 }, labels = ['a', `r1-${1 + Math.floor(this.machines.size / MACHINES_PER_RACK)}`] }) {
    this.machines.set(machine, { pool: SERVICE, state: 'up', token: 0, capacity, labels, waves: new Set() })
    return this.startMinion(machine)
  }

  /** Starts a new minion, with a new id, on a machine. */
  async startMinion (machine) {
    const { pool, capacity, labels } = this.machines.get(machine)
    const minion = new Minion({ id: `i-${(0x7f3a9100 + this.nextMinion++).toString(16)}`, machine, service: pool, capacity, labels }, { store: this.store, host: this.host, record: (...args) => this.record(...args), getTask: (name) => this.getTask(name), isTicketValid: (...args) => this.advice?.isValid(...args) ?? true, observer: this })
    await minion.start()
    this.minions.set(machine, minion)
    minion.register()
    return minion
  }

  /** Crashes the minion of a machine. Another one starts there after `downMs`; the entry of the former expires by its silence. */
  crash (machine, downMs) {
    const minion = this.minions.get(machine)
    minion.kill('crash')
    setTimeout(() => this.store.remove('servers', minion.id), 3 * HEARTBEAT_MS)
    setTimeout(() => { if (this.stopped !== true) this.startMinion(machine) }, downMs)
  }

  /**
   * Ends the life of a machine's minion and starts it again under its id and address after `downMs`, of another size if one is given. It
   * writes its entry with its first heartbeat.
   */
  async restart (machine, { downMs, capacity, registerAfterMs }) {
    const minion = this.minions.get(machine)
    minion.kill('restart')
    await sleep(downMs)
    if (capacity !== undefined) {
      minion.capacity = capacity
      this.machines.get(machine).capacity = capacity
    }
    await minion.start()
    minion.after(registerAfterMs, () => minion.register())
  }

  getTask (name) {
    const [id, , step] = name.split('.')
    return this.jobs.get(id)?.steps[Number(step)]
  }

  onStart (run) {
    const { task, minion } = run
    const others = this.runsByTask.get(task) ?? new Set()
    this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1)
    for (const other of others) this.break('TWICE', `run ${run.number} of ${task} begins on ${minion.id} while run ${other.number} is at work on ${other.minion.id}`)
    this.runsByTask.set(task, new Set([...others, run]))
    this.onStartHook?.(run)
    const used = [...minion.runs.values()].reduce((sum, { spec }) => sum + (spec?.cpu ?? 0), 0)
    if (used > minion.capacity.cpu) this.break('LIMIT', `run ${run.number} of ${task} brings ${minion.id} to ${used} of ${minion.capacity.cpu} thousandths of a core`)
  }

  onEnd (run, how) {
    this.runsByTask.get(run.task)?.delete(run)
    this.endsByTask.set(run.task, [...this.endsByTask.get(run.task) ?? [], how])
  }

  /** Sends a client's request to a daemon, the first ready one in turn. */
  async send (method, path, body) {
    const ready = []
    for (const daemon of this.daemons) if (daemon.process.exitCode === null && await this.isReady(daemon)) ready.push(daemon)
    const daemon = ready[Math.floor(Math.random() * ready.length)] ?? this.daemons[0]
    const text = body === undefined ? undefined : JSON.stringify(body)
    const res = await call({ host: daemon.ip, port: daemon.frontend, method, path, headers: { host: QUEUE_HOST, 'vanillathread-deadline-ms': '3000' }, body: text, timeoutMs: 3_000 })
    this.record('client', { daemon: daemon.name, method, path, body, status: res.status, answer: res.body })
    return res
  }

  /**
   * Hands in a job, again after no answer or a refusal.
   *
   * @param steps - steps as on the wire, each with `durationMs` for the stand-ins unless it lasts.
   * @param schedule - `repeat-count`, `first-run-ms` and `interval-ms` of a scheduled job.
   */
  async submit (id, steps, schedule = {}) {
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const { status } = await this.submitOnce(id, steps, schedule)
      if (status === 200) return true
      await sleep(1_000)
    }
    return false
  }

  /** Hands in a job once and returns the answer. */
  submitOnce (id, steps, schedule = {}) {
    this.jobs.set(id, { steps })
    return this.send('POST', `${PREFIX}${id}`, { spec: `job ${id}`, steps: steps.map(({ durationMs, ...step }) => step), ...schedule })
  }

  async getState (id) {
    const { status, body } = await this.send('GET', `${PREFIX}${id}`)
    return status === 200 ? body.state : `status ${status}`
  }

  /** Returns the number of runs of a job that began. */
  countStarts (id) {
    return [...this.startsByTask].reduce((sum, [task, starts]) => sum + (task.startsWith(id) ? starts : 0), 0)
  }

  /** Returns the number of runs of a job that are at work. */
  countRuns (id) {
    return [...this.runsByTask].reduce((sum, [task, runs]) => sum + (task.startsWith(id) ? runs.size : 0), 0)
  }

  cancel (id) {
    return this.send('DELETE', `${PREFIX}${id}`)
  }

  async handleCloud (req, res) {
    const body = await readJson(req)
    if (req.method === 'GET') {
      const machines = [...this.machines].map(([machine, { pool, state, capacity, labels }]) => ({ machine, pool, state, zone: 'a', labels, capacity, id: this.minions.get(machine)?.alive ? this.minions.get(machine).id : undefined }))
      return sendJson(res, 200, { machines, 'next-token': null })
    }
    const machine = this.machines.get(body.machine)
    const token = Number(req.headers['vanillathread-fencing-token'] ?? 0)
    this.record('machine order', { path: req.url, ...body, holder: req.headers['vanillathread-lease-holder'], token })
    if (machine === undefined) return sendJson(res, 400, {})
    if (token < machine.token) return sendJson(res, 409, { reason: 'fence' })
    machine.token = token
    const isMove = req.url === '/machine-move'
    if (isMove ? machine.pool === body.pool : machine.waves.has(body.wave)) return sendJson(res, 200, {})
    const minion = this.minions.get(body.machine)
    if (machine.state !== 'up' || minion?.alive !== true) return sendJson(res, 409, { reason: 'busy' })
    minion.kill('taken down by an order')
    this.store.remove('servers', minion.id)
    if (isMove) machine.pool = body.pool
    else machine.waves.add(body.wave)
    machine.state = isMove ? 'moving' : 'upkeep'
    setTimeout(() => {
      machine.state = 'up'
      if (this.stopped !== true) this.startMinion(body.machine)
    }, isMove ? MOVE_MS : UPKEEP_MS)
    return sendJson(res, 200, {})
  }

  /** Ends all processes and writes the record. */
  async stop (recordPath) {
    this.stopped = true
    this.record('end', { breaks: this.breaks })
    for (const { process: child } of this.daemons) child?.kill('SIGKILL')
    for (const minion of this.minions.values()) minion.kill('end')
    this.cloud?.closeAllConnections()
    this.cloud?.close()
    this.store.stop()
    this.advice?.stop()
    writeFileSync(recordPath, `${this.lines.join('\n')}\n`)
    await sleep(200)
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(`logs in ${this.folder}`)
  }
}

/**
 * Plays a case and ends the process: with 1 if a rule was broken, 0 if not, 2 if the case could not run.
 *
 * @param play - takes the world and whether the disruption is played.
 */
export async function runCase (caseUrl, play) {
  const world = new World()
  const recordPath = fileURLToPath(new URL('record.txt', caseUrl))
  const finish = async (code) => {
    await world.stop(recordPath)
    for (const line of world.breaks.slice(0, 10)) console.log(line)
    console.log(code === 1 ? `broken ${world.breaks.length} times` : code === 0 ? 'held' : 'the case could not run')
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(2) })
  setTimeout(() => { finish(2) }, RUN_LIMIT_MS)
  try {
    await play(world, process.env.TROUBLE !== '0')
    await finish(world.breaks.length > 0 ? 1 : 0)
  } catch (err) {
    console.log(err)
    await finish(2)
  }
}

function format ({ host, port }) {
  return `${host}:${port}`
}

/** Makes a request. Without an answer, the status is 0. */
function call ({ host, port, method, path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const req = request({ host, port, method, path, headers: body === undefined ? headers : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers }, agent: false }, (res) => {
      readJson(res).then((answer) => resolve({ status: res.statusCode, body: answer }), () => resolve({ status: 0, body: {} }))
    })
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer')))
    req.on('error', () => resolve({ status: 0, body: {} }))
    req.end(body)
  })
}

/** Returns ports that the system has just found to be free, in ascending order. */
async function findFreePorts (host, count) {
  const servers = Array.from({ length: count }, () => createTcpServer())
  const ports = []
  for (const server of servers) ports.push((await listen(server, host)).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports.sort((a, b) => a - b)
}
