/**
 * The store is silent for three seconds; a client that got no outcome for its job cancels it.
 */
import { runCase, sleep } from '../lib/world.mjs'

const CERTIFICATE = { count: 8, cpu: 3_800, 'mem-mb': 7_100, 'estimate-ms': 1_300, durationMs: 1_300 }
const STEPS = [CERTIFICATE, { ...CERTIFICATE, after: [0] }, { ...CERTIFICATE, after: [1] }]
const JOB = '00000000000000e1'
const SILENT_MS = 3_000
/** A call without an answer may be carried out seconds later. */
const WRITE_DELAY_MS = 6_000
const CANCEL_MS = 3_000
const CONTACT_MS = 3_000
const PLAY_MS = 12_000

runCase(import.meta.url, async (world, hasTrouble) => {
  await world.start()
  for (let index = 0; index < 6; index++) await world.addMachine({ machine: `m-${index}` })
  await sleep(4_000)
  let calmSinceMs = -Infinity
  if (hasTrouble) {
    world.store.silentWriteDelayMs = WRITE_DELAY_MS
    world.record('the store falls silent')
    setTimeout(() => {
      world.store.silentWriteDelayMs = undefined
      calmSinceMs = performance.now()
      world.record('the store answers again')
    }, SILENT_MS)
  }
  const sentAtMs = performance.now()
  const { status } = await world.submitOnce(JOB, STEPS)
  await sleep(hasTrouble ? SILENT_MS - (performance.now() - sentAtMs) + 100 : 100)
  let answer
  do answer = await world.cancel(JOB)
  while (answer.status !== 200 && answer.status !== 410 && await sleep(200, true))
  const acknowledgedAtMs = performance.now()
  world.record('the cancelling is acknowledged', { posted: status, deleted: answer.status })
  world.onStartHook = ({ task, number, minion }) => {
    const nowMs = performance.now()
    if (!task.startsWith(JOB) || nowMs - acknowledgedAtMs <= CANCEL_MS || nowMs - calmSinceMs < CONTACT_MS) return
    world.break('UNASKED', `run ${number} of ${task} begins on ${minion.id} ${Math.round(nowMs - acknowledgedAtMs)} ms after the job's cancelling was acknowledged`)
  }
  await sleep(PLAY_MS)
  world.record('state', { state: await world.getState(JOB) })
})
