/**
 * Interface to the slots of endpoints that a daemon may use.
 */

/** Slots that one daemon may use for one service. @public */
export interface SlotSource {
  /** Returns how many more attempts may start on an endpoint. */
  getFree (endpointId: string, nowMs: number): number
  /** Returns how many attempts are in flight on an endpoint. */
  getInUse (endpointId: string): number
  /** Returns the maximum number of attempts in flight on all endpoints. */
  getTotalLimit (nowMs: number): number
  /** Returns the number of attempts in flight on all endpoints. */
  getTotalInUse (): number
  /** Takes a slot for one attempt. @returns false if none is free. */
  acquire (endpointId: string, nowMs: number): boolean
  /** Frees the slot of an attempt that the endpoint no longer works on. */
  release (endpointId: string): void
}
