/**
 * Tasks that last fail now and then by their own fault. Checks that each runs again in time while its worker has room.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Cluster, finish } from '../lib-3/cluster.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const WORKERS = 6
const JOBS = 20

/** Tasks of a job, as on the sheet, at most one of them on a worker. */
const TASKS = 5
const STEP = { count: TASKS, cpu: 1_000, 'mem-mb': 500, 'long-running': true, 'anti-affinity': 1 }

/** Mean time after which a task fails. */
const MEAN_LIFE_MS = 60_000

/** Time during which tasks fail. */
const FAILURES_MS = 75_000

/** Times of the rule LOST: from 6 s after the last run, for 3 s. */
const AFTER_RUN_MS = 6_000
const IDLE_MS = 3_000

/** Time from a start to the earliest failure: a task is at work after a short startup. */
const MIN_LIFE_MS = 1_000

async function play (cluster) {
  const { fleet } = cluster
  const ids = Array.from({ length: JOBS }, (_, index) => `a57${String(index).padStart(13, '0')}`)
  for (const id of ids) fleet.describeJob(id, [{ count: TASKS }])
  cluster.startDaemons()
  if (!await cluster.waitUntilReady()) return { status: 2, lines: ['the daemons are not ready'] }
  for (const id of ids) cluster.log(`POST of ${id}: ${(await cluster.submit(id, { spec: 'lasts', steps: [STEP] })).join(' ')}`)
  await sleep(3_000)
  const running = [...fleet.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0)
  cluster.log(`${running} of ${JOBS * TASKS} tasks run`)
  if (running < JOBS * TASKS) return { status: 2, lines: ['not all tasks have started'] }
  if (HAS_TROUBLE) await failTasks(cluster)
  else await sleep(FAILURES_MS)
  await sleep(AFTER_RUN_MS + IDLE_MS + 2_000)
  return check(cluster)
}

/** Lets tasks fail at random times, each by itself. */
async function failTasks ({ fleet }) {
  const endMs = performance.now() + FAILURES_MS
  const stepMs = 50
  while (performance.now() < endMs) {
    for (const worker of fleet.workers.values()) {
      for (const run of [...worker.runs.values()]) {
        if (performance.now() - run.workSinceMs > MIN_LIFE_MS && Math.random() < stepMs / MEAN_LIFE_MS) worker.end(run, 'failed')
      }
    }
    await sleep(stepMs)
  }
}

/** Finds tasks that did not run for 3 s, from 6 s after their last run, although a worker without a task of their step had room. */
function check (cluster) {
  const { events } = cluster.fleet
  const endedAt = new Map()
  const gaps = []
  const nowMs = Math.round(performance.now())
  for (const { event, atMs, task, worker, how } of events) {
    if (event === 'end') endedAt.set(task, { atMs, worker, how })
    else if (event === 'start' && endedAt.has(task)) {
      gaps.push({ task, ...endedAt.get(task), gapMs: atMs - endedAt.get(task).atMs })
      endedAt.delete(task)
    }
  }
  for (const [task, end] of endedAt) gaps.push({ task, ...end, gapMs: nowMs - end.atMs })
  gaps.sort((a, b) => b.gapMs - a.gapMs)
  const late = gaps.filter(({ gapMs }) => gapMs >= AFTER_RUN_MS + IDLE_MS)
  const most = Math.max(0, ...[...cluster.fleet.workers.values()].map(({ runs }) => runs.size)) * STEP.cpu
  const lines = [
    `ends failed: ${events.filter(({ event, how }) => event === 'end' && how === 'failed').length}, other ends: ${events.filter(({ event, how }) => event === 'end' && how !== 'failed').length}`,
    `room: each worker has 32,000 thousandths of a core, of which ${JOBS * STEP.cpu} at the most (now ${most}) are in use`,
    'longest times from an end to the next start of the task, in ms:',
    ...gaps.slice(0, 8).map(({ task, worker, gapMs, atMs }) => `  ${task}, ended on ${worker} at ${Math.round(atMs - cluster.startedAtMs)}: ${gapMs}`),
  ]
  if (late.length > 0) return { status: 1, lines: [...lines, `BROKEN: ${late.length} task(s) did not run for ${IDLE_MS} ms, from ${AFTER_RUN_MS} ms after the last run`] }
  return { status: 0, lines: [...lines, 'each task ran again in time'] }
}

const cluster = await Cluster.create({ daemons: 3, workers: WORKERS })
const result = await play(cluster).catch((err) => ({ status: 2, lines: [String(err.stack)] }))
await finish(cluster, FOLDER, result)
