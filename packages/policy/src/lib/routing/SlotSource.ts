/**
 * Where a daemon's right to use an endpoint's slots comes from.
 */

/** Slots that one daemon may use for one service. @public */
export interface SlotSource {
  /** Returns how many more attempts may start on an endpoint. */
  getFree (endpointId: string, nowMs: number): number
  /** Returns how many attempts are in flight on an endpoint. */
  getInUse (endpointId: string): number
  /** Sum of the attempts that may be in flight at once. */
  getTotalLimit (nowMs: number): number
  /** Sum of the attempts in flight. */
  getTotalInUse (): number
  /** Takes a slot for one attempt. @returns false where none is free. */
  acquire (endpointId: string, nowMs: number): boolean
  /** Returns the slot of an attempt that the endpoint no longer works on. */
  release (endpointId: string): void
}
