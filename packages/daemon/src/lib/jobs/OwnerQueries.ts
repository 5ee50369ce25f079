/**
 * Queries to the owner of a shard, which may be this daemon or another one.
 */
import type { TimerService } from '@vanillathread/kernel'
import type { JobState } from '@vanillathread/model'
import { countPendingJobs } from '@vanillathread/policy'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { clientOptions } from './jobOptions.js'
import { PendingRequests } from './PendingRequests.js'
import { decodeJobRow } from './rows.js'
import type { ShardOwnership } from './ShardOwnership.js'

/** Options of {@link OwnerQueries.create}. */
export interface OwnerQueriesOptions {
  readonly timers: TimerService
  readonly shard: ShardOwnership
  readonly shardName: string
  readonly network: PeerTransport
}

type OwnerAnswer = Pick<PeerMessageOf<PeerMessageKind.JobAnswer>, 'state' | 'pending'>

/**
 * Sends queries to the owner. If this daemon is the owner, answers the queries of other daemons, and applies the jobs and
 * cancellations that they announce.
 */
export class OwnerQueries {
  private readonly pendingRequests: PendingRequests<OwnerAnswer | undefined>
  /** Cached counts of pending jobs by queue, and the times at which they were requested. */
  private readonly countsByQueue = new Map<string, { count: number, atMs: number }>()

  private constructor (private readonly options: OwnerQueriesOptions) {
    const { network, shardName } = options
    this.pendingRequests = PendingRequests.create(options.timers)
    network.on(PeerMessageKind.JobQuery, (message, reply) => {
      if (message.shard === shardName) reply({ kind: PeerMessageKind.JobAnswer, seq: message.seq, ...this.answer(message) })
    })
    network.on(PeerMessageKind.JobAnswer, ({ seq, state, pending }) => { this.pendingRequests.settle(seq, { state, pending }) })
    network.on(PeerMessageKind.JobHint, ({ shard, row, version }) => {
      const job = decodeJobRow(row)
      if (shard === shardName && job !== undefined) options.shard.owner?.addJob(job, version)
    })
    network.on(PeerMessageKind.CancelHint, ({ shard, job }) => {
      if (shard === shardName) options.shard.owner?.cancelJob(job)
    })
  }

  static create (options: OwnerQueriesOptions): OwnerQueries {
    return new OwnerQueries(options)
  }

  /** Returns a job's state, or undefined if the owner does not answer or does not know the job. */
  async findState (job: string): Promise<JobState | undefined> {
    return (await this.query({ job }))?.state
  }

  /** Returns the number of a queue's pending jobs, cached for a short time, or undefined if the owner does not answer. */
  async countPending (queue: string): Promise<number | undefined> {
    const nowMs = this.options.timers.now()
    const cached = this.countsByQueue.get(queue)
    if (cached !== undefined && nowMs - cached.atMs < clientOptions.pendingCountMaxAgeMs) return cached.count
    const count = (await this.query({ queue }))?.pending
    if (count !== undefined) this.countsByQueue.set(queue, { count, atMs: nowMs })
    return count
  }

  /** Answers a query. The answer is empty if this daemon does not own the shard or has not loaded it. */
  private answer (jobQuery: { readonly job?: string, readonly queue?: string }): OwnerAnswer {
    const { owner } = this.options.shard
    if (owner === undefined || !owner.isLoaded) return {}
    return {
      state: jobQuery.job === undefined ? undefined : owner.scheduler.getState(jobQuery.job),
      pending: jobQuery.queue === undefined ? undefined : countPendingJobs(owner.scheduler.state, jobQuery.queue),
    }
  }

  /** Queries the owner. Returns undefined if no owner is known or another daemon is the owner and does not answer in time. */
  private async query (jobQuery: { readonly job?: string, readonly queue?: string }): Promise<OwnerAnswer | undefined> {
    const { shard, network, shardName } = this.options
    if (shard.owner !== undefined) return this.answer(jobQuery)
    const remote = shard.remoteOwner
    if (remote === undefined) return undefined
    return this.pendingRequests.request(
      (seq) => network.send(remote.address, { kind: PeerMessageKind.JobQuery, shard: shardName, seq, ...jobQuery }),
      clientOptions.ownerAnswerMs, undefined)
  }
}
