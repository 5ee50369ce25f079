/**
 * Divides one service's slots among its holders, with no more changes than their demand requires.
 */
import type { LendableEndpoint } from './credits.js'
import { shareByDemand } from './shareByDemand.js'
import { sumCounts, addToCount, setCount } from './slotCounts.js'

/** A daemon to which slots are allocated. */
export interface SlotHolder {
  readonly daemonId: string
  readonly zone: string
  /** Number of requests in flight and queued. */
  readonly demand: number
  /** Limits by endpoint id, which the allocation changes in place. */
  readonly limits: Map<string, number>
}

/** The slots to divide. */
export interface SlotSupply {
  readonly endpoints: readonly LendableEndpoint[]
  /** Number of slots that may be lent, whether free or in use. */
  readonly total: number
  /** Slots by endpoint id that no holder may be using. The allocation changes them in place. */
  readonly free: Map<string, number>
  /** Number of slots that holders have not yet returned although their limits were lowered. */
  readonly pendingReturns: number
}

/** Number of slots that each holder should have, by daemon id. */
type Targets = ReadonlyMap<string, number>

/** Part of its target up to which a holder gets slots from others even if its demand is lower, so that a burst need not wait for slots. */
const IDLE_SHARE = 0.5
/** Number of slots that a holder gets on an endpoint of its own availability zone in addition to those that it gets on others. */
const OWN_ZONE_ADVANTAGE_SLOTS = 2

/** Raises limits as far as slots are free, then lowers limits of holders above their target to cover the shortfall of others. */
export function allocateSlots (holders: readonly SlotHolder[], supply: SlotSupply): void {
  const targets = shareByDemand(supply.total, holders)
  raiseLimits(holders, targets, supply)
  reclaimForShortfalls(holders, targets, supply)
}

/** Gives free slots, one at a time, to holders below their target. Holders with a shortfall come first. */
function raiseLimits (holders: readonly SlotHolder[], targets: Targets, { endpoints, free }: SlotSupply): void {
  for (;;) {
    const holder = findNextRecipient(holders, targets)
    if (holder === undefined) return
    const endpoint = chooseEndpoint(holder, endpoints, free)
    if (endpoint === undefined) return
    addToCount(free, endpoint.endpointId, -1)
    addToCount(holder.limits, endpoint.endpointId, 1)
  }
}

function findNextRecipient (holders: readonly SlotHolder[], targets: Targets): SlotHolder | undefined {
  const below = holders.filter((holder) => sumCounts(holder.limits) < getTarget(holder, targets))
  return findLowest(below, (holder) => [getShortfall(holder, targets) > 0 ? 0 : 1, sumCounts(holder.limits)])
}

/** Chooses an endpoint with a free slot so that a holder's slots are spread evenly, with more in its own availability zone. */
function chooseEndpoint (holder: SlotHolder, endpoints: readonly LendableEndpoint[], free: ReadonlyMap<string, number>): LendableEndpoint | undefined {
  const usable = endpoints.filter(({ endpointId }) => (free.get(endpointId) ?? 0) > 0)
  return findLowest(usable, (endpoint) => [getZoneAdjustedLimit(holder, endpoint), -(free.get(endpoint.endpointId) ?? 0)])
}

/** Lowers limits of holders above their target by the total shortfall, less the slots whose return is pending. */
function reclaimForShortfalls (holders: readonly SlotHolder[], targets: Targets, supply: SlotSupply): void {
  let slotsToReclaim = holders.reduce((sum, holder) => sum + getShortfall(holder, targets), 0) - supply.pendingReturns
  for (; slotsToReclaim > 0; slotsToReclaim--) {
    const donor = findDonor(holders, targets)
    if (donor === undefined) return
    lowerLimitByOne(donor, supply.endpoints)
  }
}

function findDonor (holders: readonly SlotHolder[], targets: Targets): SlotHolder | undefined {
  const above = holders.filter((holder) => sumCounts(holder.limits) > getTarget(holder, targets))
  return findLowest(above, (holder) => [getTarget(holder, targets) - sumCounts(holder.limits)])
}

/** Takes a slot from the endpoint with the holder's highest limit, after the advantage of its own availability zone is subtracted. */
function lowerLimitByOne (holder: SlotHolder, endpoints: readonly LendableEndpoint[]): void {
  const held = endpoints.filter(({ endpointId }) => holder.limits.has(endpointId))
  const endpoint = findLowest(held, (candidate) => [-getZoneAdjustedLimit(holder, candidate)])
  if (endpoint === undefined) return
  setCount(holder.limits, endpoint.endpointId, (holder.limits.get(endpoint.endpointId) ?? 0) - 1)
}

function getTarget (holder: SlotHolder, targets: Targets): number {
  return targets.get(holder.daemonId) ?? 0
}

/** Returns the number of slots that a holder lacks and for which the limits of other holders may be lowered. */
function getShortfall (holder: SlotHolder, targets: Targets): number {
  const target = getTarget(holder, targets)
  const wantedSlots = Math.min(target, Math.max(holder.demand, Math.ceil(target * IDLE_SHARE)))
  return Math.max(0, wantedSlots - sumCounts(holder.limits))
}

function getZoneAdjustedLimit (holder: SlotHolder, endpoint: LendableEndpoint): number {
  const advantage = endpoint.zone === holder.zone ? OWN_ZONE_ADVANTAGE_SLOTS : 0
  return (holder.limits.get(endpoint.endpointId) ?? 0) - advantage
}

/** Returns the first item with the lowest rank. Ranks are compared number by number, the first number first. */
function findLowest<T> (items: readonly T[], getRank: (item: T) => number[]): T | undefined {
  let lowest: T | undefined
  let lowestRank: number[] = []
  for (const item of items) {
    const rank = getRank(item)
    if (lowest !== undefined && compareRanks(rank, lowestRank) >= 0) continue
    lowest = item
    lowestRank = rank
  }
  return lowest
}

function compareRanks (a: readonly number[], b: readonly number[]): number {
  for (let index = 0; index < a.length; index++) {
    const difference = (a[index] ?? 0) - (b[index] ?? 0)
    if (difference !== 0) return difference
  }
  return 0
}
