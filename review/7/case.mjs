/**
 * A minion loses power and starts again under its id. A hold that was meant for its former life gives it a lease that its owner does not know
 * of. When the minion is cut off, its task is started elsewhere while it still runs there.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase, World } from '../lib-2/world.mjs'

const MINIONS = 8
const MACHINE = 'm-8'

/** Age of the minion when it loses power, which is what its clock shows. */
const AGE_MS = 9_000

/** One `srv_crash` with `dark`: one minion of eight, for far less than 4.5 s. */
const DOWN_MS = 300

/** The minion loses power this long after a long poll of its owner has come, which waits for 1.5 s. */
const AFTER_POLL_MS = 100

/** Time from the restart to the job, which comes before the owner has noticed the restart. */
const SUBMIT_MS = 50

/** Time from the restart to the minion's entry in the store: half of its heartbeat interval. */
const REGISTER_DELAY_MS = 750

/** Time from the job to the cut: the owner's long poll has failed by then, and the next one has shown the restart. */
const LEAD_MS = 1_900

/** One `node_cut` of servers: one minion of eight, for 5.5 s. */
const CUT_MS = 9_000

/** More tasks than the owner has idle connections to the minion. */
const TASKS = 4

const JOB = '5c0e7a21d94b36f8'

const world = new World({ caseFolder: fileURLToPath(new URL('.', import.meta.url)), minions: MINIONS, kinds: (index) => (index >= MINIONS - 2 ? 'b' : 'a') })

/** Returns the times at which two runs of one task were present on minions that are up. */
function findOverlaps () {
  const present = new Map()
  const overlaps = []
  for (const { what, task, number, minion, atMs } of world.events) {
    const runs = present.get(task) ?? new Map()
    present.set(task, runs)
    if (what !== 'start') {
      runs.delete(`${minion}#${number}`)
      continue
    }
    for (const [other] of runs) overlaps.push(`TWICE: ${task} is started as run ${number} on ${minion} at ${(atMs / 1_000).toFixed(3)} s, while ${other.replace('#', ' has run ')}`)
    runs.set(`${minion}#${number}`, atMs)
  }
  return overlaps
}

await runCase(world, async () => {
  const minion = world.machines.get(MACHINE)
  // The other minion with the label is full until the job has started.
  const filler = '6d1f8b32ea5c47a9'
  if (!await world.submit(filler, [{ count: 1, cpu: 31_000, 'mem-mb': 2_500, 'estimate-ms': 900, requires: 'b', workMs: AGE_MS + 4_000 }])) throw new Error('the first job was not accepted')
  await sleep(AGE_MS)
  const full = world.events.find(({ what, task }) => what === 'start' && task.startsWith(filler)).minion
  const target = full === minion.id ? world.machines.get('m-7') : minion
  if (process.env.TROUBLE !== '0') {
    const { lastHoldAtMs } = target
    while (target.lastHoldAtMs === lastHoldAtMs) await sleep(5)
    await sleep(AFTER_POLL_MS)
    world.log(`minion ${target.id} loses power`)
    target.goDark()
    await sleep(DOWN_MS)
    target.startAgain(REGISTER_DELAY_MS)
    world.log(`minion ${target.id} starts again under its id`)
    await sleep(SUBMIT_MS)
  }
  if (!await world.submit(JOB, [{ count: TASKS, cpu: 3_800, 'mem-mb': 2_500, 'estimate-ms': 900, requires: 'b', 'long-running': true, workMs: 0 }])) throw new Error('the job was not accepted')
  await sleep(LEAD_MS)
  if (!world.events.some(({ what, task, minion: id }) => what === 'start' && task.startsWith(JOB) && id === target.id)) throw new Error('the task was not started on the minion')
  if (process.env.TROUBLE !== '0') {
    world.log(`minion ${target.id} is cut off, lease until ${target.leaseUntilMs}, clock ${target.clockMs}`)
    target.ignores = () => true
    await sleep(CUT_MS)
    target.ignores = () => false
    world.log(`minion ${target.id} is reachable again`)
  }
  await sleep(5_000)
  return findOverlaps()
})
