/**
 * Plays days of the site with turns with several ways of placing machines, and prints what callers got:
 * `node packages/integration/dist/playLoad.js [--seeds N] [--planners NAMES] [--loads NAMES]`.
 */
import { parseArgs } from 'node:util'
import { StopReason } from '@vanillathread/policy'
import { LoadDay } from './lib/load/LoadDay.js'
import { createLoads } from './lib/load/loads.js'
import { PLANNERS } from './lib/load/planners.js'
import { TURNS_SITE } from './lib/load/sites.js'
import type { LoadDayResult } from './lib/load/summarizeLoadDay.js'

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '3' }, planners: { type: 'string' }, loads: { type: 'string', default: 'turns' } } })
const LOADS = createLoads(TURNS_SITE)
const planners = values.planners?.split(',') ?? [...PLANNERS.keys()]
const loads = values.loads === 'all' ? [...LOADS.keys()] : values.loads.split(',')

function getMean (results: readonly LoadDayResult[], pick: (result: LoadDayResult) => number): number {
  return results.reduce((sum, result) => sum + pick(result), 0) / results.length
}

function describeResults (results: readonly LoadDayResult[]): Record<string, string> {
  const queues = (result: LoadDayResult): number[] => [...result.byQueue.values()].map(({ earned, worth }) => earned / worth)
  const inTime = (result: LoadDayResult): number => {
    const outcomes = [...result.byQueue.values()]
    return outcomes.reduce((sum, outcome) => sum + outcome.inTime, 0) / outcomes.reduce((sum, outcome) => sum + outcome.jobs, 0)
  }
  return {
    served: getMean(results, ({ served }) => served).toFixed(3),
    inTime: getMean(results, inTime).toFixed(3),
    worstQueue: getMean(results, (result) => Math.min(...queues(result))).toFixed(3),
    seconds: [0, 1, 2, 3].map((second) => getMean(results, ({ secondsOfTurn }) => secondsOfTurn[second] ?? 0).toFixed(3)).join(' '),
    firstWindows: [0, 1, 2, 3, 4, 5, 6, 7].map((window) => getMean(results, ({ windows }) => windows[window] ?? 0).toFixed(2)).join(' '),
    moves: getMean(results, ({ moves }) => moves).toFixed(0),
    machineSeconds: getMean(results, ({ machineSeconds }) => machineSeconds).toFixed(0),
    // Stopped runs and the core-seconds that they had used.
    byMoves: describeStops(results, StopReason.Evacuation),
    stalled: describeStops(results, StopReason.Stalled),
    net: getMean(results, ({ net }) => net).toFixed(3),
  }
}

function describeStops (results: readonly LoadDayResult[], reason: StopReason): string {
  return `${getMean(results, ({ stops }) => stops.get(reason)?.runs ?? 0).toFixed(0)}, ${getMean(results, ({ stops }) => stops.get(reason)?.coreSeconds ?? 0).toFixed(0)}`
}

for (const load of loads) {
  const site = LOADS.get(load)
  if (site === undefined) throw new Error(`unknown load ${load}, known are ${[...LOADS.keys()].join(', ')}`)
  const rows: Record<string, Record<string, string>> = {}
  for (const name of planners) {
    const createPlanner = PLANNERS.get(name)
    if (createPlanner === undefined) throw new Error(`unknown planner ${name}, known are ${[...PLANNERS.keys()].join(', ')}`)
    const startedAtMs = performance.now()
    const seeds = Array.from({ length: Number(values.seeds) }, (_unused, index) => index + 1)
    const results = seeds.map((seed) => LoadDay.create({ site, seed, planner: createPlanner(site) }).run())
    rows[name] = { ...describeResults(results), tookS: ((performance.now() - startedAtMs) / 1_000 / seeds.length).toFixed(1) }
  }
  console.log(load)
  console.table(rows)
}
