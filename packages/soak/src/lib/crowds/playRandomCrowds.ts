/**
 * Random crowds: several kinds of clients that do not behave at the same time, in two waves, with signals and changes of the configuration.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { RandomSource } from '@vanillathread/policy'
import { QUEUE_HOST } from '../SoakCluster.js'
import { GRACE_MS } from '../SoakDaemon.js'
import { CrowdRun, type Crowd } from './CrowdRun.js'
import { announce, MAX_BODY_BYTES, sendAhead, sendChunks, sendUnfinishedFrame, sendUnfinishedHead, sendWhole, staySilent, type Member } from './members.js'

const KB = 1_024
const FOUR_MB = 4_000_000

/** A body inside the limit, with very many steps. They are not valid, as they lack their number of tasks. */
export const MANY_STEPS = `{"spec":"","steps":[${'{},'.repeat(85_000)}{}]}`

/** Returns a job that just fits into a row of the store. */
export function createLargeJob (): string {
  return JSON.stringify({ spec: 'x'.repeat(4_000), steps: Array.from({ length: 180 }, () => ({ count: 1, cpu: 100, 'mem-mb': 16, 'estimate-ms': 10 })) })
}

/** What the members of a mixed crowd do. */
export const MIXED_MEMBERS: readonly Member[] = [
  sendChunks(16 * KB, MAX_BODY_BYTES), sendChunks(1, 50_000), sendChunks(16 * KB, FOUR_MB), announce(FOUR_MB, 10_000), announce(200_000, 1), sendAhead(10_000, QUEUE_HOST), sendUnfinishedHead(15 * KB), staySilent, sendWhole(() => MANY_STEPS, 1), sendWhole(createLargeJob, 3),
]

/** Members that a random crowd has in all. */
const TOTAL_MEMBERS = 500

/** Longest time of each wave. */
const WAVE_LIMIT_MS = 3_000

/** Memory and descriptors of the smallest and of the largest VM of a random play. */
const MEMORY_MB = { min: 200, max: 600 }
const DESCRIPTORS = { min: 512, max: 8_192 }

/**
 * Plays two waves of crowds of a seed. The second is still connected when the daemon gets SIGTERM.
 *
 * @returns what does not hold; an empty list if the process lived within its resources, answered ordinary callers, and exited in time.
 */
export async function playRandomCrowds (seed: number): Promise<string[]> {
  const random = RandomSource.create(seed)
  const run = await CrowdRun.start({ memoryMb: pickBetween(random, MEMORY_MB), maxDescriptors: pickBetween(random, DESCRIPTORS), playLimitMs: WAVE_LIMIT_MS })
  const faults: string[] = []
  try {
    await run.play(...createCrowds(random))
    if (await run.query() !== 200) faults.push('an ordinary caller got no answer beside the first crowd')
    run.disperse()
    run.signal('SIGHUP')
    await run.play(...createCrowds(random))
    if (await run.query() !== 200) faults.push('an ordinary caller got no answer beside the second crowd')
    faults.push(...run.listFaults())
    run.signal('SIGTERM')
    if (!await Promise.race([run.waitForExit().then(() => true), sleep(GRACE_MS, false)])) faults.push('the process has not exited in time')
  } finally {
    const folder = await run.stop({ keepsLogs: faults.length > 0 })
    if (faults.length > 0) faults.push(`logs in ${folder}`)
  }
  return faults
}

function createCrowds (random: RandomSource): Crowd[] {
  const kinds = 2 + random.nextBelow(4)
  return Array.from({ length: kinds }, () => {
    const members = Math.floor(TOTAL_MEMBERS / kinds)
    const readsAnswers = random.nextBelow(2) === 0
    if (random.nextBelow(10) === 0) return { members, play: sendUnfinishedFrame(1 + random.nextBelow(8 * KB * KB)), server: 'peer' }
    const [play = staySilent] = random.sample(MIXED_MEMBERS, 1)
    return { members, play, readsAnswers, server: random.nextBelow(8) === 0 ? 'readiness' : 'clients' }
  })
}

function pickBetween (random: RandomSource, { min, max }: { readonly min: number, readonly max: number }): number {
  return min + random.nextBelow(max - min + 1)
}
