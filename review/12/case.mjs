/**
 * A worker ends, and its address goes to a worker of another service. Checks that the tasks that last on the other workers run again in time
 * when they fail.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Cluster, finish } from '../lib-3/cluster.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const WORKERS = 6
const OTHER_POOL = 'other'

/** Tasks that last, at most one of a job on a worker. */
const STEP = { cpu: 2_000, 'mem-mb': 500, 'long-running': true, 'anti-affinity': 1 }
const JOBS = [5, 5, 5].map((count, index) => ({ id: `a57b00000000000${index}`, count }))

/** The last job to come has a task on each worker. */
const WIDE = { id: 'a57a000000000000', count: WORKERS }

/** Time from the start of the last job's tasks to the end of the worker. */
const END_AFTER_MS = 100

/** `addr-reuse-s` of the settings. */
const REUSE_AFTER_MS = 2_000

/** Times of the rule LOST: from 6 s after the last run, for 3 s. */
const LIMIT_MS = 9_000

async function play (cluster) {
  const { fleet } = cluster
  cluster.startDaemons()
  if (!await cluster.waitUntilReady()) return { status: 2, lines: ['the daemons are not ready'] }
  for (const job of JOBS) await submit(cluster, job)
  await sleep(3_000)
  await submit(cluster, WIDE)
  await waitFor(() => countRuns(fleet, WIDE.id) === WIDE.count, 5_000)
  fleet.onEvent(({ event, worker, task, run, how }) => { if (event !== 'noted') cluster.log(`${event} of ${task} run ${run} on ${worker}${how === undefined ? '' : `: ${how}`}`) })
  await sleep(END_AFTER_MS)
  if (HAS_TROUBLE) await replace(cluster, [...fleet.workers.values()][0])
  // Long after the disruption: contact-ms is 3 s.
  await sleep(12_000)
  const failures = []
  for (const worker of [...fleet.workers.values()].filter(({ pool }) => pool !== OTHER_POOL)) {
    const run = [...worker.runs.values()].find(({ task }) => task.startsWith(JOBS[0].id))
    if (run === undefined) continue
    failures.push({ task: run.task, worker: worker.id, atMs: performance.now() })
    worker.end(run, 'failed')
    await sleep(500)
  }
  await sleep(LIMIT_MS + 8_000)
  return check(cluster, failures)
}

async function submit (cluster, { id, count }) {
  cluster.fleet.describeJob(id, [{ count }])
  cluster.log(`POST of ${id} with ${count} tasks that last: ${(await cluster.submit(id, { spec: 'lasts', steps: [{ ...STEP, count }] })).join(' ')}`)
}

function countRuns ({ workers }, job) {
  return [...workers.values()].flatMap(({ runs }) => [...runs.values()]).filter(({ task }) => task.startsWith(job)).length
}

/** Ends a worker for good. Its address goes to a worker of another service. */
async function replace (cluster, worker) {
  const { id, port, rack, capacity } = worker
  worker.crash()
  cluster.log(`${id} ends`)
  await sleep(REUSE_AFTER_MS)
  const other = await cluster.addWorker('i-00c0ffee01', { pool: OTHER_POOL, rack, capacity, port })
  cluster.log(`${other.id} of service ${OTHER_POOL} has the address of ${id}`)
  await sleep(2_500)
  cluster.remove(id)
}

async function waitFor (condition, limitMs) {
  const endMs = performance.now() + limitMs
  while (!condition() && performance.now() < endMs) await sleep(10)
}

/** Finds failed tasks that did not run for 3 s, from 6 s after their last run, although their worker has room. */
function check (cluster, failures) {
  const { events } = cluster.fleet
  const lines = []
  let late = 0
  for (const { task, worker, atMs } of failures) {
    const start = events.find((each) => each.event === 'start' && each.task === task && each.atMs >= Math.round(atMs))
    const waitedMs = Math.round((start?.atMs ?? performance.now()) - atMs)
    const runs = cluster.fleet.workers.get(worker)?.runs.size
    lines.push(`${task} failed on ${worker}; ${start === undefined ? `no start for ${waitedMs} ms` : `started again on ${start.worker} after ${waitedMs} ms`}; ${worker} has ${runs} runs of ${STEP.cpu} of its 32,000 thousandths of a core`)
    if (waitedMs >= LIMIT_MS) late += 1
  }
  if (failures.length === 0) return { status: 2, lines: ['no task could fail'] }
  lines.push(late > 0 ? `BROKEN: ${late} task(s) that last did not run again in time` : 'each task ran again in time')
  return { status: late > 0 ? 1 : 0, lines }
}

const cluster = await Cluster.create({ daemons: 3, workers: WORKERS, services: [OTHER_POOL], bounds: { 'addr-reuse-s': 2 } })
const result = await play(cluster).catch((err) => ({ status: 2, lines: [String(err.stack)] }))
await finish(cluster, FOLDER, result)
