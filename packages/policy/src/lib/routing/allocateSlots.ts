/**
 * Divides one service's slots among its holders, with as few changes as their demand asks for.
 */
import type { LentEndpoint } from './credits.js'
import { shareByDemand } from './shareByDemand.js'
import { getTotal, raiseBy, setCount } from './slotCounts.js'

/** A daemon that uses slots, as the allocation sees it. */
export interface SlotHolder {
  readonly daemonId: string
  readonly zone: string
  /** Requests in flight and queued. */
  readonly demand: number
  /** Limits by endpoint; the allocation changes them. */
  readonly limits: Map<string, number>
}

/** What there is to divide. */
export interface SlotSupply {
  readonly endpoints: readonly LentEndpoint[]
  /** Slots that may be lent, free ones and used ones together. */
  readonly total: number
  /** Slots by endpoint that nobody may be using; the allocation takes from them. */
  readonly free: Map<string, number>
  /** Slots that holders were told to return and have not yet returned. */
  readonly pendingReturns: number
}

type Targets = ReadonlyMap<string, number>

/** Part of its share that a holder gets while it asks for less, so that a burst need not wait for slots. */
const IDLE_SHARE = 0.5
/** Slots that a holder gets more on an endpoint of its own availability zone than on one elsewhere. */
const OWN_ZONE_ADVANTAGE_SLOTS = 2

/** Raises limits from free slots, and lowers those of holders above their share for holders in need. */
export function allocateSlots (holders: readonly SlotHolder[], supply: SlotSupply): void {
  const targets = shareByDemand(supply.total, holders)
  raiseLimits(holders, targets, supply)
  reclaimForNeedy(holders, targets, supply)
}

/** Gives free slots to holders below their share, one at a time, those with unmet demand first. */
function raiseLimits (holders: readonly SlotHolder[], targets: Targets, { endpoints, free }: SlotSupply): void {
  for (;;) {
    const holder = findNeediest(holders, targets)
    if (holder === undefined) return
    const endpoint = chooseEndpoint(holder, endpoints, free)
    if (endpoint === undefined) return
    raiseBy(free, endpoint.endpointId, -1)
    raiseBy(holder.limits, endpoint.endpointId, 1)
  }
}

function findNeediest (holders: readonly SlotHolder[], targets: Targets): SlotHolder | undefined {
  const below = holders.filter((holder) => getTotal(holder.limits) < getTarget(holder, targets))
  return findLowest(below, (holder) => [getLack(holder, targets) > 0 ? 0 : 1, getTotal(holder.limits)])
}

/** Spreads a holder's slots, with more on endpoints of its own availability zone. */
function chooseEndpoint (holder: SlotHolder, endpoints: readonly LentEndpoint[], free: ReadonlyMap<string, number>): LentEndpoint | undefined {
  const usable = endpoints.filter(({ endpointId }) => (free.get(endpointId) ?? 0) > 0)
  return findLowest(usable, (endpoint) => [getWeightedHolding(holder, endpoint), -(free.get(endpoint.endpointId) ?? 0)])
}

/** Lowers limits of holders above their share by as much as holders in need still lack. */
function reclaimForNeedy (holders: readonly SlotHolder[], targets: Targets, supply: SlotSupply): void {
  let wanted = holders.reduce((sum, holder) => sum + getLack(holder, targets), 0) - supply.pendingReturns
  for (; wanted > 0; wanted--) {
    const donor = findDonor(holders, targets)
    if (donor === undefined) return
    lowerByOne(donor, supply.endpoints)
  }
}

function findDonor (holders: readonly SlotHolder[], targets: Targets): SlotHolder | undefined {
  const above = holders.filter((holder) => getTotal(holder.limits) > getTarget(holder, targets))
  return findLowest(above, (holder) => [getTarget(holder, targets) - getTotal(holder.limits)])
}

/** Takes a slot where the holder has most, counting less in its own availability zone. */
function lowerByOne (holder: SlotHolder, endpoints: readonly LentEndpoint[]): void {
  const held = endpoints.filter(({ endpointId }) => holder.limits.has(endpointId))
  const endpoint = findLowest(held, (candidate) => [-getWeightedHolding(holder, candidate)])
  if (endpoint === undefined) return
  setCount(holder.limits, endpoint.endpointId, (holder.limits.get(endpoint.endpointId) ?? 0) - 1)
}

function getTarget (holder: SlotHolder, targets: Targets): number {
  return targets.get(holder.daemonId) ?? 0
}

/** Returns the slots that a holder lacks and for which others give up theirs. */
function getLack (holder: SlotHolder, targets: Targets): number {
  const target = getTarget(holder, targets)
  const wish = Math.min(target, Math.max(holder.demand, Math.ceil(target * IDLE_SHARE)))
  return Math.max(0, wish - getTotal(holder.limits))
}

function getWeightedHolding (holder: SlotHolder, endpoint: LentEndpoint): number {
  const advantage = endpoint.zone === holder.zone ? OWN_ZONE_ADVANTAGE_SLOTS : 0
  return (holder.limits.get(endpoint.endpointId) ?? 0) - advantage
}

/** Returns the first item with the lowest rank, compared number by number. */
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
