/**
 * The workers of one rack crash while they run the tasks of one wide job. Checks that the job is not shown as failed.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { Cluster, finish } from '../lib-3/cluster.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const JOB = '5c0e7a21d94b36f8'

/** Tasks of the job, whose data is in one rack. That rack of four workers has room for all of them, the other one too. */
const TASKS = 2_400
const TASK = { cpu: 50, 'mem-mb': 20, 'estimate-ms': 6_000, affinity: 'r1-0' }
const TASK_MS = 6_000

/** Time for which the workers are down: the shortest that the site's list of troubles names is 4.5 s. */
const DOWN_MS = 4_500

const RACK = 'r1-0'

/** Runs in that rack at which its workers crash. */
const RUNS_IN_RACK = 1_800

async function play (cluster) {
  const { fleet } = cluster
  fleet.describeJob(JOB, [{ count: TASKS, ms: TASK_MS }])
  cluster.startDaemons()
  if (!await cluster.waitUntilReady()) return { status: 2, lines: ['the daemons are not ready'] }
  cluster.log(`POST of the job with ${TASKS} tasks: ${(await cluster.submit(JOB, { spec: 'wide', steps: [{ count: TASKS, ...TASK }] })).join(' ')}`)
  const startedMs = await waitForStarts(fleet)
  cluster.log(`${startedMs} starts; on the workers: ${[...fleet.workers.values()].map(({ id, runs }) => `${id} ${runs.size}`).join(', ')}`)
  if (HAS_TROUBLE) {
    const workers = [...fleet.workers.values()].filter(({ rack }) => rack === RACK)
    for (const worker of workers) worker.crash()
    cluster.log(`the workers of rack ${RACK} crash: ${workers.map(({ id }) => id).join(', ')}`)
    await sleep(DOWN_MS)
    for (const worker of workers) await worker.revive()
    for (const worker of workers) cluster.register(worker)
    cluster.log('they start again, under their ids')
  }
  const states = []
  const endMs = performance.now() + 60_000
  while (performance.now() < endMs && !['complete', 'failed', 'cancelled'].includes(states.at(-1))) {
    await sleep(250)
    const state = await cluster.getState(JOB)
    if (state !== states.at(-1)) cluster.log(`state of the job: ${state}`)
    states.push(state)
  }
  return check(cluster, states)
}

/** Waits until the rack has so many runs, or all tasks have started. Returns the number of starts. */
async function waitForStarts ({ events, workers }) {
  const endMs = performance.now() + 10_000
  while (performance.now() < endMs && events.length < TASKS) {
    const runs = [...workers.values()].filter(({ rack }) => rack === RACK).reduce((sum, worker) => sum + worker.runs.size, 0)
    if (runs >= RUNS_IN_RACK) break
    await sleep(5)
  }
  return events.length
}

/** Only ends `failed` count as attempts, so a job without any is not shown as failed. */
function check (cluster, states) {
  const { events } = cluster.fleet
  const failedEnds = events.filter(({ event, how }) => event === 'end' && how === 'failed').length
  const reasons = cluster.readLogs().flatMap((log) => log.split('\n')).filter((line) => line.includes('exceeds a row'))
  const lines = [
    `starts ${events.filter(({ event }) => event === 'start').length}, ended done ${events.filter(({ event, how }) => event === 'end' && how === 'done').length}, ended failed ${failedEnds}, lost in a crash ${events.filter(({ how }) => how === 'crash').length}`,
    ...reasons.slice(0, 1).map((line) => `log of the owner: ${line}`),
    `last state: ${states.at(-1)}`,
  ]
  if (states.at(-1) === 'failed' && failedEnds === 0) return { status: 1, lines: [...lines, 'BROKEN: the job is shown as failed although no task has ended failed'] }
  if (states.at(-1) !== 'complete') return { status: 2, lines: [...lines, 'the job did not complete in time'] }
  return { status: 0, lines: [...lines, 'the job is shown as complete'] }
}

const cluster = await Cluster.create({ daemons: 3, workers: 8 })
const result = await play(cluster).catch((err) => ({ status: 2, lines: [String(err.stack)] }))
await finish(cluster, FOLDER, result)
