/**
 * Moves empty machines to where demand is, and to standby where there is none.
 *
 * Load it answers: queues that in turn ask for several times their mean for some seconds, more than their pool holds,
 * while the others ask for almost nothing.
 */
import type { Capacity } from '@vanillathread/model'
import type { PoolLoad } from './PoolLoad.js'

/** A machine as capacity planning sees it. @public */
export interface PlannedMachine {
  readonly id: string
  /** Pool that it serves, or will once its move is over. */
  readonly pool: string
  readonly capacity: Capacity
  /** Up, without runs, and free of other plans. */
  readonly movable: boolean
  /** Up, and empty within moments if nothing more is placed on it: it runs only tasks of limited duration. */
  readonly drainable: boolean
  /** Processor in use, in thousandths of a core. */
  readonly usedCpuMillis: number
}

/** A pool as capacity planning sees it. @public */
export interface PlannedPool {
  readonly demand: PoolLoad
  readonly standby: boolean
}

/** Options of {@link CapacityPlanner.create}. @public */
export interface CapacityPlannerOptions {
  /** Time that a move takes; demand is foreseen this far. */
  readonly moveMs: number
  /** Time for which a pool's highest target counts, so that a machine is not sent away between two turns of load. */
  readonly keepMs: number
  /** Machines that a pool keeps without any demand. */
  readonly spareMachines: number
}

/** A move. @public */
export interface PlannedMove {
  readonly machine: string
  readonly fromPool: string
  readonly toPool: string
  readonly reason: string
}

/** Share of a machine's processor that placing can fill, as tasks do not divide it evenly. */
const FILL_SHARE = 0.9

/** Share of the rise foreseen from the trend that is trusted. */
const TREND_TRUST = 0.7

interface PoolBalance {
  readonly pool: string
  readonly machines: PlannedMachine[]
  /** Machines that the demand of this moment takes, without jobs that can only be late. */
  readonly wanted: number
  /** Highest recent value of it; idle machines above it may go to another pool. */
  readonly kept: number
  /** Same with the late jobs. */
  readonly wantedWithLate: number
  readonly keptWithLate: number
}

interface Target {
  readonly atMs: number
  readonly wanted: number
  readonly withLate: number
}

/** Plans moves. Late jobs earn a fraction of what jobs in time do, so they get the machines that those leave. @public */
export class CapacityPlanner {
  private readonly targets = new Map<string, Target[]>()

  private constructor (private readonly options: CapacityPlannerOptions) {}

  static create (options: CapacityPlannerOptions): CapacityPlanner {
    return new CapacityPlanner(options)
  }

  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[]): PlannedMove[] {
    const standby = pools.find((pool) => pool.standby)?.demand.pool
    const balances = pools.filter((pool) => !pool.standby).map((pool) => this.balance(nowMs, pool, machines))
    const reserve = machines.filter((machine) => machine.pool === standby && machine.movable)
    const moves = coverDeficits(balances, reserve)
    if (moves.length < countMissing(balances)) moves.push(...shareOut(balances, moves))
    else moves.push(...coverLate(balances, reserve, moves))
    if (standby !== undefined) moves.push(...returnSurplus(balances, standby, new Set(moves.map((move) => move.machine))))
    return moves
  }

  private balance (nowMs: number, { demand }: PlannedPool, machines: readonly PlannedMachine[]): PoolBalance {
    const own = machines.filter((machine) => machine.pool === demand.pool)
    const sized = own.length > 0 ? own : machines
    const wanted = countMachines(demand, sized, this.options)
    const { busyCpuMillis, lateCpuMillis, memoryMb, lateMemoryMb } = demand
    const withLate = countMachines({ ...demand, busyCpuMillis: busyCpuMillis + lateCpuMillis, memoryMb: memoryMb + lateMemoryMb }, sized, this.options)
    const history = (this.targets.get(demand.pool) ?? []).filter((entry) => nowMs - entry.atMs <= this.options.keepMs)
    history.push({ atMs: nowMs, wanted, withLate })
    this.targets.set(demand.pool, history)
    return {
      pool: demand.pool,
      machines: own,
      wanted,
      kept: Math.max(...history.map((entry) => entry.wanted)),
      wantedWithLate: withLate,
      keptWithLate: Math.max(...history.map((entry) => entry.withLate)),
    }
  }
}

/** Machines that a pool's demand takes, now or by the time that a move would end. */
function countMachines (demand: PoolLoad, machines: readonly PlannedMachine[], options: CapacityPlannerOptions): number {
  if (machines.length === 0) return 0
  const cpuMillis = machines.reduce((sum, machine) => sum + machine.capacity.cpuMillis, 0) / machines.length
  const memoryMb = machines.reduce((sum, machine) => sum + machine.capacity.memoryMb, 0) / machines.length
  const foreseen = demand.arrivingCpuMillis + Math.max(0, demand.trendCpuMillisPerSecond) * TREND_TRUST * options.moveMs / 1_000
  const byCpu = (Math.max(demand.busyCpuMillis, foreseen) + demand.lastingCpuMillis) / (cpuMillis * FILL_SHARE)
  const byMemory = demand.memoryMb / (memoryMb * FILL_SHARE)
  return Math.max(Math.ceil(Math.max(byCpu, byMemory)), demand.fewestVms, options.spareMachines)
}

/** Gives each pool in need machines of others that need them less, then standby machines, the largest need first. */
function coverDeficits (balances: readonly PoolBalance[], reserve: PlannedMachine[]): PlannedMove[] {
  const surplus = balances.flatMap((balance) => listSurplus(balance, balance.kept))
  // Machines that late jobs would use go last.
  const [idle, wantedByLate] = splitBy(surplus, new Set(balances.flatMap((balance) => listSurplus(balance, balance.keptWithLate)).map(({ id }) => id)))
  const sources = [...idle, ...reserve, ...wantedByLate]
  const needs = balances.map(({ pool, wanted, machines: { length } }) => ({ pool, missing: wanted - length, reason: `wants ${wanted}, has ${length}` }))
  return assign(needs.sort((a, b) => b.missing - a.missing), sources)
}

interface Need {
  readonly pool: string
  readonly missing: number
  readonly reason: string
}

/** Gives each pool in turn the machines that it misses, as long as there are any. */
function assign (needs: readonly Need[], machines: readonly PlannedMachine[]): PlannedMove[] {
  const left = [...machines]
  return needs.flatMap(({ pool, missing, reason }) =>
    left.splice(0, Math.max(0, missing)).map((machine) => ({ machine: machine.id, fromPool: machine.pool, toPool: pool, reason })))
}

function splitBy (machines: readonly PlannedMachine[], ids: ReadonlySet<string>): [PlannedMachine[], PlannedMachine[]] {
  return [machines.filter(({ id }) => ids.has(id)), machines.filter(({ id }) => !ids.has(id))]
}

/** Gives what is left to pools whose late jobs want more. */
function coverLate (balances: readonly PoolBalance[], reserve: readonly PlannedMachine[], moves: readonly PlannedMove[]): PlannedMove[] {
  const taken = new Set(moves.map((move) => move.machine))
  const gained = (pool: string): number => moves.filter((move) => move.toPool === pool).length
  const sources = [...balances.flatMap((balance) => listSurplus(balance, balance.keptWithLate)), ...reserve].filter(({ id }) => !taken.has(id))
  const sorted = [...balances].sort((a, b) => (b.wantedWithLate - b.machines.length) - (a.wantedWithLate - a.machines.length))
  const needs = sorted.map(({ pool, wantedWithLate, machines: { length } }) =>
    ({ pool, missing: wantedWithLate - length - gained(pool), reason: `wants ${wantedWithLate} with late jobs, has ${length}` }))
  return assign(needs, sources)
}

function countMissing (balances: readonly PoolBalance[]): number {
  return balances.reduce((sum, balance) => sum + Math.max(0, balance.wanted - balance.machines.length), 0)
}

/**
 * Where pools together want more than there is, each is due a share in proportion to what it wants. A pool above its share
 * gives machines to one below: the least used first, which take no new tasks and move once they are empty.
 */
function shareOut (balances: readonly PoolBalance[], moves: readonly PlannedMove[]): PlannedMove[] {
  const taken = new Set(moves.map((move) => move.machine))
  const gained = (pool: string): number => moves.filter((move) => move.toPool === pool).length
  const total = balances.reduce((sum, balance) => sum + balance.machines.length, 0)
  const wanted = balances.reduce((sum, balance) => sum + balance.wanted, 0)
  const due = (balance: PoolBalance): number => Math.min(balance.wanted, Math.max(1, Math.floor(total * balance.wanted / wanted)))
  const givers = balances.flatMap((balance) => balance.machines
    .filter((machine) => machine.drainable && !taken.has(machine.id))
    .sort((a, b) => a.usedCpuMillis - b.usedCpuMillis)
    .slice(0, Math.max(0, balance.machines.length - due(balance))))
  const shared: PlannedMove[] = []
  for (const balance of balances) {
    const missing = due(balance) - balance.machines.length - gained(balance.pool)
    for (const machine of givers.filter((each) => each.pool !== balance.pool).slice(0, Math.max(0, missing))) {
      givers.splice(givers.indexOf(machine), 1)
      shared.push({ machine: machine.id, fromPool: machine.pool, toPool: balance.pool, reason: `due ${due(balance)}, has ${balance.machines.length}` })
    }
  }
  return shared
}

function returnSurplus (balances: readonly PoolBalance[], standby: string, taken: ReadonlySet<string>): PlannedMove[] {
  return balances.flatMap((balance) => listSurplus(balance, balance.keptWithLate)
    .filter((machine) => !taken.has(machine.id))
    .map((machine) => ({ machine: machine.id, fromPool: balance.pool, toPool: standby, reason: `keeps ${balance.keptWithLate}, has ${balance.machines.length}` })))
}

/** Idle machines of a pool above a number that it keeps. */
function listSurplus (balance: PoolBalance, kept: number): PlannedMachine[] {
  const excess = balance.machines.length - kept
  return excess <= 0 ? [] : balance.machines.filter((machine) => machine.movable).slice(0, excess)
}
