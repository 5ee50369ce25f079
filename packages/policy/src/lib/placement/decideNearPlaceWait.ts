/**
 * Decides how many tasks of a step wait for room near their data instead of starting elsewhere now (delay scheduling).
 *
 * Answers this load: many steps have their data in one rack, which is full, while other racks have room in which each task takes
 * `remoteFactor` times as long.
 */

/** Longest wait of a task for a near place if the settings name none. It is well below the 3 s in which a due task must start. @public */
export const DEFAULT_NEAR_PLACE_MAX_WAIT_MS = 1_000

/**
 * Share of the cost of a far place that the expected wait may take while other racks have room. A waiting task takes the place of the
 * next one, so that longer waits only lengthen the queue for a rack that is always full: with 0.4 and more, fewer jobs ended in time on a hot
 * rack in an empty pool than without waiting.
 */
const MAX_WAIT_SHARE = 0.3

/** What is known about the waiting tasks of one step. Times are in milliseconds. @public */
export interface NearPlaceView {
  /** Expected times from now until there is near room for the first task, the second and so on, ascending; `Infinity` if not foreseen. */
  readonly waitsMs: readonly number[]
  /** Expected duration of a task in a near place. */
  readonly taskMs: number
  /** Factor by which a task takes longer in any other place. */
  readonly remoteFactor: number
  /** Time by which the job may be delayed and still end within its objective; 0 or less if it cannot. */
  readonly slackMs: number
  /** Time that is left until the longest wait of the step is over. */
  readonly leftMs: number
  /** True if tasks of the pool lack room, so that others lose the capacity that a run in a far place holds longer. */
  readonly isPoolFull: boolean
}

/** Decision on the waiting tasks of one step. Times are in milliseconds. @public */
export interface NearPlaceDecision {
  /** Number of tasks that wait; the others start in far places now. */
  readonly waitCount: number
  /** Time that one task loses in a far place; in a full pool, also the time for which it keeps the capacity from others. */
  readonly farCostMs: number
  /** Expected wait of the last task that waits, or of the first task if none does. */
  readonly waitCostMs: number
  /** Time from now at which the wait ends at the latest. */
  readonly untilMs: number
}

/**
 * Decides how many tasks wait. A step ends with its last task. So if one of its tasks has to start in a far place anyway, the
 * others wait only if the pool is full, where each near place saves capacity that other tasks can use at once.
 * For a gang, which starts as a whole, the view has one wait.
 * @public
 */
export function decideNearPlaceWait (view: NearPlaceView): NearPlaceDecision {
  const { waitsMs, taskMs, remoteFactor, slackMs, leftMs, isPoolFull } = view
  const lostMs = (remoteFactor - 1) * taskMs
  const farCostMs = isPoolFull ? lostMs + lostMs : lostMs
  const untilMs = Math.max(0, Math.min(farCostMs, slackMs, leftMs))
  const limitMs = Math.min(untilMs, isPoolFull ? farCostMs : farCostMs * MAX_WAIT_SHARE)
  const inTime = waitsMs.filter((waitMs) => waitMs < limitMs).length
  const waitCount = inTime === waitsMs.length || isPoolFull ? inTime : 0
  return { waitCount, farCostMs, waitCostMs: waitsMs[Math.max(0, waitCount - 1)] ?? Infinity, untilMs }
}
