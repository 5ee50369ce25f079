/**
 * Ways of sharing endpoints' slots between daemons, for comparison with slot credits.
 */
import type { SlotSourceFactory } from '@vanillathread/daemon'
import type { SlotSource } from '@vanillathread/policy'

/** Ways of sharing slots that the load bench compares. */
export enum Sharing {
  /** One daemon for each service lends the slots to the others. */
  Credits = 'credits',
  /** Each daemon uses the endpoints in turn, without a limit. */
  RoundRobin = 'round-robin',
  /**
   * Each daemon chooses, of two random endpoints, the one on which it has fewer attempts in flight, and starts at most
   * as many there as the endpoint has slots. The endpoint refuses requests above its slots.
   */
  LocalTwoChoice = 'local-two-choice',
  /** Each daemon may use a fixed share of each endpoint's slots, rounded up. */
  FixedShare = 'fixed-share',
  /** Each daemon forwards every request to the one daemon that owns the service. */
  Forward = 'forward',
}

/** Prefix of the ids of front services, through which a daemon forwards requests to the owner. */
export const FRONT_PREFIX = 'front-'
const UNLIMITED = 1_000_000
/** Slots of an endpoint and number of daemons, which must equal those in `testbedSizes`. */
const SLOTS = 8
const DAEMONS = 9

/** Counts the attempts in flight on each endpoint; all endpoints have the same limit. */
class LimitedSlots implements SlotSource {
  protected readonly inUse = new Map<string, number>()

  constructor (protected readonly limit: number) {}

  getFree (endpointId: string): number {
    return Math.max(0, this.limit - this.getInUse(endpointId))
  }

  getInUse (endpointId: string): number {
    return this.inUse.get(endpointId) ?? 0
  }

  getTotalLimit (): number {
    return this.limit * Math.max(1, this.inUse.size)
  }

  getTotalInUse (): number {
    return [...this.inUse.values()].reduce((sum, count) => sum + count, 0)
  }

  acquire (endpointId: string): boolean {
    this.inUse.set(endpointId, this.getInUse(endpointId) + 1)
    return true
  }

  release (endpointId: string): void {
    this.inUse.set(endpointId, this.getInUse(endpointId) - 1)
  }
}

/**
 * Reports a free slot only on the endpoint whose turn it is. The turn passes to the next endpoint when a slot is acquired.
 * It also passes after more than two queries per endpoint without an acquired slot, because the endpoint then accepts no work.
 */
class RoundRobinSlots extends LimitedSlots {
  private readonly endpointIds: string[] = []
  private turnCount = 0
  private queriesWithoutAcquire = 0

  constructor () {
    super(UNLIMITED)
  }

  override getFree (endpointId: string): number {
    if (!this.endpointIds.includes(endpointId)) this.endpointIds.push(endpointId)
    this.queriesWithoutAcquire += 1
    if (this.queriesWithoutAcquire > 2 * this.endpointIds.length) this.advance()
    return this.endpointIds[this.turnCount % this.endpointIds.length] === endpointId ? 1 : 0
  }

  override acquire (endpointId: string): boolean {
    this.advance()
    return super.acquire(endpointId)
  }

  private advance (): void {
    this.turnCount += 1
    this.queriesWithoutAcquire = 0
  }
}

/** Returns the factory of slot sources for a way of sharing, or undefined for slot credits, which are the daemon's default. */
export function createSlotSources (sharing: Sharing): SlotSourceFactory | undefined {
  switch (sharing) {
    case Sharing.Credits: return undefined
    case Sharing.RoundRobin: return () => new RoundRobinSlots()
    case Sharing.LocalTwoChoice: return () => new LimitedSlots(SLOTS)
    case Sharing.FixedShare: return () => new LimitedSlots(Math.ceil(SLOTS / DAEMONS))
    case Sharing.Forward: return (serviceId) => serviceId.startsWith(FRONT_PREFIX) ? new LimitedSlots(UNLIMITED) : undefined
  }
}
