/**
 * The same worker as in case.mjs goes down and up by turns, while the other workers are full. Checks that no short job is shown as failed for it.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Cluster, finish } from '../lib-3/cluster.mjs'
import { flap } from '../lib-3/flap.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const WORKERS = 6

/** Tasks that fill all workers. */
const FILLING_MS = 25_000
const FILLING = { count: WORKERS * 16, cpu: 2_000, 'mem-mb': 100, 'estimate-ms': FILLING_MS }

/** Short jobs, which come when all workers are full. */
const SHORT_JOBS = 30
const SHORT_MS = 1_300
const SHORT = { count: 6, cpu: 1_800, 'mem-mb': 100, 'estimate-ms': SHORT_MS }
const SHORT_IDS = Array.from({ length: SHORT_JOBS }, (_, index) => `5407${String(index).padStart(12, '0')}`)

async function play (cluster) {
  const { fleet } = cluster
  cluster.startDaemons()
  if (!await cluster.waitUntilReady()) return { status: 2, lines: ['the daemons are not ready'] }
  await submit(cluster, 'f111000000000001', FILLING, FILLING_MS)
  await sleep(1_500)
  for (const id of SHORT_IDS) await submit(cluster, id, SHORT, SHORT_MS)
  if (HAS_TROUBLE) await flap(cluster, [...fleet.workers.values()][0])
  const states = new Map()
  const endMs = performance.now() + 60_000
  while (performance.now() < endMs && SHORT_IDS.some((id) => !isOver(states.get(id)))) {
    for (const id of SHORT_IDS) {
      if (isOver(states.get(id))) continue
      states.set(id, await cluster.getState(id))
      if (isOver(states.get(id))) cluster.log(`state of ${id}: ${states.get(id)}`)
    }
    await sleep(500)
  }
  return check(cluster, states)
}

async function submit (cluster, id, step, ms) {
  cluster.fleet.describeJob(id, [{ count: step.count, ms }])
  cluster.log(`POST of ${id}: ${(await cluster.submit(id, { spec: 'job', steps: [step] })).join(' ')}`)
}

function isOver (state) {
  return state === 'complete' || state === 'failed'
}

/** Only ends `failed` count as attempts. */
function check (cluster, states) {
  const failedEnds = cluster.fleet.events.filter(({ event, how }) => event === 'end' && how === 'failed').length
  const reasons = cluster.readLogs().flatMap((log) => log.split('\n')).filter((line) => line.includes('given up'))
  const count = (state) => SHORT_IDS.filter((id) => states.get(id) === state).length
  const lines = [
    `tasks that ended failed: ${failedEnds}`,
    `short jobs: ${count('complete')} complete, ${count('failed')} failed`,
    ...reasons.map((line) => `log of the owner: ${line.slice(line.indexOf('"job"'))}`),
  ]
  if (count('failed') > 0 && failedEnds === 0) return { status: 1, lines: [...lines, 'BROKEN: jobs are shown as failed, and no task has ended failed'] }
  return count('complete') === SHORT_JOBS ? { status: 0, lines: [...lines, 'all short jobs are complete'] } : { status: 2, lines: [...lines, 'some short jobs are still open'] }
}

const cluster = await Cluster.create({ daemons: 3, workers: WORKERS })
const result = await play(cluster).catch((err) => ({ status: 2, lines: [String(err.stack)] }))
await finish(cluster, FOLDER, result, 'record-short.txt')
