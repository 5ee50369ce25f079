/**
 * Max-min fair division of slots among daemons.
 */

/** What one daemon asks for. @public */
export interface SlotDemand {
  readonly daemonId: string
  /** Requests in flight and queued. */
  readonly demand: number
}

/**
 * Divides whole slots max-min fairly by demand, then spreads what nobody asked for evenly.
 *
 * @returns slots by daemon; they add up to `total` where there is any daemon.
 * @public
 */
export function shareByDemand (total: number, demands: readonly SlotDemand[]): Map<string, number> {
  const ascending = [...demands].sort((a, b) => a.demand - b.demand || a.daemonId.localeCompare(b.daemonId))
  const shares = new Map<string, number>()
  let rest = total
  ascending.forEach(({ daemonId, demand }, index) => {
    const fair = Math.floor(rest / (ascending.length - index))
    const share = Math.min(demand, fair)
    shares.set(daemonId, share)
    rest -= share
  })
  spreadEvenly(rest, ascending, shares)
  return shares
}

function spreadEvenly (rest: number, demands: readonly SlotDemand[], shares: Map<string, number>): void {
  if (demands.length === 0) return
  const each = Math.floor(rest / demands.length)
  let remainder = rest - each * demands.length
  for (const { daemonId } of [...demands].reverse()) {
    const extra = remainder > 0 ? 1 : 0
    remainder -= extra
    shares.set(daemonId, (shares.get(daemonId) ?? 0) + each + extra)
  }
}
