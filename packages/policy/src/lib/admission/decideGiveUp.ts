/**
 * Decides how long a request waits for a store that does not answer.
 *
 * This answers a store that is silent for seconds for all daemons, in the middle of a burst: requests that wait for it until
 * their deadlines cannot be tried elsewhere or again. A store that is slow or loses answers still answers some call within the
 * time limits, so that its requests are not given up.
 */

/** Shortest time without an answer on any path after which the store counts as silent: the timeout of a call to the store. */
const SILENT_AFTER_MS = 1_200

/**
 * Multiple of the time that recent requests took after which the store counts as silent, and its limit. Seven daemons that share
 * a store with transactions of 180 ms each get an answer every 1.3 s.
 */
const SILENT_AFTER_FACTOR = 3
const MAX_SILENT_AFTER_MS = 2_400

/** The same for a request that is sent to find out whether a silent store answers again: three times the latency of a slow one. */
const PROBE_SILENT_AFTER_MS = 600

/** Time for which writes that were sent wait on, so that the refusals of those that other daemons did not send arrive. */
const SENT_GRACE_MS = 100

/** What becomes of a request that waits for the store. @public */
export enum GiveUpAction {
  /** The request waits. */
  Wait = 'wait',
  /** What was not sent is not sent any more; what was sent waits for its answer. */
  StopSending = 'stop-sending',
  /** The request is answered. A write that was sent has an unknown outcome. */
  GiveUp = 'give-up',
}

/** Inputs of {@link decideGiveUp}. Times are in milliseconds. @public */
export interface StoreWait {
  /** Time for which a request has waited while neither the store nor another daemon proved that the store answers. */
  readonly silentMs: number
  /** Time that requests took recently, at the most. */
  readonly recentMs: number
  /** Time for which this request has waited. */
  readonly waitedMs: number
  /** True if the store was silent before this request, which was sent to find out whether that has ended. */
  readonly isProbe: boolean
}

/** Decides whether a request that waits for the store waits on. @public */
export function decideGiveUp ({ silentMs, recentMs, waitedMs, isProbe }: StoreWait): GiveUpAction {
  const silentAfterMs = Math.min(MAX_SILENT_AFTER_MS, Math.max(SILENT_AFTER_MS, SILENT_AFTER_FACTOR * recentMs))
  const overdueMs = isProbe ? waitedMs - PROBE_SILENT_AFTER_MS : silentMs - silentAfterMs
  if (overdueMs < 0) return GiveUpAction.Wait
  return overdueMs < SENT_GRACE_MS ? GiveUpAction.StopSending : GiveUpAction.GiveUp
}
