/**
 * Decides whether the maintenance wave continues, based on VMs that recently failed to return from it.
 */
import type { VmRecord } from './records.js'

/** Why maintenance has halted. @public */
export enum HaltReason {
  /** More VMs failed to return than independent failures explain. */
  CorrelatedFailure = 'correlated-failure',
  /** The rules halt maintenance. */
  Rules = 'rules',
}

/** Whether the wave continues; if not, the reason and the VMs that failed to return. @public */
export type WaveDecision =
  | { readonly running: true }
  | { readonly running: false, readonly reason: HaltReason, readonly failedVms: readonly string[] }

/** Time for which a failed return counts, in milliseconds. */
const FAILURE_WINDOW_MS = 24 * 60 * 60 * 1000
/** Number of failed returns within the window that may be independent failures. With more, the wave halts. */
const MAX_INDEPENDENT_FAILURES = 1

/**
 * Decides whether the wave continues. All pools are checked together, since one faulty image affects every pool.
 *
 * @param acknowledgedMs - wall-clock time up to which failures are ignored, as an operator has acknowledged them.
 * @public
 */
export function decideWave (vms: ReadonlyMap<string, VmRecord>, nowMs: number, acknowledgedMs: number): WaveDecision {
  const sinceMs = Math.max(nowMs - FAILURE_WINDOW_MS, acknowledgedMs)
  const failedVms = [...vms].filter(([, vm]) => (vm.failedReturnAtMs ?? 0) > sinceMs).map(([vmId]) => vmId).sort()
  if (failedVms.length <= MAX_INDEPENDENT_FAILURES) return { running: true }
  return { running: false, reason: HaltReason.CorrelatedFailure, failedVms }
}
