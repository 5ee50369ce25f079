/**
 * A minion crashes and starts again under its id while the store discards its history sooner than usual.
 */
import { HEARTBEAT_MS, runCase, sleep } from '../lib/world.mjs'

const CERTIFICATE = { count: 8, cpu: 3_800, 'mem-mb': 7_100, 'estimate-ms': 1_300, durationMs: 1_300 }
const PLAY_S = 16
const JOBS_PER_S = 8
const TROUBLE_AT_S = 5
const DOWN_MS = 800
/** Time from the crash until the store discards its history: between the minion's return and its first heartbeat. */
const DISCARD_AFTER_MS = 1_900

runCase(import.meta.url, async (world, hasTrouble) => {
  await world.start()
  for (let index = 0; index < 6; index++) await world.addMachine({ machine: `m-${index}` })
  await sleep(1_000)
  let jobs = 0
  const submit = () => world.submit(`0000000000${(0xc00000 + ++jobs).toString(16)}`, [CERTIFICATE])
  const timer = setInterval(submit, 1_000 / JOBS_PER_S)
  await sleep(TROUBLE_AT_S * 1_000)
  if (hasTrouble) {
    setTimeout(() => {
      world.record('the store discards its history')
      world.store.dropHistory()
    }, DISCARD_AFTER_MS)
    await world.restart('m-2', { downMs: DOWN_MS, registerAfterMs: HEARTBEAT_MS })
  }
  await sleep((PLAY_S - TROUBLE_AT_S) * 1_000)
  clearInterval(timer)
})
