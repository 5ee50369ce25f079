/**
 * How many of each endpoint's slots a lender may lend, so that the lenders on the sides of a network partition together stay
 * within the slots.
 *
 * All daemons divide the slots of an endpoint in the same way: each daemon has a part, and parts differ by at most one slot.
 * A lender may lend the parts of the daemons that it does not suspect, and each daemon is on one side only.
 */
import type { LendableEndpoint } from './credits.js'
import { rankByRendezvous } from './rendezvous.js'

/** A listed daemon as its lender sees it. @public */
export interface LendingMember {
  /** Id of the daemon in all its incarnations, by which the parts are divided. */
  readonly name: string
  /** Id of the daemon's present incarnation as a holder of slots. */
  readonly holderId: string
  readonly suspected: boolean
}

/** Counts the slots that may be lent. */
export class LendableSlots {
  /** Listed daemons by name; without any, all slots may be lent. */
  private members: ReadonlyMap<string, LendingMember> = new Map()
  /** Names of the listed daemons by endpoint id, those that get one slot more than the others first. */
  private readonly ranks = new Map<string, readonly string[]>()
  /** Numbers of lendable slots by endpoint id, as long as the members do not change. */
  private readonly counts = new Map<string, number>()
  /** The holders in `members` in their order, with a mark of those that are suspected, to detect changes. */
  private membersKey = ''

  private constructor () {}

  static create (): LendableSlots {
    return new LendableSlots()
  }

  setMembers (members: readonly LendingMember[]): void {
    const key = members.map(({ holderId, suspected }) => (suspected ? `-${holderId}` : holderId)).join()
    if (key === this.membersKey) return
    const isSameGroup = members.length === this.members.size && members.every(({ name }) => this.members.has(name))
    this.membersKey = key
    this.members = new Map(members.map((member) => [member.name, member]))
    this.counts.clear()
    if (!isSameGroup) this.ranks.clear()
  }

  /** Forgets the endpoints that are not in the list. */
  keepOnly (endpoints: readonly LendableEndpoint[]): void {
    if (this.ranks.size <= endpoints.length) return
    const ids = new Set(endpoints.map(({ endpointId }) => endpointId))
    for (const id of this.ranks.keys()) {
      if (!ids.has(id)) this.ranks.delete(id)
    }
    this.counts.clear()
  }

  /** Returns the number of an endpoint's slots that may be lent. */
  count (endpoint: LendableEndpoint): number {
    const known = this.counts.get(endpoint.endpointId)
    if (known !== undefined) return known
    const count = this.sumParts(endpoint, NO_HOLDERS)
    this.counts.set(endpoint.endpointId, count)
    return count
  }

  /** Returns the same number, but for the parts of daemons that are holders in `excluded`. */
  countWithout (endpoint: LendableEndpoint, excluded: ReadonlyMap<string, unknown>): number {
    return excluded.size === 0 ? this.count(endpoint) : this.sumParts(endpoint, excluded)
  }

  private sumParts ({ endpointId, slots }: LendableEndpoint, excluded: ReadonlyMap<string, unknown>): number {
    const { members } = this
    if (members.size === 0) return slots
    const part = Math.floor(slots / members.size)
    const largerParts = slots % members.size
    let sum = 0
    this.rank(endpointId).forEach((name, index) => {
      const member = members.get(name)
      if (member === undefined || member.suspected || excluded.has(member.holderId)) return
      sum += index < largerParts ? part + 1 : part
    })
    return sum
  }

  private rank (endpointId: string): readonly string[] {
    const known = this.ranks.get(endpointId)
    if (known !== undefined) return known
    const ranked = rankByRendezvous(endpointId, [...this.members.keys()])
    this.ranks.set(endpointId, ranked)
    return ranked
  }
}

const NO_HOLDERS: ReadonlyMap<string, unknown> = new Map()
