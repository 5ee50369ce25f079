/**
 * Releases a shard: records in the store that it has no owner, and notifies the other daemons.
 */
import { EventCode } from '@vanillathread/model'
import type { OwnerRecord } from './OwnerRecord.js'
import type { FinishedOwner, ReleaseNotices } from './ReleaseNotices.js'
import type { OwnerRow } from './rows.js'
import type { ShardOwnerContext } from './ShardOwnerContext.js'

/** Options of {@link ShardReleaser.create}. */
export interface ShardReleaserOptions {
  readonly shard: string
  readonly context: ShardOwnerContext
  readonly record: OwnerRecord
  readonly notices: ReleaseNotices
  /** Returns the daemon that is to take over at once, if there is one. */
  chooseSuccessor (): string | undefined
}

/** Releases the shard for one daemon. */
export class ShardReleaser {
  private active = false

  private constructor (private readonly options: ShardReleaserOptions) {}

  static create (options: ShardReleaserOptions): ShardReleaser {
    return new ShardReleaser(options)
  }

  /** True from the end of this daemon's ownership until its release is answered. */
  get isActive (): boolean {
    return this.active
  }

  /**
   * Writes an owner row without an owner, so that other daemons can take over without suspecting this one first.
   *
   * @param former - content of the owner row.
   * @param finished - this daemon's ownership that has ended, or undefined if it gave no leases under the owner row.
   */
  async release (former: OwnerRow | undefined, fencingToken: number, finished?: FinishedOwner): Promise<void> {
    const { context, shard, record, notices, chooseSuccessor } = this.options
    this.active = finished !== undefined
    const notice = finished === undefined ? undefined : notices.repeat(finished)
    const leasesEndMs = finished === undefined ? undefined : await record.toStoreTime(finished.leasesEndMs, context.timers)
    const res = await record.release(former, fencingToken, leasesEndMs)
    notice?.dispose()
    this.active = false
    context.log.write(EventCode.ShardReleased, { shard, fencingToken, outcome: res.ok ? 'done' : res.error.kind })
    if (res.ok) notices.send(finished, res.value.version, chooseSuccessor())
  }
}
