/**
 * Ways of placing machines that days of load are played with.
 */
import { CapacityPlanner, ForecastPlanner, type PlannedMachine, type PlannedMove, type PlannedPool } from '@vanillathread/policy'
import type { MovePlanner } from './LoadDay.js'
import { listTurns, type LoadSite } from './LoadSite.js'

const OPTIONS = { moveMs: 1_500, keepMs: 1_000, spareMachines: 1 }

/** Moves no machine. */
export class NeverMove implements MovePlanner {
  plan (): PlannedMove[] {
    return []
  }
}

/** Follows each change of demand at once, without keeping machines for a while. */
export class AlwaysChase implements MovePlanner {
  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[] {
    return CapacityPlanner.create({ ...OPTIONS, keepMs: 0, spareMachines: 0 }).plan(nowMs, pools, machines)
  }
}

/** The planner without a forecast. */
export function createCapacityPlanner (): MovePlanner {
  return CapacityPlanner.create(OPTIONS)
}

/** The planner with a forecast of turns. */
export function createForecastPlanner (): MovePlanner {
  return ForecastPlanner.create(OPTIONS)
}

/** Knows the arrival rates of the day to come, and plans with those of the time at which a move would end. */
class Oracle implements MovePlanner {
  private readonly planner = CapacityPlanner.create(OPTIONS)

  constructor (private readonly site: LoadSite) {}

  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[] {
    const known = pools.map((pool) => {
      const arriving = Math.max(...[0, 500, 1_000, 1_500, 2_000].map((aheadMs) => this.getRate(pool.demand.pool, nowMs + aheadMs)))
      return { ...pool, demand: { ...pool.demand, arrivingCpuMillis: Math.max(arriving, pool.demand.arrivingCpuMillis), trendCpuMillisPerSecond: 0 } }
    })
    return this.planner.plan(nowMs, known, machines)
  }

  private getRate (pool: string, atMs: number): number {
    const dayMs = atMs - this.site.warmUpMs
    const queue = this.site.queues.find((each) => each.pool === pool)
    if (queue === undefined) return 0
    const turn = listTurns(this.site).find((each) => each.queue === queue.name && dayMs >= each.fromMs && dayMs < each.toMs)
    const share = turn === undefined ? 0.05 : 5 * Math.sin(Math.PI * (dayMs - turn.fromMs) / (turn.toMs - turn.fromMs))
    const work = queue.steps.mean * queue.tasksPerStep.mean * queue.durationMs.mean / 1_000 * queue.cpuMillis.mean
    return share * queue.jobsPerSecond * work
  }
}

/** Planners by name. */
export const PLANNERS: ReadonlyMap<string, (site: LoadSite) => MovePlanner> = new Map<string, (site: LoadSite) => MovePlanner>([
  ['never', () => new NeverMove()],
  ['chase', () => new AlwaysChase()],
  ['present', createCapacityPlanner],
  ['forecast', createForecastPlanner],
  ['oracle', (site) => new Oracle(site)],
])
