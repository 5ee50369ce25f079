/**
 * Accounts of the open connections of a server: what each makes the process hold, and which one gives way when that is too much.
 *
 * Costs are estimates of memory in bytes: the bytes of a request, and a fixed part for each object that is made of it. Load: each read of
 * a part of a body charges an account; the accounts are searched only when a limit is exceeded, and once in each period of
 * {@link ConnectionLedger.listOverdue}.
 */
import type { ServerLimits } from './deriveServerLimits.js'

/** Cost of a request whose answer has not been sent, beside its bytes. */
const REQUEST_COST = 8 * 1024

/** Cost of a header field: its name and value several times, as text and in the tables of the request. */
const HEADER_FIELD_COST = 128

/** Cost of the call that handles a request, beside that of the request's bytes. */
const CALL_COST = 8 * 1024

/** Cost of a byte of a head that is not finished: a head may be very many short fields. */
const HEAD_COST_PER_BYTE = 12

/** Cost of one part of a body: the objects that it is until it has been copied, and the processor time, which is that of a longer part. */
const PART_COST = 1024

/** Weight of the quiet time of a connection that has not sent a whole request yet. */
const UNUSED_FACTOR = 8

/** Times after which a connection is closed, in milliseconds. @public */
export interface ConnectionTimeouts {
  /** From the first byte of a request to the end of its head. */
  readonly headerMs: number
  /** Without a byte in either direction, while no request is being handled. */
  readonly idleMs: number
  /** From the end of a request's head to the end of its body. */
  readonly bodyMs: number
}

/** Reasons to close a connection that has taken too long. @public */
export enum OverdueReason {
  Head = 'head not finished in time',
  Body = 'body not finished in time',
  Answer = 'answers not read in time',
  Idle = 'idle',
}

/** What one connection makes the process hold. @public */
export class ConnectionAccount {
  /** Time of the latest byte in either direction. */
  lastActiveMs: number
  /** Bytes of answers that wait for the client to read. */
  unsentBytes = 0
  /** Cost of the request that is not whole yet. */
  unfinishedCost = 0
  /** Time of the first byte, or of the end of the head, of the request that is not whole yet; undefined if there is none. */
  unfinishedSinceMs: number | undefined
  /** True once the head of the unfinished request has been read. */
  isReadingBody = false
  /** Whole requests whose answers have not been sent, and their cost. */
  openRequests = 0
  openCost = 0
  /** Requests that are being handled. A connection with one does not give way to another. */
  calls = 0
  hasSentRequest = false

  constructor (readonly openedAtMs: number) {
    this.lastActiveMs = openedAtMs
  }
}

/** Accounts of a server. @public */
export class ConnectionLedger<A extends ConnectionAccount = ConnectionAccount> {
  private readonly accounts = new Set<A>()
  private readonly unfinished = new Set<A>()
  private unfinishedCost = 0
  /** Cost of the whole requests whose answers have not been sent. */
  private openCost = 0
  /** Cost of the calls, which may outlast their connections. */
  private callCost = 0

  private constructor (readonly limits: ServerLimits) {}

  static create<A extends ConnectionAccount = ConnectionAccount> (limits: ServerLimits): ConnectionLedger<A> {
    return new ConnectionLedger<A>(limits)
  }

  /** Number of open connections. */
  get size (): number {
    return this.accounts.size
  }

  /** Cost of all requests. */
  get cost (): number {
    return this.unfinishedCost + this.wholeCost
  }

  /**
   * Adds a connection.
   *
   * @returns the connection to close if there are too many: the new one only if all others have requests that are being handled.
   */
  open (account: A): A | undefined {
    this.accounts.add(account)
    return this.accounts.size <= this.limits.maxConnections ? undefined : this.chooseDisplaced(account)
  }

  close (account: A): void {
    if (!this.accounts.has(account)) return
    this.dropUnfinished(account)
    this.openCost -= account.openCost
    this.accounts.delete(account)
  }

  /** Notes the first byte of a request. */
  beginUnfinished (account: A, nowMs: number): void {
    if (!this.accounts.has(account)) return
    account.unfinishedSinceMs = nowMs
    this.unfinished.add(account)
  }

  /** Notes the head of a request whose body follows. */
  beginBody (account: A, nowMs: number): void {
    this.dropUnfinished(account)
    this.beginUnfinished(account, nowMs)
    account.isReadingBody = true
    this.addUnfinishedCost(account, REQUEST_COST)
  }

  /** Charges the bytes of a head that is not finished. Returns as {@link charge}. */
  chargeHead (account: A, bytes: number, nowMs: number): A[] {
    return this.charge(account, Math.max(0, bytes * HEAD_COST_PER_BYTE - account.unfinishedCost), 0, nowMs)
  }

  /**
   * Charges bytes of an unfinished request.
   *
   * @returns the connections whose unfinished requests have to give way, as all requests together cost too much. A request that is the
   * only unfinished one is never among them.
   */
  charge (account: A, bytes: number, parts: number, nowMs: number): A[] {
    if (!this.unfinished.has(account)) return []
    this.addUnfinishedCost(account, bytes + parts * PART_COST)
    const giveWay: A[] = []
    while (this.cost > this.limits.maxCost && this.unfinished.size > 1) {
      const largest = this.findLargest(nowMs)
      if (largest === undefined) break
      this.dropUnfinished(largest)
      giveWay.push(largest)
    }
    return giveWay
  }

  /** Drops an unfinished request, which is refused, or which had no body to wait for. */
  dropUnfinished (account: A): void {
    this.addUnfinishedCost(account, -account.unfinishedCost)
    account.unfinishedSinceMs = undefined
    account.isReadingBody = false
    this.unfinished.delete(account)
  }

  /** Returns true if one more request of a connection may be open. */
  canOpenRequest (account: A): boolean {
    return account.openRequests < this.limits.maxOpenRequests
  }

  /** Returns true if there is no room for one more request. Unfinished requests do not count, as they give way. */
  isFull (): boolean {
    return this.wholeCost + REQUEST_COST > this.limits.maxCost
  }

  /** Returns true if a request with a body of some bytes can be handled. The only one always can. */
  canBeginCall (bytes: number): boolean {
    return this.callCost === 0 || this.wholeCost + this.getCallCost(bytes) <= this.limits.maxCost
  }

  /** Notes a whole request with some header fields. Returns its cost, which {@link closeRequest} takes. */
  openRequest (account: A, headerFields: number): number {
    this.dropUnfinished(account)
    if (!this.accounts.has(account)) return 0
    const cost = REQUEST_COST + headerFields * HEADER_FIELD_COST
    account.openRequests += 1
    account.openCost += cost
    this.openCost += cost
    return cost
  }

  /** Notes that the answer to a request has been sent. */
  closeRequest (account: A, cost: number): void {
    if (!this.accounts.has(account)) return
    account.openRequests -= 1
    account.openCost -= cost
    this.openCost -= cost
  }

  /** Begins to handle a whole request with a body of some bytes. Returns the cost, which {@link endCall} takes. */
  beginCall (account: A, bytes: number): number {
    const cost = this.getCallCost(bytes)
    account.hasSentRequest = true
    account.calls += 1
    this.callCost += cost
    return cost
  }

  /** Ends a call, which may have outlasted its connection. */
  endCall (account: A, cost: number): void {
    account.calls -= 1
    this.callCost -= cost
  }

  /** Lists the connections that have taken too long. */
  listOverdue (nowMs: number, timeouts: ConnectionTimeouts): Array<{ readonly account: A, readonly reason: OverdueReason }> {
    return [...this.accounts].flatMap((account) => {
      const reason = getOverdueReason(account, nowMs, timeouts)
      return reason === undefined ? [] : [{ account, reason }]
    })
  }

  private getCallCost (bytes: number): number {
    return CALL_COST + bytes * this.limits.costPerByte
  }

  private addUnfinishedCost (account: A, cost: number): void {
    account.unfinishedCost += cost
    this.unfinishedCost += cost
  }

  private get wholeCost (): number {
    return this.openCost + this.callCost
  }

  /** Finds the unfinished request that has held most for longest. */
  private findLargest (nowMs: number): A | undefined {
    let largest: A | undefined
    let largestProduct = 0
    for (const account of this.unfinished) {
      const product = account.unfinishedCost * (nowMs - (account.unfinishedSinceMs ?? nowMs) + 1)
      if (account.calls > 0 || product <= largestProduct) continue
      largest = account
      largestProduct = product
    }
    return largest
  }

  /** Chooses the connection that has been quiet for longest. That counts for more if it has not sent a whole request yet. */
  private chooseDisplaced (newest: A): A {
    let chosen = newest
    let longestMs = -1
    for (const account of this.accounts) {
      if (account === newest || account.calls > 0) continue
      const quietMs = account.hasSentRequest ? newest.openedAtMs - account.lastActiveMs : (newest.openedAtMs - account.openedAtMs) * UNUSED_FACTOR
      if (quietMs <= longestMs) continue
      chosen = account
      longestMs = quietMs
    }
    return chosen
  }
}

function getOverdueReason (account: ConnectionAccount, nowMs: number, { headerMs, idleMs, bodyMs }: ConnectionTimeouts): OverdueReason | undefined {
  const quietMs = nowMs - account.lastActiveMs
  if (account.unsentBytes > 0) return quietMs > idleMs ? OverdueReason.Answer : undefined
  if (account.calls > 0) return undefined
  if (account.unfinishedSinceMs !== undefined) {
    const sinceMs = nowMs - account.unfinishedSinceMs
    // The refusal of a head must not come in the middle of an answer.
    if (!account.isReadingBody) return sinceMs > headerMs && account.openRequests === 0 ? OverdueReason.Head : undefined
    return sinceMs > bodyMs || quietMs > idleMs ? OverdueReason.Body : undefined
  }
  return quietMs > idleMs ? OverdueReason.Idle : undefined
}
