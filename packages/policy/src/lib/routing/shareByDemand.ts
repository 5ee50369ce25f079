/**
 * Max-min fair division of slots among daemons.
 */

/** The demand of one daemon. @public */
export interface SlotDemand {
  readonly daemonId: string
  /** Number of requests in flight and queued. */
  readonly demand: number
}

/**
 * Divides whole slots max-min fairly by demand, then spreads the slots beyond the total demand evenly.
 *
 * @returns slots by daemon id. They add up to `total` unless there are no daemons.
 * @public
 */
export function shareByDemand (total: number, demands: readonly SlotDemand[]): Map<string, number> {
  const ascending = [...demands].sort((a, b) => a.demand - b.demand || a.daemonId.localeCompare(b.daemonId))
  const shares = new Map<string, number>()
  let remaining = total
  ascending.forEach(({ daemonId, demand }, index) => {
    const fairShare = Math.floor(remaining / (ascending.length - index))
    const share = Math.min(demand, fairShare)
    shares.set(daemonId, share)
    remaining -= share
  })
  spreadEvenly(remaining, ascending, shares)
  return shares
}

/** Adds the rest in equal parts; what remains goes to the daemons with the highest demand, one slot each. */
function spreadEvenly (rest: number, demands: readonly SlotDemand[], shares: Map<string, number>): void {
  if (demands.length === 0) return
  const perDaemon = Math.floor(rest / demands.length)
  let remainder = rest - perDaemon * demands.length
  for (const { daemonId } of [...demands].reverse()) {
    const extra = remainder > 0 ? 1 : 0
    remainder -= extra
    shares.set(daemonId, (shares.get(daemonId) ?? 0) + perDaemon + extra)
  }
}
