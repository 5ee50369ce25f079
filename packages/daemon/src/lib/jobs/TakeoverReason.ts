/**
 * Why a daemon takes a shard over.
 */

/** Reasons for a takeover, as they are logged. */
export enum TakeoverReason {
  NoOwner = 'no owner',
  HandedOver = 'the former owner handed the shard over',
  Restarted = 'this daemon held the shard before it restarted',
  ProcessGone = 'owner process is gone',
  StoreUnreachable = 'owner does not reach the store',
}

/** Returns true if the previous owner sends nothing any more: it released the shard after its last call, or its process ended. */
export function hasPreviousOwnerEnded (reason: TakeoverReason): boolean {
  return reason !== TakeoverReason.StoreUnreachable
}
