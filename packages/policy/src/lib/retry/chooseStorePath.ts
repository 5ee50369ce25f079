/**
 * Chooses the path of a call to the store: an owner's own connection, or another daemon that the store answers.
 *
 * The load that this answers: an owner with some 40 transactions a second whose own connections are reset or silent for seconds while
 * the other daemons reach the store; a store that loses or delays single answers; and a store that is away for all daemons.
 */

/** Another daemon that may make calls to the store for an owner. @public */
export interface StorePeer {
  readonly name: string
  /** Time since the store last answered the daemon, as far as is known, in milliseconds. */
  readonly answerAgoMs: number
  /** Time since a call through the daemon last got no answer, in milliseconds; infinite if that never happened. */
  readonly failedAgoMs: number
}

/** What is known when an attempt is to be sent. @public */
export interface StorePathState {
  /**
   * Time since the earliest call was sent on the owner's own connections that has no answer, if the store has answered none of
   * them since, in milliseconds; undefined if there is no such call.
   */
  readonly directUnansweredMs: number | undefined
  /**
   * Time since an earlier attempt first found that call without an answer, in milliseconds. A process that was busy finds calls long
   * unanswered, and reads their answers only afterwards.
   */
  readonly noticedAgoMs: number
  /** True if such a call has failed, as its connection was reset, could not be opened or was silent until the timeout. */
  readonly directFailed: boolean
  /** Time after which an answer is overdue, in milliseconds. */
  readonly overdueAfterMs: number
  readonly peers: readonly StorePeer[]
  /** Paths of the earlier attempts of the same call: names of peers, and undefined for the owner's own connections. */
  readonly earlier: ReadonlyArray<string | undefined>
}

/** Shortest time without any answer after which the direct path counts as lost: more than a slow answer takes, 240 ms. */
const MIN_LOST_MS = 250

/** Shortest time for which the lack of an answer must be known: a process that was busy reads the waiting answers in less. */
const MIN_NOTICED_MS = 50

/** Number of times for which an answer must be overdue until the direct path counts as lost. */
const OVERDUE_FACTOR = 2

/**
 * Longest time since the store answered a peer: an idle daemon has only its long poll on the operator's feed, of 1.2 s, and reports
 * with the next heartbeat, up to 0.25 s later. Once the store is away for all daemons, no calls go through peers after this time.
 */
const MAX_ANSWER_AGO_MS = 1_500

/** Time for which a peer that did not answer a call gets no further ones. */
const PEER_RETRY_MS = 3_000

/** Returns the name of the peer through which the next attempt goes, or undefined for the owner's own connections. @public */
export function chooseStorePath (state: StorePathState): string | undefined {
  const { directUnansweredMs, noticedAgoMs, directFailed, overdueAfterMs, earlier } = state
  // An answer to any other direct call since then shows that the path works, and that only this answer is lost or slow.
  if (directUnansweredMs === undefined) return undefined
  const isOverdue = noticedAgoMs >= MIN_NOTICED_MS && directUnansweredMs >= Math.max(MIN_LOST_MS, OVERDUE_FACTOR * overdueAfterMs)
  const isLost = directFailed || isOverdue
  return isLost || earlier.length > 0 ? findPeer(state) : undefined
}

/** Returns the peer that the store has answered last among those that this call has not gone through. */
function findPeer ({ peers, earlier }: StorePathState): string | undefined {
  const usable = peers.filter(({ name, answerAgoMs, failedAgoMs }) => answerAgoMs < MAX_ANSWER_AGO_MS && failedAgoMs >= PEER_RETRY_MS && !earlier.includes(name))
  return usable.sort((a, b) => a.answerAgoMs - b.answerAgoMs)[0]?.name
}
