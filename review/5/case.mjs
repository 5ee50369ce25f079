/**
 * A scheduled job of a week comes when its times have passed. It must not keep the jobs of others from running.
 */
import { runCase, sleep } from '../lib/world.mjs'

const CHECK = { count: 6, cpu: 1_800, 'mem-mb': 2_500, 'estimate-ms': 640, durationMs: 640 }
const TIMES = 10_080
const INTERVAL_MS = 60_000
const SCHEDULED_AT_S = 5
const PLAY_S = 45
const FINISH_S = 14
/** Time for which a job may have nothing running although it could. */
const IDLE_MS = 3_000

runCase(import.meta.url, async (world, hasTrouble) => {
  await world.start()
  for (let index = 0; index < 6; index++) await world.addMachine({ machine: `m-${index}` })
  await sleep(1_000)
  const accepted = []
  for (let second = 1; second <= PLAY_S; second++) {
    const firstRunMs = Date.now() - (hasTrouble ? TIMES * INTERVAL_MS : 0)
    if (second === SCHEDULED_AT_S) world.submit('00000000000000e1', [{ ...CHECK, count: 1 }], { 'repeat-count': TIMES, 'first-run-ms': firstRunMs, 'interval-ms': INTERVAL_MS })
    const id = `0000000000000b${String(second).padStart(2, '0')}`
    if (await world.submit(id, [CHECK])) accepted.push(id)
    await sleep(1_000)
  }
  await sleep(FINISH_S * 1_000)
  const idle = accepted.filter((id) => world.countRuns(id) === 0 && world.countStarts(id) === 0)
  await sleep(IDLE_MS)
  for (const id of idle) {
    if (world.countStarts(id) > 0) continue
    const state = await world.getState(id)
    const atWork = [...world.runsByTask.values()].reduce((sum, runs) => sum + runs.size, 0)
    world.break('LOST', `${id} was accepted, is shown as ${state}, and no task of it has begun ${FINISH_S} s after the end of the traffic; ${atWork} tasks are at work on ${world.minions.size} minions`)
  }
})
