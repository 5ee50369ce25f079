/**
 * Follows the proofs of an owner's ownership, and logs since when it has had none.
 */
import type { Subscription, TimerService } from '@vanillathread/kernel'
import { EventCode } from '@vanillathread/model'
import type { Moment } from '@vanillathread/policy'
import { shardOptions } from './jobOptions.js'
import type { ShardOwner } from './ShardOwner.js'
import type { ShardOwnerContext } from './ShardOwnerContext.js'

/** Options of {@link OwnershipProver.create}. */
export interface OwnershipProverOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  /** Returns this daemon's ownership, or undefined if it does not own the shard. */
  getOwner (): ShardOwner | undefined
}

/** Reads both clocks of a daemon. */
export function readMoment (timers: TimerService): Moment {
  return { nowMs: timers.now(), wallClockMs: timers.wallClock() }
}

/** Watches the age of the proofs while this daemon owns the shard. */
export class OwnershipProver {
  private readonly subscription: Subscription
  /** The owner that has no proof, and the time of its last one. */
  private unproven: { readonly owner: ShardOwner, readonly provenAtMs: number } | undefined

  private constructor (private readonly options: OwnershipProverOptions) {
    this.subscription = options.context.timers.every(shardOptions.proofCheckPeriodMs, () => this.check())
  }

  static create (options: OwnershipProverOptions): OwnershipProver {
    return new OwnershipProver(options)
  }

  dispose (): void {
    this.subscription.dispose()
  }

  private check (): void {
    const { context, getOwner } = this.options
    const owner = getOwner()
    if (this.unproven !== undefined && this.unproven.owner !== owner) this.unproven = undefined
    if (owner !== undefined) this.logChange(owner, readMoment(context.timers))
  }

  private logChange (owner: ShardOwner, now: Moment): void {
    const { shard, context: { log, rows } } = this.options
    const { proof, fencingToken } = owner
    if (this.unproven === undefined && !proof.mayAct(now)) {
      this.unproven = { owner, provenAtMs: proof.provenAtMs }
      log.write(EventCode.OwnershipUnproven, { shard, fencingToken, provenAgoMs: Math.round(proof.getAgeMs(now)), storeSilentMs: Math.round(rows.getTimeSinceAnswerMs()) })
    } else if (this.unproven !== undefined && proof.mayAct(now)) {
      log.write(EventCode.OwnershipProven, { shard, fencingToken, unprovenForMs: Math.round(proof.provenAtMs - this.unproven.provenAtMs) })
      this.unproven = undefined
    }
  }
}
