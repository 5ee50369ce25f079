/**
 * What teams get on a day on which one of them submits several times its usual jobs and machines are scarce, compared with the
 * order that does not know teams.
 */
import { CapacityPlanner } from '@vanillathread/policy'
import { assert, describe } from '@vanillathread/testing'
import { LoadDay } from './lib/load/LoadDay.js'
import { SMALL_SITE } from './lib/load/sites.js'
import type { LoadSite, LoadTeam } from './lib/load/LoadSite.js'
import type { LoadDayResult } from './lib/load/summarizeLoadDay.js'

const SEEDS = [1, 2, 3, 4, 5, 6]
const JOBS_PER_SECOND = SMALL_SITE.queues.reduce((sum, { jobsPerSecond }) => sum + jobsPerSecond, 0)

/** Three large teams, the first of which surges to 7.5 times its usual load for 6 s, and 17 small ones. Weights are the usual jobs a second. */
const TEAMS: readonly LoadTeam[] = Array.from({ length: 20 }, (_unused, index) => ({
  name: `team-${index}`,
  weight: JOBS_PER_SECOND * (index < 3 ? 0.15 : 0.55 / 17),
  ...(index === 0 && { surge: { fromMs: 10_000, toMs: 16_000, factor: 7.5 } }),
}))

interface Outcome {
  /** Jobs of the teams that do not surge. */
  readonly inTime: number
  readonly late: number
  readonly missed: number
  /** Earned share of the worth of these teams, and of the worst tenth of them. */
  readonly earned: number
  readonly worstTenth: number
}

function summarize (result: LoadDayResult): Outcome {
  const others = TEAMS.filter(({ surge }) => surge === undefined).map(({ name }) => result.byTeam.get(name) ?? { jobs: 0, inTime: 0, late: 0, worth: 1, earned: 0 })
  const sum = (field: 'jobs' | 'inTime' | 'late' | 'worth' | 'earned'): number => others.reduce((total, team) => total + team[field], 0)
  const [worst = 0, second = 0] = others.map(({ earned, worth }) => earned / worth).sort((a, b) => a - b)
  return { inTime: sum('inTime'), late: sum('late'), missed: sum('jobs') - sum('inTime') - sum('late'), earned: sum('earned') / sum('worth'), worstTenth: (worst + second) / 2 }
}

/** Plays all seeds with a share of the site's machines, and returns the means. */
function play (machineShare: number, knowsTeams: boolean): Outcome {
  const site: LoadSite = { ...SMALL_SITE, pools: SMALL_SITE.pools.map((pool) => ({ ...pool, machines: Math.round(pool.machines * machineShare) })), teams: TEAMS }
  const teams = knowsTeams ? TEAMS.map(({ name, weight }) => ({ name, weight, keys: [], cap: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } })) : undefined
  const outcomes = SEEDS.map((seed) => summarize(LoadDay.create({ site, seed, planner: CapacityPlanner.create({ moveMs: 1_500, keepMs: 1_000, spareMachines: 1 }), teams }).run()))
  const getMean = (field: keyof Outcome): number => outcomes.reduce((sum, outcome) => sum + outcome[field], 0) / outcomes.length
  return { inTime: getMean('inTime'), late: getMean('late'), missed: getMean('missed'), earned: getMean('earned'), worstTenth: getMean('worstTenth') }
}

describe('a team at 7.5 times its usual load', ({ it }) => {
  for (const machineShare of [0.85, 0.7]) {
    it(`costs the other teams less than without shares, on ${machineShare} of the machines`, () => {
      const [before, after] = [play(machineShare, false), play(machineShare, true)]
      const seen = JSON.stringify({ before, after })
      assert.ok(after.inTime > before.inTime && after.late < before.late, seen)
      assert.ok(after.earned > before.earned && after.worstTenth >= before.worstTenth, seen)
      assert.ok(after.missed <= before.missed + 0.01 * (after.inTime + after.late + after.missed), `no more than one job in a hundred is missed for it: ${seen}`)
    })
  }
})
