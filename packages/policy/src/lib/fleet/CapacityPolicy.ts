/**
 * Decides which pool each VM of a spare pool serves.
 *
 * A move takes a drain, so a VM that follows a burst of seconds arrives when it is over. A VM is lent only
 * where the deficit is expected to outlast the move by more than the move is worth, and it stays where
 * it is until another pool's deficit is.
 */
import { DeficitDurations } from './DeficitDurations.js'

/** One pool as it is now. @public */
export interface PoolDemand {
  readonly poolId: string
  /** Demand in VMs: slots wanted, divided by the slots of one VM. */
  readonly demandVms: number
  /** VMs that serve the pool, lent ones included. */
  readonly members: number
  /** VMs on their way to the pool. */
  readonly incoming: number
  /** Fewest VMs that must stay available. */
  readonly minAvailable: number
}

/** A VM that may be lent. @public */
export interface LendableVm {
  readonly vmId: string
  /** Pool that it serves. */
  readonly pool: string
  /** Spare pool that it belongs to. */
  readonly home: string
}

/** Weights of the two costs, from the rules. @public */
export interface CapacityWeights {
  readonly bufferCost: number
  readonly moves: number
}

/** A VM that should serve another pool. @public */
export interface LoanDecision {
  readonly vmId: string
  readonly pool: string
}

/** Options of {@link CapacityPolicy.create}. @public */
export interface CapacityPolicyOptions {
  readonly weights: CapacityWeights
  /** Time for which a moving VM serves nobody. */
  readonly moveMs: number
}

/** Expected use that a move must bring where moves weigh nothing. */
const MIN_USE_MS = 2_000
/** Further use that a move must bring where only moves weigh. */
const MOVE_WORTH_MS = 30_000

/** Learns deficits and lends spare VMs. @public */
export class CapacityPolicy {
  private readonly durations = DeficitDurations.create()

  private constructor (private readonly options: CapacityPolicyOptions) {}

  static create (options: CapacityPolicyOptions): CapacityPolicy {
    return new CapacityPolicy(options)
  }

  /** Takes in the demand of all pools. */
  observe (demands: readonly PoolDemand[], nowMs: number): void {
    for (const demand of demands) this.durations.observe(demand.poolId, getDeficit(demand) > 0, nowMs)
  }

  /** Returns at most one loan to change, so that each change is seen before the next. */
  decide (demands: readonly PoolDemand[], vms: readonly LendableVm[], nowMs: number): LoanDecision | undefined {
    const target = this.findTarget(demands, nowMs)
    if (target === undefined) return undefined
    const donor = findDonor(vms, demands, target.poolId)
    return donor === undefined ? undefined : { vmId: donor.vmId, pool: target.poolId }
  }

  /** Finds the pool with the largest deficit that VMs on their way do not cover and that will last. */
  private findTarget (demands: readonly PoolDemand[], nowMs: number): PoolDemand | undefined {
    const lacking = demands.filter((demand) => getDeficit(demand) - demand.incoming >= 1 && this.isWorthMoving(demand.poolId, nowMs))
    return lacking.sort((a, b) => getDeficit(b) - getDeficit(a) || a.poolId.localeCompare(b.poolId))[0]
  }

  private isWorthMoving (poolId: string, nowMs: number): boolean {
    const { weights, moveMs } = this.options
    const total = weights.moves + weights.bufferCost
    const share = total > 0 ? weights.moves / total : 0
    return this.durations.getExpectedUseMs(poolId, moveMs, nowMs) >= MIN_USE_MS + MOVE_WORTH_MS * share
  }
}

/** Returns the VMs that the pool lacks. */
function getDeficit (demand: PoolDemand): number {
  return demand.demandVms - demand.members
}

/** Finds a lendable VM in the pool with the largest surplus whose budget holds without it. */
function findDonor (vms: readonly LendableVm[], demands: readonly PoolDemand[], target: string): LendableVm | undefined {
  const surpluses = new Map(demands.map((demand) => [demand.poolId, getSurplus(demand)]))
  const donors = vms.filter((vm) => vm.pool !== target && (surpluses.get(vm.pool) ?? 0) >= 1)
  return donors.sort((a, b) => (surpluses.get(b.pool) ?? 0) - (surpluses.get(a.pool) ?? 0) || a.vmId.localeCompare(b.vmId))[0]
}

/** Returns the VMs that a pool could give away. */
function getSurplus (demand: PoolDemand): number {
  return Math.min(-getDeficit(demand), demand.members - demand.minAvailable)
}
