/**
 * A burst of jobs on a queue with advice: more steps wait for advice than the service can decide within the validity of a ticket.
 */
import { runCase, sleep } from '../lib/world.mjs'

const ADVICE = { 'decide-ms': 90, 'each-ms': 10, 'valid-ms': 2_000 }
const CHECK = { count: 6, cpu: 1_800, 'mem-mb': 2_500, 'estimate-ms': 640, durationMs: 640 }
const USUAL_PER_S = 5
const BURST = 2.6
const BURST_S = 4
const BURST_AT_S = 5
const PLAY_S = 15
const FINISH_S = 14
/** Time for which a job may have nothing running although it could. */
const IDLE_MS = 3_000

runCase(import.meta.url, async (world, hasTrouble) => {
  await world.start({ advice: ADVICE })
  for (let index = 0; index < 6; index++) await world.addMachine({ machine: `m-${index}` })
  await sleep(1_000)
  const accepted = []
  const submit = async () => {
    const id = `000000000000${(0xd000 + accepted.length).toString(16)}`
    accepted.push(id)
    if (!await world.submit(id, [CHECK])) accepted.splice(accepted.indexOf(id), 1)
  }
  const startedAt = performance.now()
  for (let atMs = 0; atMs < PLAY_S * 1_000;) {
    const isBurst = hasTrouble && atMs >= BURST_AT_S * 1_000 && atMs < (BURST_AT_S + BURST_S) * 1_000
    submit()
    atMs += 1_000 / (USUAL_PER_S * (isBurst ? BURST : 1))
    await sleep(Math.max(0, startedAt + atMs - performance.now()))
  }
  await sleep(FINISH_S * 1_000)
  const idle = accepted.filter((id) => world.countRuns(id) === 0)
  const before = new Map(idle.map((id) => [id, world.countStarts(id)]))
  await sleep(IDLE_MS)
  let isReported = false
  for (const id of idle) {
    if (world.countRuns(id) > 0 || world.countStarts(id) > before.get(id)) continue
    const state = await world.getState(id)
    if (state === 'complete') continue
    world.break('LOST', `${id} was accepted, is shown as ${state}, and had nothing running for ${IDLE_MS} ms, ${FINISH_S} s after the end of the traffic`)
    isReported = true
  }
  world.record('jobs', { accepted: accepted.length, isReported })
})
