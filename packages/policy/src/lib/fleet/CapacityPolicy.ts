/**
 * Decides which pool each VM of a spare pool serves.
 *
 * A VM is drained before it moves, so it would arrive after a burst of a few seconds has ended. A VM is
 * lent only if the deficit is expected to outlast the move by a minimum time, which grows with the weight
 * of moves. The VM then stays in that pool until the deficit of another pool meets the same condition.
 */
import { DeficitDurations } from './DeficitDurations.js'

/** One pool as it is now. @public */
export interface PoolDemand {
  readonly poolId: string
  /** Demand in VMs: requested slots divided by the slots of one VM. */
  readonly demandVms: number
  /** Number of VMs that serve the pool, including lent ones. */
  readonly members: number
  /** Number of VMs that are moving to the pool. */
  readonly incoming: number
  /** Minimum number of VMs that must stay available. */
  readonly minAvailable: number
}

/** A VM that may be lent. @public */
export interface LendableVm {
  readonly vmId: string
  /** Pool that the VM serves now. */
  readonly pool: string
  /** Spare pool that the VM belongs to. */
  readonly home: string
}

/** Weights of the two costs, from the rules. Only the share of each in their sum matters. @public */
export interface CapacityWeights {
  /** Weight of spare VMs that serve no pool. */
  readonly bufferCost: number
  /** Weight of moves of VMs between pools. */
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
  /** Time for which a moving VM serves no pool. */
  readonly moveMs: number
}

/** Minimum expected use after a move if the weight of moves is 0. */
const MIN_USE_MS = 2_000
/** Additional expected use that is required if only moves have a weight. It scales with their share of the weights. */
const MAX_EXTRA_USE_MS = 30_000

/** Records the deficits of pools and decides which spare VMs to lend. @public */
export class CapacityPolicy {
  private readonly durations = DeficitDurations.create()

  private constructor (private readonly options: CapacityPolicyOptions) {}

  static create (options: CapacityPolicyOptions): CapacityPolicy {
    return new CapacityPolicy(options)
  }

  /** Records which pools have a deficit now. */
  recordDeficits (demands: readonly PoolDemand[], nowMs: number): void {
    for (const demand of demands) this.durations.record(demand.poolId, getDeficit(demand) > 0, nowMs)
  }

  /** Returns at most one change of a loan, so that the next decision already sees its effect. */
  decide (demands: readonly PoolDemand[], vms: readonly LendableVm[], nowMs: number): LoanDecision | undefined {
    const target = this.findTarget(demands, nowMs)
    if (target === undefined) return undefined
    const donor = findDonor(vms, demands, target.poolId)
    return donor === undefined ? undefined : { vmId: donor.vmId, pool: target.poolId }
  }

  /**
   * Finds the pool with the largest deficit among those that lack at least one VM beyond the incoming ones and whose deficit
   * is expected to last long enough for a move.
   */
  private findTarget (demands: readonly PoolDemand[], nowMs: number): PoolDemand | undefined {
    const lacking = demands.filter((demand) => getDeficit(demand) - demand.incoming >= 1 && this.isWorthMoving(demand.poolId, nowMs))
    return lacking.sort((a, b) => getDeficit(b) - getDeficit(a) || a.poolId.localeCompare(b.poolId))[0]
  }

  private isWorthMoving (poolId: string, nowMs: number): boolean {
    const { weights, moveMs } = this.options
    const total = weights.moves + weights.bufferCost
    const share = total > 0 ? weights.moves / total : 0
    return this.durations.getExpectedUseMs(poolId, moveMs, nowMs) >= MIN_USE_MS + MAX_EXTRA_USE_MS * share
  }
}

/** Returns the number of VMs that the pool lacks. It is negative if the pool has more than it needs. */
function getDeficit (demand: PoolDemand): number {
  return demand.demandVms - demand.members
}

/** Finds a lendable VM in the pool with the largest surplus, which must be at least one VM. */
function findDonor (vms: readonly LendableVm[], demands: readonly PoolDemand[], target: string): LendableVm | undefined {
  const surpluses = new Map(demands.map((demand) => [demand.poolId, getSurplus(demand)]))
  const donors = vms.filter((vm) => vm.pool !== target && (surpluses.get(vm.pool) ?? 0) >= 1)
  return donors.sort((a, b) => (surpluses.get(b.pool) ?? 0) - (surpluses.get(a.pool) ?? 0) || a.vmId.localeCompare(b.vmId))[0]
}

/** Returns the number of VMs that a pool can give up without a deficit and within its budget. */
function getSurplus (demand: PoolDemand): number {
  return Math.min(-getDeficit(demand), demand.members - demand.minAvailable)
}
