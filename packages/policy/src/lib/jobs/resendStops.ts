/**
 * Orders stops again that were not answered in time.
 */
import { OrderKind } from './orders.js'
import type { SchedulerState } from './SchedulerState.js'
import { RunPhase } from './TrackedRun.js'

/** Time after which an unanswered stop is sent again. */
const STOP_RETRY_MS = 600

/** Repeats each stop order that has had no answer for `STOP_RETRY_MS`. A repeated stop has no further effect. */
export function resendStops (state: SchedulerState, nowMs: number): void {
  for (const vm of state.vms.values()) {
    for (const run of vm.runs.values()) {
      if (run.phase !== RunPhase.Stopping || run.stopAnsweredAtMs !== undefined) continue
      if (nowMs - (run.stopSentAtMs ?? 0) < STOP_RETRY_MS) continue
      run.stopSentAtMs = nowMs
      state.orders.push({ kind: OrderKind.Stop, run })
    }
  }
}
