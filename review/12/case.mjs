/**
 * One worker goes down and up by turns. Checks that a job with tasks that last is not shown as failed for it.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Cluster, finish } from '../lib-3/cluster.mjs'
import { flap, FLAPPING_MS } from '../lib-3/flap.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const JOB = 'a570000000000001'
const WORKERS = 6

/** One task on each worker. */
const STEP = { count: WORKERS, cpu: 1_000, 'mem-mb': 500, 'long-running': true, 'anti-affinity': 1 }

async function play (cluster) {
  const { fleet } = cluster
  fleet.describeJob(JOB, [{ count: WORKERS }])
  cluster.startDaemons()
  if (!await cluster.waitUntilReady()) return { status: 2, lines: ['the daemons are not ready'] }
  cluster.log(`POST of the job: ${(await cluster.submit(JOB, { spec: 'lasts', steps: [STEP] })).join(' ')}`)
  await sleep(4_000)
  const running = [...fleet.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0)
  cluster.log(`${running} of ${WORKERS} tasks run`)
  if (running < WORKERS) return { status: 2, lines: ['not all tasks have started'] }
  fleet.onEvent(({ event, worker, task, run, how }) => cluster.log(`${event} of ${task} run ${run} on ${worker}${how === undefined ? '' : `: ${how}`}`))
  if (HAS_TROUBLE) await flap(cluster, [...fleet.workers.values()][0])
  else await sleep(FLAPPING_MS)
  const states = []
  for (let tick = 0; tick < 40; tick++) {
    const state = await cluster.getState(JOB)
    if (state !== states.at(-1)) cluster.log(`state of the job: ${state}`)
    states.push(state)
    await sleep(500)
  }
  return check(cluster, states)
}

/** Only ends `failed` count as attempts, and tasks that last have no limit of these. */
function check (cluster, states) {
  const failedEnds = cluster.fleet.events.filter(({ event, how }) => event === 'end' && how === 'failed').length
  const running = [...cluster.fleet.workers.values()].reduce((sum, { runs }) => sum + runs.size, 0)
  const reasons = cluster.readLogs().flatMap((log) => log.split('\n')).filter((line) => line.includes('given up'))
  const lines = [`tasks that ended failed: ${failedEnds}; tasks that run now: ${running} of ${WORKERS}`, ...reasons.slice(0, 1).map((line) => `log of the owner: ${line}`), `last state: ${states.at(-1)}`]
  if (states.at(-1) === 'failed') return { status: 1, lines: [...lines, 'BROKEN: a job whose tasks last is shown as failed, and no task of it has ended failed'] }
  return states.at(-1) === 'running' ? { status: 0, lines: [...lines, 'the job is shown as running'] } : { status: 2, lines: [...lines, 'the job has another state'] }
}

const cluster = await Cluster.create({ daemons: 3, workers: WORKERS })
const result = await play(cluster).catch((err) => ({ status: 2, lines: [String(err.stack)] }))
await finish(cluster, FOLDER, result)
