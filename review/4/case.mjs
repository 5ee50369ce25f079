/**
 * Two racks lose their minions by turns, so that the tasks of a lasting job move to and fro.
 */
import { runCase, sleep } from '../lib/world.mjs'

const LASTING = { count: 3, cpu: 2_700, 'mem-mb': 6_800, 'anti-affinity': 1, 'long-running': true, 'may-miss': 1 }
const JOB = '00000000000000f1'
const MACHINES = 8
const CRASHES = 4
const CRASH_PERIOD_MS = 1_500
const DOWN_MS = 700
const AFTER_MS = 12_000

runCase(import.meta.url, async (world, hasTrouble) => {
  await world.start()
  for (let index = 0; index < MACHINES; index++) await world.addMachine({ machine: `m-${index}` })
  await sleep(1_000)
  await world.submit(JOB, [LASTING])
  await sleep(5_000)
  for (let crash = 0; crash < (hasTrouble ? CRASHES : 0); crash++) {
    const busy = [...world.minions].filter(([, minion]) => minion.runs.size > 0).map(([machine]) => Math.floor(Number(machine.slice(2)) / 4))
    const rack = busy.filter((each) => each === 0).length * 2 >= busy.length ? 0 : 1
    world.record('a rack loses its minions', { rack })
    for (let index = 4 * rack; index < 4 * rack + 4; index++) world.crash(`m-${index}`, DOWN_MS)
    await sleep(CRASH_PERIOD_MS)
  }
  await sleep(AFTER_MS)
  const state = await world.getState(JOB)
  const failedEnds = [...world.endsByTask].flatMap(([, ends]) => ends).filter((how) => how === 'failed').length
  if (state === 'failed') world.break('LOST', `lasting job ${JOB} is shown as failed after ${failedEnds} ends as failed, and ${world.countRuns(JOB)} of its tasks are at work`)
  else world.record('state', { state, atWork: world.countRuns(JOB) })
})
