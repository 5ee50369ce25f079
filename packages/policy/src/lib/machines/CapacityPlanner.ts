/**
 * Plans moves of machines to pools with demand, and to the standby pool if no other pool needs them.
 *
 * This handles demand that moves from queue to queue. For some seconds, one queue needs several times its mean, which is more
 * than its pool holds, while the others need almost nothing.
 */
import type { Capacity } from '@vanillathread/model'
import type { PoolCapacityDemand } from './PoolCapacityDemand.js'

/** A machine as capacity planning sees it. @public */
export interface PlannedMachine {
  readonly id: string
  /** Pool that it serves, or will serve once its move has ended. */
  readonly pool: string
  readonly capacity: Capacity
  /** True if the machine can be moved now: it has no runs, and is neither being moved nor maintained. */
  readonly movable: boolean
  /** True if the machine is up and runs only finite tasks, so that it is soon empty if no more are placed on it. */
  readonly drainable: boolean
  /** Processor in use, in thousandths of a core. */
  readonly usedCpuMillis: number
}

/** A pool as capacity planning sees it. @public */
export interface PlannedPool {
  readonly demand: PoolCapacityDemand
  readonly standby: boolean
  /** Processor that an expected turn will need, in thousandths of a core; 0 if absent. No busy machine is moved for it. */
  readonly expectedCpuMillis?: number
  /** True if another pool's turn is about to begin, so that idle machines are not kept. */
  readonly isEnding?: boolean
}

/** Options of {@link CapacityPlanner.create}. @public */
export interface CapacityPlannerOptions {
  /** Time that a move takes; demand is predicted this far ahead. */
  readonly moveMs: number
  /**
   * Time for which a pool keeps the highest number of machines that it needed, so that none is moved away between two
   * periods of high demand.
   */
  readonly keepMs: number
  /** Number of machines that a pool keeps even without demand. */
  readonly spareMachines: number
}

/** A move of one machine to another pool. @public */
export interface PlannedMove {
  readonly machine: string
  readonly fromPool: string
  readonly toPool: string
  readonly reason: string
}

/** Share of a machine's capacity that placement can fill, as the needs of tasks do not divide it evenly. */
const PACKING_SHARE = 0.9

/** Share of the predicted rise in demand that is counted. */
const TREND_WEIGHT = 1

/** The machines of one pool and the numbers of machines that it needs. */
interface PoolBalance {
  readonly pool: string
  readonly machines: PlannedMachine[]
  /** Number of machines that the demand needs now or when a move would end, without jobs that can only end late. */
  readonly needed: number
  /** Same as `needed`, with the turn that is expected. */
  readonly neededSoon: number
  /** Highest value of `needed` within `keepMs`. Idle machines in excess of it may go to a pool that lacks machines. */
  readonly recentPeak: number
  /** Same as `needed`, with the late jobs. */
  readonly neededWithLate: number
  /** Same as `recentPeak`, with the late jobs. */
  readonly recentPeakWithLate: number
  /** Same, also if the pool's turn is ending. Idle machines in excess of it return to standby. */
  readonly keptPeak: number
}

/** Numbers of machines that a pool needed at one time. */
interface MachineNeedSample {
  readonly atMs: number
  readonly needed: number
  readonly neededWithLate: number
}

/**
 * Plans moves of machines. Late jobs earn a fraction of what jobs in time earn, so late jobs only get machines that jobs in
 * time do not need.
 * @public
 */
export class CapacityPlanner {
  /** Needs of each pool within the last `keepMs`, by pool. */
  private readonly needHistory = new Map<string, MachineNeedSample[]>()

  private constructor (private readonly options: CapacityPlannerOptions) {}

  static create (options: CapacityPlannerOptions): CapacityPlanner {
    return new CapacityPlanner(options)
  }

  /** Returns the moves to order now. If `keepsIdle`, none goes to the standby pool. */
  plan (nowMs: number, pools: readonly PlannedPool[], machines: readonly PlannedMachine[], keepsIdle = false): PlannedMove[] {
    const standbyPool = pools.find((pool) => pool.standby)?.demand.pool
    const balances = pools.filter((pool) => !pool.standby).map((pool) => this.computeBalance(nowMs, pool, machines))
    const standbyMachines = machines.filter((machine) => machine.pool === standbyPool && machine.movable)
    const moves = coverDeficits(balances, standbyMachines)
    if (moves.length < countDeficit(balances)) moves.push(...distributeProportionally(balances, moves))
    else moves.push(...coverLate(balances, standbyMachines, moves))
    if (standbyPool !== undefined && !keepsIdle) moves.push(...returnSurplus(balances, standbyPool, new Set(moves.map((move) => move.machine))))
    return moves
  }

  private computeBalance (nowMs: number, { demand, expectedCpuMillis = 0, isEnding = false }: PlannedPool, machines: readonly PlannedMachine[]): PoolBalance {
    const own = machines.filter((machine) => machine.pool === demand.pool)
    const sampleMachines = own.length > 0 ? own : machines
    const needed = countMachines(demand, sampleMachines, this.options)
    const neededSoon = countMachines({ ...demand, arrivingCpuMillis: Math.max(demand.arrivingCpuMillis, expectedCpuMillis) }, sampleMachines, this.options)
    const { busyCpuMillis, lateCpuMillis, memoryMb, lateMemoryMb } = demand
    const neededWithLate = countMachines({ ...demand, busyCpuMillis: busyCpuMillis + lateCpuMillis, memoryMb: memoryMb + lateMemoryMb }, sampleMachines, this.options)
    const history = (this.needHistory.get(demand.pool) ?? []).filter((entry) => nowMs - entry.atMs <= this.options.keepMs)
    history.push({ atMs: nowMs, needed, neededWithLate })
    this.needHistory.set(demand.pool, history)
    const kept = isEnding ? history.slice(-1) : history
    return {
      pool: demand.pool,
      machines: own,
      needed,
      neededSoon,
      recentPeak: Math.max(neededSoon, ...kept.map((entry) => entry.needed)),
      neededWithLate,
      recentPeakWithLate: Math.max(neededSoon, ...kept.map((entry) => entry.neededWithLate)),
      keptPeak: Math.max(neededSoon, ...history.map((entry) => entry.neededWithLate)),
    }
  }
}

/** Returns the number of machines that a pool's demand needs, now or by the time at which a move that begins now would end. */
function countMachines (demand: PoolCapacityDemand, machines: readonly PlannedMachine[], options: CapacityPlannerOptions): number {
  if (machines.length === 0) return 0
  const cpuMillis = machines.reduce((sum, machine) => sum + machine.capacity.cpuMillis, 0) / machines.length
  const memoryMb = machines.reduce((sum, machine) => sum + machine.capacity.memoryMb, 0) / machines.length
  const predictedCpuMillis = demand.arrivingCpuMillis + Math.max(0, demand.trendCpuMillisPerSecond) * TREND_WEIGHT * options.moveMs / 1_000
  const byCpu = (Math.max(demand.busyCpuMillis, predictedCpuMillis) + demand.longRunningCpuMillis) / (cpuMillis * PACKING_SHARE)
  const byMemory = demand.memoryMb / (memoryMb * PACKING_SHARE)
  return Math.max(Math.ceil(Math.max(byCpu, byMemory)), demand.minVms, options.spareMachines)
}

/**
 * Gives machines to the pools that lack some, the largest deficit first: idle machines of other pools, then standby machines,
 * then idle machines that their pools could use for late jobs.
 */
function coverDeficits (balances: readonly PoolBalance[], standbyMachines: PlannedMachine[]): PlannedMove[] {
  const surplus = balances.flatMap((balance) => listSurplus(balance, balance.recentPeak))
  // Idle machines that late jobs could use are taken last.
  const [idle, usableByLate] = partitionById(surplus, new Set(balances.flatMap((balance) => listSurplus(balance, balance.recentPeakWithLate)).map(({ id }) => id)))
  const sources = [...idle, ...standbyMachines, ...usableByLate]
  const needs = balances.map(({ pool, needed, machines: { length } }) => ({ pool, missing: needed - length, reason: `needs ${needed}, has ${length}` }))
  const expected = balances.map(({ pool, needed, neededSoon, machines: { length } }) =>
    ({ pool, missing: neededSoon - Math.max(needed, length), reason: `expects to need ${neededSoon}, has ${length}` }))
  return assignMachines([...needs.sort((a, b) => b.missing - a.missing), ...expected], sources)
}

/** Machines that a pool lacks, and the reason that is logged with each move to it. */
interface Need {
  readonly pool: string
  readonly missing: number
  readonly reason: string
}

/** Gives each pool in turn the machines that it lacks, as long as there are any left. */
function assignMachines (needs: readonly Need[], machines: readonly PlannedMachine[]): PlannedMove[] {
  const left = [...machines]
  return needs.flatMap(({ pool, missing, reason }) =>
    left.splice(0, Math.max(0, missing)).map((machine) => ({ machine: machine.id, fromPool: machine.pool, toPool: pool, reason })))
}

/** Returns the machines with one of the ids, and the others. */
function partitionById (machines: readonly PlannedMachine[], ids: ReadonlySet<string>): [PlannedMachine[], PlannedMachine[]] {
  return [machines.filter(({ id }) => ids.has(id)), machines.filter(({ id }) => !ids.has(id))]
}

/** Gives the remaining idle and standby machines to pools that need more machines for late jobs. */
function coverLate (balances: readonly PoolBalance[], standbyMachines: readonly PlannedMachine[], moves: readonly PlannedMove[]): PlannedMove[] {
  const taken = new Set(moves.map((move) => move.machine))
  const gained = (pool: string): number => moves.filter((move) => move.toPool === pool).length
  const sources = [...balances.flatMap((balance) => listSurplus(balance, balance.recentPeakWithLate)), ...standbyMachines].filter(({ id }) => !taken.has(id))
  const sorted = [...balances].sort((a, b) => (b.neededWithLate - b.machines.length) - (a.neededWithLate - a.machines.length))
  const needs = sorted.map(({ pool, neededWithLate, machines: { length } }) =>
    ({ pool, missing: neededWithLate - length - gained(pool), reason: `needs ${neededWithLate} with late jobs, has ${length}` }))
  return assignMachines(needs, sources)
}

/** Returns the number of machines that all pools together lack, without late jobs. */
function countDeficit (balances: readonly PoolBalance[]): number {
  return balances.reduce((sum, balance) => sum + Math.max(0, balance.needed - balance.machines.length), 0)
}

/**
 * Moves machines from pools with more than their fair share to pools with less. If all pools together need more machines than
 * there are, the fair share of a pool is proportional to its need. The least used machines are moved first; they get no new
 * tasks, and move once they are empty.
 */
function distributeProportionally (balances: readonly PoolBalance[], moves: readonly PlannedMove[]): PlannedMove[] {
  const taken = new Set(moves.map((move) => move.machine))
  const gained = (pool: string): number => moves.filter((move) => move.toPool === pool).length
  const total = balances.reduce((sum, balance) => sum + balance.machines.length, 0)
  const needed = balances.reduce((sum, balance) => sum + balance.needed, 0)
  const getFairShare = (balance: PoolBalance): number => Math.min(balance.needed, Math.max(1, Math.floor(total * balance.needed / needed)))
  const donors = balances.flatMap((balance) => balance.machines
    .filter((machine) => machine.drainable && !taken.has(machine.id))
    .sort((a, b) => a.usedCpuMillis - b.usedCpuMillis)
    .slice(0, Math.max(0, balance.machines.length - getFairShare(balance))))
  const shared: PlannedMove[] = []
  for (const balance of balances) {
    const missing = getFairShare(balance) - balance.machines.length - gained(balance.pool)
    for (const machine of donors.filter((each) => each.pool !== balance.pool).slice(0, Math.max(0, missing))) {
      donors.splice(donors.indexOf(machine), 1)
      shared.push({ machine: machine.id, fromPool: machine.pool, toPool: balance.pool, reason: `is due a share of ${getFairShare(balance)}, has ${balance.machines.length}` })
    }
  }
  return shared
}

/** Moves idle machines that neither jobs in time nor late jobs need to the standby pool. */
function returnSurplus (balances: readonly PoolBalance[], standbyPool: string, taken: ReadonlySet<string>): PlannedMove[] {
  return balances.flatMap((balance) => listSurplus(balance, balance.keptPeak)
    .filter((machine) => !taken.has(machine.id))
    .map((machine) => ({ machine: machine.id, fromPool: balance.pool, toPool: standbyPool, reason: `keeps ${balance.keptPeak}, has ${balance.machines.length}` })))
}

/** Returns idle machines of a pool in excess of the number that it keeps. */
function listSurplus (balance: PoolBalance, keptCount: number): PlannedMachine[] {
  const excess = balance.machines.length - keptCount
  return excess <= 0 ? [] : balance.machines.filter((machine) => machine.movable).slice(0, excess)
}
