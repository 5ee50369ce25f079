/**
 * A small deployment on loopback addresses: the project's daemons as processes, started with the command of the deploy file, beside stand-ins
 * of the store, of the workers and of the machine service.
 */
import { spawn } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, createServer, request } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { serveStore, Store } from './store.mjs'
import { CHECKPOINT_MS, Fleet, GANG_MS, STOP_MS, Worker } from './workers.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..')

/** The command of deploy/system.toml. */
const COMMAND = ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/vanillathreadd.cjs']

export const HOST = 'pule25.example'
export const POOL = 'work'
export const PREFIX = '/puxa400/'

/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 500

const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })

/** The processes and stand-ins of one case. */
export class Cluster {
  store = Store.create()
  fleet = Fleet.create()
  daemons = []
  lines = []
  startedAtMs = performance.now()
  #folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  #agent = new Agent({ keepAlive: true, maxSockets: 64 })

  static async create ({ daemons = 3, workers = 6, capacity = { cpu: 32_000, 'mem-mb': 65_536, gpu: 0 }, queue = {}, services = [], bounds = {}, advice } = {}) {
    const cluster = new Cluster()
    const machinesPort = await cluster.#serveMachines()
    cluster.store.put('op', 'config', {
      version: 7,
      routes: [{ name: 'r-puxa400', host: HOST, 'path-prefix': PREFIX, type: 'unsafe', 'timeout-ms': 3_000, 'target-latency-ms': 600, priority: 0, service: POOL, 'max-attempts': 3, 'deadline-factor': 1.6, ...queue }],
      services: [POOL, ...services].map((name) => ({ name, 'admission-check': false })),
      limits: {},
    })
    for (let index = 0; index < workers; index++) await cluster.addWorker(`i-07f3a91c2e4b5d6${(index + 16).toString(16)}`, { rack: `r1-${Math.floor(index / 4)}`, capacity })
    for (let index = 0; index < daemons; index++) await cluster.#addDaemon(index, { machinesPort, bounds, advice })
    return cluster
  }

  async addWorker (id, { pool = POOL, machine = `m-${id}`, rack = 'r1-0', capacity, port = 0 }) {
    const worker = Worker.create(this.fleet, id, { pool, machine, rack, capacity })
    await worker.listen(port)
    this.store.put('servers', id, worker.entry)
    return worker
  }

  /** Writes a worker's row again, as its state has changed. */
  register (worker) {
    this.store.put('servers', worker.id, worker.entry)
  }

  /** Removes a worker's row. */
  remove (id) {
    this.store.remove('servers', id)
  }

  log (text) {
    this.lines.push(`${((performance.now() - this.startedAtMs) / 1_000).toFixed(2).padStart(7)} s  ${text}`)
  }

  startDaemons () {
    for (const daemon of this.daemons) this.startDaemon(daemon)
  }

  startDaemon (daemon) {
    const out = openSync(daemon.logPath, 'a')
    const child = spawn(process.execPath, COMMAND, { cwd: ROOT, env: { PATH: process.env.PATH, VANILLATHREAD_CONFIG: daemon.settingsPath, CBOR_NATIVE_ACCELERATION_DISABLED: 'true' }, stdio: ['ignore', out, out] })
    closeSync(out)
    children.add(child)
    daemon.child = child
    daemon.isWanted = true
    daemon.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        children.delete(child)
        daemon.child = undefined
        resolve()
        if (!daemon.isWanted) return
        daemon.ownEnds += 1
        this.log(`${daemon.name} ended by itself: ${signal ?? `status ${code}`}`)
        setTimeout(() => { if (daemon.isWanted) this.startDaemon(daemon) }, RESTART_MS)
      })
    })
  }

  /** Ends a daemon with a signal and waits for its end. */
  async endDaemon (daemon, signal = 'SIGKILL') {
    daemon.isWanted = false
    daemon.child?.kill(signal)
    await daemon.exited
  }

  async isReady (daemon) {
    const res = await this.#call({ port: daemon.readiness, method: 'GET', path: '/readyz' }, 500)
    return res.status === 200
  }

  async waitUntilReady (limitMs = 15_000) {
    const endMs = performance.now() + limitMs
    while (performance.now() < endMs) {
      const ready = await Promise.all(this.daemons.map((daemon) => this.isReady(daemon)))
      if (ready.every(Boolean)) return true
      await sleep(100)
    }
    return false
  }

  /** Makes a client's call at a daemon. The status is 0 if there was no whole answer in time. */
  call (daemon, method, path, body) {
    return this.#call({ port: daemon.frontend, method, path, body, headers: { host: HOST, 'vanillathread-deadline-ms': '3000' } }, 3_000)
  }

  /** Hands a job in at one daemon after another until one accepts it. Returns the statuses. */
  async submit (id, job, attempts = 5) {
    const statuses = []
    for (let attempt = 0; attempt < attempts; attempt++) {
      const { status } = await this.call(this.daemons[attempt % this.daemons.length], 'POST', `${PREFIX}${id}`, job)
      statuses.push(status)
      if (status === 200) break
      await sleep(300)
    }
    return statuses
  }

  /** Returns the state that any daemon shows, or the last status. */
  async getState (id) {
    let last
    for (const daemon of this.daemons) {
      const res = await this.call(daemon, 'GET', `${PREFIX}${id}`)
      if (res.status === 200) return res.body.state
      last = res.status
    }
    return `status ${last}`
  }

  readLogs () {
    return this.daemons.map(({ logPath }) => readFileSync(logPath, 'utf8'))
  }

  async stop () {
    await Promise.all(this.daemons.map((daemon) => this.endDaemon(daemon)))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else console.log(this.#folder)
  }

  async #addDaemon (index, { machinesPort, bounds, advice }) {
    const daemon = { name: `edge-a-${index}`, ownEnds: 0, isWanted: false, chooseStoreFault: undefined }
    const storePort = await serveStore(this.store, (path) => daemon.chooseStoreFault?.(path))
    const [frontend, readiness, peer, last] = await findFreePorts(4)
    const { name } = daemon
    const settingsPath = join(this.#folder, `${name}.yaml`)
    writeFileSync(settingsPath, JSON.stringify({
      'node-name': name,
      role: 'daemon',
      'machine-class': 'edge',
      ip: '127.0.0.1',
      zone: 'a',
      'listen-addrs': { frontend: `127.0.0.1:${frontend}`, readiness: `127.0.0.1:${readiness}` },
      'internal-port-range': [peer, last],
      limits: { 'cpu-shares': 0.675, 'cpu-cores': 1, 'memory-limit-mb': 350, 'max-fds': 4_100 },
      'heartbeat-ms': 1_500,
      bounds: { 'contact-ms': 3_000, 'grace-s': 6, 'hold-max-ms': 6_000, 'stop-ms': STOP_MS, 'gang-ms': GANG_MS, 'checkpoint-s': CHECKPOINT_MS / 1_000, status_s: 120, 'lease-ms': 3_000, 'move-s': 1.5, 'upkeep-s': 2, 'fencing-enforced': true, 'config-apply-ms': 2_000, ...bounds },
      'control-mode': 'call',
      advice: advice === undefined ? null : `127.0.0.1:${advice}`,
      platform: { address: `127.0.0.1:${storePort}`, form: 'table', 'row-bytes': 65_536 },
      'cloud-api': { address: `127.0.0.1:${machinesPort}` },
    }))
    this.daemons.push(Object.assign(daemon, { frontend, readiness, settingsPath, logPath: join(this.#folder, `${name}.log`) }))
  }

  /** Serves the list of machines. Each pool is one of other machines, so that no move is possible. */
  async #serveMachines () {
    const server = createServer((req, res) => {
      const machines = [...this.fleet.lastWorkers.values()].map((worker) => {
        const { machine, pool, rack, capacity, id } = worker
        const isUp = this.fleet.workers.get(id) === worker
        return { machine, pool, state: isUp ? 'up' : 'down', zone: 'a', labels: ['a', rack], capacity, id: isUp ? id : null }
      })
      const isList = req.url.startsWith('/machines')
      res.writeHead(isList ? 200 : 400, { 'content-type': 'application/json' })
      res.end(JSON.stringify(isList ? { machines, 'next-token': null } : {}))
    })
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
    return server.address().port
  }

  #call ({ port, method, path, body, headers = {} }, timeoutMs) {
    return new Promise((resolve) => {
      const content = body === undefined ? undefined : JSON.stringify(body)
      const contentHeaders = content === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) }
      const req = request({ host: '127.0.0.1', port, method, path, agent: this.#agent, headers: { ...headers, ...contentHeaders } }, async (res) => {
        const chunks = []
        try {
          for await (const chunk of res) chunks.push(chunk)
          resolve({ status: res.statusCode, body: JSON.parse(Buffer.concat(chunks).toString() || '{}') })
        } catch {
          resolve({ status: 0 })
        }
      })
      req.setTimeout(timeoutMs, () => req.destroy())
      req.on('error', () => resolve({ status: 0 }))
      req.end(content)
    })
  }
}

/** Writes the record of a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function finish (cluster, folder, { status, lines }, record = 'record.txt') {
  await cluster?.stop()
  const text = [...cluster?.lines ?? [], '', ...lines, `exit status: ${status}`].join('\n')
  writeFileSync(join(folder, record), `${text}\n`)
  console.log(text.split('\n').slice(-12).join('\n'))
  process.exit(status)
}

async function findFreePorts (count) {
  const servers = Array.from({ length: count }, () => createTcpServer())
  const ports = await Promise.all(servers.map((server) => new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(server.address().port))
  })))
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports.sort((a, b) => a - b)
}
