/**
 * Demand traces and loan policies for the capacity bench.
 */
import { CapacityPolicy, type CapacityWeights, type LendableVm, type LoanDecision, type PoolDemand, type RandomSource } from '@vanillathread/policy'

/** A pool in a trace. */
export interface TracePool {
  readonly id: string
  /** Number of VMs whose home is the pool. */
  readonly vms: number
  readonly minAvailable: number
  /** True if the VMs of the pool may be lent to other pools. */
  readonly spare: boolean
}

/** Decides which VM is lent or returned next, if any. */
export interface LoanPolicy {
  decide (demands: readonly PoolDemand[], vms: readonly LendableVm[], nowMs: number): LoanDecision | undefined
}

/** Lends nothing. */
export class NoLoanPolicy implements LoanPolicy {
  decide (): undefined {
    return undefined
  }
}

/** Lends an idle VM to the pool with the largest current deficit. If there is no such loan, returns an idle VM to its home pool. */
export class GreedyLoanPolicy implements LoanPolicy {
  decide (demands: readonly PoolDemand[], vms: readonly LendableVm[]): LoanDecision | undefined {
    const deficits = demands.map((demand) => ({ demand, deficit: demand.demandVms - demand.members })).sort((a, b) => b.deficit - a.deficit)
    const [largest] = deficits
    if (largest !== undefined && largest.deficit > 0) {
      const vm = vms.find((candidate) => candidate.pool !== largest.demand.poolId && this.isIdle(candidate, demands))
      if (vm !== undefined) return { vmId: vm.vmId, pool: largest.demand.poolId }
    }
    const idle = vms.find((vm) => vm.pool !== vm.home && this.isIdle(vm, demands))
    return idle === undefined ? undefined : { vmId: idle.vmId, pool: idle.home }
  }

  private isIdle (vm: LendableVm, demands: readonly PoolDemand[]): boolean {
    const pool = demands.find((demand) => demand.poolId === vm.pool)
    return pool !== undefined && pool.demandVms <= pool.members - 1 && pool.members - 1 >= pool.minAvailable
  }
}

/** The loan policy that the daemons use. */
export class DaemonLoanPolicy implements LoanPolicy {
  private readonly policy: CapacityPolicy

  constructor (options: { weights: CapacityWeights, moveMs: number }) {
    this.policy = CapacityPolicy.create(options)
  }

  decide (demands: readonly PoolDemand[], vms: readonly LendableVm[], nowMs: number): LoanDecision | undefined {
    this.policy.recordDeficits(demands, nowMs)
    return this.policy.decide(demands, vms, nowMs)
  }
}

/** Costs of one run of a trace. */
export interface TraceCost {
  /** Mean number of VMs that serve no demand, VMs that are moving included. */
  readonly bufferCostVms: number
  /** Number of VMs lent and returned. */
  readonly moves: number
  /** Demand for which there was no VM, as a share of all demand. */
  readonly unmetShare: number
}

/** Options of {@link runTrace}. */
export interface TraceOptions {
  readonly pools: readonly TracePool[]
  readonly random: RandomSource
  readonly durationMs: number
  /** Durations of the shortest and the longest burst. */
  readonly burstMs: readonly [number, number]
  /** Time during which a VM that is moving serves no demand. */
  readonly moveMs: number
}

/** Simulated time per step; a policy may move one VM in each step. */
const STEP_MS = 1_000
/** Demand as a multiple of the mean, for the pool that has the burst and for the others meanwhile. */
const BURST_FACTOR = 5
const QUIET_FACTOR = 0.05
/** Mean demand as a share of the pool's VMs. */
const MEAN_LOAD_SHARE = 0.4
/** Width of the range in which the demand varies at random, as a share of it. */
const DEMAND_NOISE = 0.2

interface SimulatedVm {
  readonly vmId: string
  readonly home: string
  pool: string
  movingUntilMs: number
}

/** Runs a policy over generated demand. The pools have bursts in turn; while one has a burst, the demand of the others is low. */
export function runTrace (policy: LoanPolicy, options: TraceOptions): TraceCost {
  const { pools, random } = options
  const vms = pools.flatMap((pool) => Array.from({ length: pool.vms }, (_, index): SimulatedVm => ({ vmId: `${pool.id}-${index}`, home: pool.id, pool: pool.id, movingUntilMs: 0 })))
  const lendable = vms.filter((vm) => pools.some((pool) => pool.id === vm.home && pool.spare))
  const totals = { idle: 0, moves: 0, unmet: 0, demand: 0, steps: 0 }
  let burstCount = 0
  let burstEndMs = 0
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += STEP_MS) {
    if (nowMs >= burstEndMs) {
      burstCount += 1
      burstEndMs = nowMs + options.burstMs[0] + random.nextFloat() * (options.burstMs[1] - options.burstMs[0])
    }
    const demands = pools.map((pool, index) => describePool(pool, vms, getDemand(pool, index === burstCount % pools.length, random), nowMs))
    for (const { demandVms, members } of demands) {
      totals.demand += demandVms
      totals.unmet += Math.max(0, demandVms - members)
      totals.idle += Math.max(0, members - demandVms)
    }
    totals.idle += vms.filter((vm) => vm.movingUntilMs > nowMs).length
    totals.steps += 1
    const movable = lendable.filter((vm) => vm.movingUntilMs <= nowMs)
    const decision = policy.decide(demands, movable, nowMs)
    const vm = vms.find((candidate) => candidate.vmId === decision?.vmId)
    if (decision === undefined || vm === undefined) continue
    vm.pool = decision.pool
    vm.movingUntilMs = nowMs + options.moveMs
    totals.moves += 1
  }
  return { bufferCostVms: totals.idle / totals.steps, moves: totals.moves, unmetShare: totals.unmet / totals.demand }
}

function describePool (pool: TracePool, vms: readonly SimulatedVm[], demandVms: number, nowMs: number): PoolDemand {
  const members = vms.filter((vm) => vm.pool === pool.id && vm.movingUntilMs <= nowMs).length
  const incoming = vms.filter((vm) => vm.pool === pool.id && vm.movingUntilMs > nowMs).length
  return { poolId: pool.id, demandVms, members, incoming, minAvailable: pool.minAvailable }
}

function getDemand (pool: TracePool, isBursting: boolean, random: RandomSource): number {
  const mean = pool.vms * MEAN_LOAD_SHARE
  const factor = isBursting ? BURST_FACTOR : QUIET_FACTOR
  return mean * factor * (1 - DEMAND_NOISE / 2 + DEMAND_NOISE * random.nextFloat())
}
