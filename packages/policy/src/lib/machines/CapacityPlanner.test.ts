/**
 * Demand that changes between a few pools, compared with never moving machines and with following every change at once.
 */
import { assert, describe } from '@vanillathread/testing'
import { CapacityPlanner, type PlannedMachine, type PlannedMove } from './CapacityPlanner.js'
import type { PoolCapacityDemand } from './PoolCapacityDemand.js'

const CAPACITY = { cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0 }
const OPTIONS = { moveMs: 1_500, keepMs: 1_000, spareMachines: 1 }

function createDemand (pool: string, machines: number): PoolCapacityDemand {
  return { pool, busyCpuMillis: machines * 0.9 * CAPACITY.cpuMillis, lateCpuMillis: 0, longRunningCpuMillis: 0, memoryMb: 0, lateMemoryMb: 0, minVms: 0, arrivingCpuMillis: 0, trendCpuMillisPerSecond: 0 }
}

function machine (id: string, pool: string, usedCpuMillis = 0): PlannedMachine {
  return { id, pool, capacity: CAPACITY, movable: usedCpuMillis === 0, drainable: true, usedCpuMillis }
}

function machines (pool: string, count: number, usedCpuMillis = 0): PlannedMachine[] {
  return Array.from({ length: count }, (_unused, index) => machine(`${pool}-${index}`, pool, usedCpuMillis))
}

function standby (): { demand: PoolCapacityDemand, standby: boolean } {
  return { demand: createDemand('spare', 0), standby: true }
}

function countMovesTo (moves: readonly PlannedMove[], pool: string): number {
  return moves.filter((move) => move.toPool === pool).length
}

describe('CapacityPlanner', ({ it, describe }) => {
  it('covers a deficit with idle machines of other pools before standby machines', () => {
    const planner = CapacityPlanner.create(OPTIONS)
    const pools = [{ demand: createDemand('a', 4), standby: false }, { demand: createDemand('b', 0), standby: false }, standby()]
    const moves = planner.plan(0, pools, [...machines('a', 1, 30_000), ...machines('b', 3), ...machines('spare', 5)])
    assert.is(countMovesTo(moves, 'a'), 3)
    assert.is(moves.filter((move) => move.fromPool === 'b').length, 2)
  })

  it('keeps idle machines for a while and then moves them to the standby pool', () => {
    const planner = CapacityPlanner.create(OPTIONS)
    const pools = (needed: number) => [{ demand: createDemand('a', needed), standby: false }, standby()]
    const own = machines('a', 4)
    assert.equal(planner.plan(0, pools(4), own), [])
    assert.equal(planner.plan(500, pools(0), own), [])
    assert.is(countMovesTo(planner.plan(1_600, pools(0), own), 'spare'), 3)
  })

  it('shares machines in proportion to need if two pools need more than there are', () => {
    const planner = CapacityPlanner.create(OPTIONS)
    const pools = [{ demand: createDemand('a', 30), standby: false }, { demand: createDemand('b', 10), standby: false }, standby()]
    const moves = planner.plan(0, pools, [...machines('a', 19, 30_000), ...machines('b', 1, 30_000)])
    assert.is(countMovesTo(moves, 'b'), 4)
    assert.is(countMovesTo(moves, 'a'), 0)
  })

  it('gives machines that jobs in time do not need to late jobs, and takes them back when jobs in time need them', () => {
    const planner = CapacityPlanner.create(OPTIONS)
    const backlog = { ...createDemand('a', 1), lateCpuMillis: 30 * CAPACITY.cpuMillis }
    const pools = (neededByB: number) => [{ demand: backlog, standby: false }, { demand: createDemand('b', neededByB), standby: false }, standby()]
    const spare = planner.plan(0, pools(0), [...machines('a', 4, 30_000), ...machines('b', 1), ...machines('spare', 6)])
    assert.is(countMovesTo(spare, 'a'), 6)
    const taken = planner.plan(2_000, pools(10), [...machines('a', 10, 30_000), ...machines('b', 1, 30_000)])
    assert.is(taken.filter((move) => move.fromPool === 'a' && move.toPool === 'b').length, 9)
  })

  it('never moves a machine on which a long-running task runs', () => {
    const planner = CapacityPlanner.create(OPTIONS)
    const pools = [{ demand: createDemand('a', 30), standby: false }, { demand: createDemand('b', 10), standby: false }, standby()]
    const longRunning = machines('a', 19, 30_000).map((each) => ({ ...each, drainable: false }))
    assert.equal(planner.plan(0, pools, [...longRunning, machine('b-0', 'b', 30_000)]), [])
  })

  describe('when demand moves from pool to pool', ({ it }) => {
    const TURN_MS = 8_000
    const STEP_MS = 200
    const POOLS = ['a', 'b', 'c', 'd'] as const
    const TOTAL = 24

    /**
     * Simulates demand that changes: in turn, one pool needs 14 machines and the others 1. Returns the unserved and the
     * held machine-seconds, and the number of moves.
     */
    function simulate (decide: (nowMs: number, machines: PlannedMachine[], needed: (pool: string) => number) => PlannedMove[]) {
      const state = new Map<string, { pool: string, readyAtMs: number }>()
      for (let index = 0; index < TOTAL; index++) state.set(`m-${index}`, { pool: POOLS[index % 4] ?? 'a', readyAtMs: 0 })
      const sum = { unserved: 0, held: 0, moves: 0 }
      for (let nowMs = 0; nowMs < 4 * TURN_MS; nowMs += STEP_MS) {
        const active = POOLS[Math.floor(nowMs / TURN_MS)]
        const needed = (pool: string): number => pool === active ? 14 : 1
        const view = [...state].map(([id, { pool, readyAtMs }]) => ({ ...machine(id, pool), movable: nowMs >= readyAtMs, drainable: nowMs >= readyAtMs }))
        for (const move of decide(nowMs, view, needed)) {
          state.set(move.machine, { pool: move.toPool, readyAtMs: nowMs + OPTIONS.moveMs })
          sum.moves += 1
        }
        for (const pool of POOLS) {
          const ready = [...state.values()].filter((each) => each.pool === pool && nowMs >= each.readyAtMs).length
          sum.unserved += Math.max(0, needed(pool) - ready) * STEP_MS / 1_000
        }
        sum.held += [...state.values()].filter((each) => each.pool !== 'spare').length * STEP_MS / 1_000
      }
      return sum
    }

    /**
     * Simulates high demand of pool b beside a backlog of pool a that can only end late. Returns the unserved
     * machine-seconds of pool b, and the time at which the backlog ends.
     */
    function simulateBacklog (separatesLateJobs: boolean) {
      const planner = CapacityPlanner.create(OPTIONS)
      const state = new Map<string, { pool: string, readyAtMs: number }>()
      for (let index = 0; index < 20; index++) state.set(`m-${index}`, { pool: index < 19 ? 'a' : 'b', readyAtMs: 0 })
      const sum = { unserved: 0, backlogEndMs: Infinity }
      let backlog = 100
      for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
        const neededByB = nowMs < TURN_MS ? 14 : 1
        const late = Math.min(40, backlog) * 0.9 * CAPACITY.cpuMillis
        const a = separatesLateJobs ? { ...createDemand('a', 0), lateCpuMillis: late } : { ...createDemand('a', 0), busyCpuMillis: late }
        const view = [...state].map(([id, { pool, readyAtMs }]) => ({ ...machine(id, pool), movable: nowMs >= readyAtMs && pool !== 'a', drainable: nowMs >= readyAtMs }))
        for (const move of planner.plan(nowMs, [{ demand: a, standby: false }, { demand: createDemand('b', neededByB), standby: false }, standby()], view)) {
          state.set(move.machine, { pool: move.toPool, readyAtMs: nowMs + OPTIONS.moveMs })
        }
        const ready = (pool: string): number => [...state.values()].filter((each) => each.pool === pool && nowMs >= each.readyAtMs).length
        sum.unserved += Math.max(0, neededByB - ready('b')) * STEP_MS / 1_000
        backlog = Math.max(0, backlog - ready('a') * STEP_MS / 1_000)
        if (backlog === 0) sum.backlogEndMs = Math.min(sum.backlogEndMs, nowMs)
      }
      return sum
    }

    it('leaves less demand unserved beside a late backlog than if late work counted as work in time, and still ends the backlog', () => {
      const separate = simulateBacklog(true)
      const combined = simulateBacklog(false)
      assert.ok(separate.unserved < combined.unserved / 2, `${separate.unserved} against ${combined.unserved}`)
      assert.ok(separate.backlogEndMs < 30_000, `backlog ends at ${separate.backlogEndMs}`)
    })

    const simulatePlanner = () => {
      const planner = CapacityPlanner.create(OPTIONS)
      return simulate((nowMs, view, needed) => planner.plan(nowMs, [...POOLS.map((pool) => ({ demand: createDemand(pool, needed(pool)), standby: false })), standby()], view))
    }

    it('leaves far less demand unserved than never moving machines, and holds fewer of them', () => {
      const never = simulate(() => [])
      const followed = simulatePlanner()
      assert.ok(followed.unserved < never.unserved / 3, `${followed.unserved} against ${never.unserved}`)
      assert.ok(followed.held < never.held, `${followed.held} against ${never.held}`)
    })

    it('moves fewer machines than a planner that follows every change and sends each idle machine to standby at once', () => {
      const immediate = simulate((nowMs, view, needed) => {
        const planner = CapacityPlanner.create({ ...OPTIONS, keepMs: 0, spareMachines: 0 })
        const getFluctuatingNeed = (pool: string): number => nowMs % 1_000 < 500 ? needed(pool) : 0
        return planner.plan(nowMs, [...POOLS.map((pool) => ({ demand: createDemand(pool, getFluctuatingNeed(pool)), standby: false })), standby()], view)
      })
      assert.ok(simulatePlanner().moves < immediate.moves / 2)
    })
  })
})
