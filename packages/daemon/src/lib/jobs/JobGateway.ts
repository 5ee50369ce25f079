/**
 * Serves client requests: stores submitted jobs and cancellations, and reports job states and counts of pending jobs.
 */
import { delay, type EventLog, type Metrics, type TimerService } from '@vanillathread/kernel'
import { EventCode, exhaustiveSwitchError, isFinalState, JobState, ResultCode, type AcceptedJob, type JobSpec, type QueueRules } from '@vanillathread/model'
import { getMaxSmallestProgressBytes, spreadRetryAfter, type ConfigurationBounds } from '@vanillathread/policy'
import { IngressAnswerKind, readRow, type ClientApi, type ClientLimits, type ClientRequest, type IngressAnswer, type RowStore } from '@vanillathread/ports'
import { PeerMessageKind, WriteOutcome, type PeerMessage } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { CallGuard, type WritePermit } from './CallGuard.js'
import type { ConfigurationWatcher } from './ConfigurationWatcher.js'
import { findJobId, isJobId } from './jobId.js'
import { clientOptions } from './jobOptions.js'
import type { WriteResult } from './JobRowBatcher.js'
import { FinalStates } from './FinalStates.js'
import { JobWriter } from './JobWriter.js'
import type { MemberDirectory } from './MemberDirectory.js'
import { OwnerQueries } from './OwnerQueries.js'
import { decodeProgressRow, decodeTombstoneRow, encodeRow, JOB_PREFIX, MIN_STEP_BYTES, Table } from './rows.js'
import type { ShardOwnership } from './ShardOwnership.js'
import { GateResultKind, StoreGate } from './StoreGate.js'

/** Options of {@link JobGateway.create}. */
export interface JobGatewayOptions {
  readonly timers: TimerService
  readonly log: EventLog
  readonly rows: RowStore
  readonly configuration: ConfigurationWatcher
  readonly shard: ShardOwnership
  readonly shardName: string
  readonly network: PeerTransport
  readonly metrics: Metrics
  readonly members: MemberDirectory
  readonly bounds: ConfigurationBounds
  /** Bytes that a row of the store may have at the most. */
  readonly rowBytes: number
}

/** A client's call: its queue, the path after the queue's prefix, and the permit for its writes if the queue needs a key. */
interface CallTarget {
  readonly answer?: undefined
  readonly queue: QueueRules
  readonly rest: string
  readonly permit?: WritePermit
}

/** Client API of a jobs daemon. */
export class JobGateway implements ClientApi {
  private stopping = false
  private readonly finalStates = FinalStates.create()
  private readonly queries: OwnerQueries
  private readonly writer: JobWriter
  private readonly guard: CallGuard
  private readonly gate: StoreGate
  /** More steps never fit into a row. */
  private readonly maxSteps: number

  private constructor (private readonly options: JobGatewayOptions) {
    this.maxSteps = Math.floor(options.rowBytes / MIN_STEP_BYTES)
    this.queries = OwnerQueries.create(options)
    this.guard = CallGuard.create(options)
    this.gate = StoreGate.create({ ...options, getOwnerAnswerAtMs: () => options.shard.ownerStoreAnswerAtMs })
    this.writer = JobWriter.create({ ...options, gate: this.gate, canServe: () => this.guard.canServe() })
  }

  static create (options: JobGatewayOptions): JobGateway {
    return new JobGateway(options)
  }

  isReady (): boolean {
    return !this.stopping && this.options.configuration.current !== undefined && this.guard.isReady() && this.options.rows.getTimeSinceAnswerMs() < clientOptions.storeSilentMs
  }

  isStopping (): boolean {
    return this.stopping
  }

  getLimits (): ClientLimits {
    return { ...this.options.configuration.current, maxSteps: this.maxSteps }
  }

  checkCall (req: ClientRequest): IngressAnswer | undefined {
    return this.findTarget(req).answer
  }

  /** Reports the daemon as stopping, so that the balancer opens no new connections. Requests are still served. */
  beginStop (): void {
    this.stopping = true
  }

  submit (req: ClientRequest, spec: JobSpec): Promise<IngressAnswer> {
    return this.measure('submit', this.trySubmit(req, spec))
  }

  query (req: ClientRequest): Promise<IngressAnswer> {
    return this.measure('look', this.tryQuery(req))
  }

  cancel (req: ClientRequest): Promise<IngressAnswer> {
    return this.measure('cancel', this.tryCancel(req))
  }

  /** Records the duration of a request and the kind of its answer. */
  private async measure (call: string, pending: Promise<IngressAnswer>): Promise<IngressAnswer> {
    const { timers, metrics } = this.options
    const startedAtMs = timers.now()
    const answer = await pending
    metrics.timing('request_ms', timers.now() - startedAtMs, { call, answer: answer.kind })
    return answer
  }

  private async trySubmit (req: ClientRequest, spec: JobSpec): Promise<IngressAnswer> {
    const target = this.findTarget(req)
    if (target.answer !== undefined) return target.answer
    const { queue, rest: id, permit } = target
    if (!isJobId(id)) return { kind: IngressAnswerKind.UnknownQueue }
    return this.store(this.toJob(id, queue, spec, permit?.team), req, permit)
  }

  private async tryQuery (req: ClientRequest): Promise<IngressAnswer> {
    const target = this.findTarget(req)
    if (target.answer !== undefined) return target.answer
    const { queue, rest } = target
    if (rest === '') return this.countPending(queue)
    if (!isJobId(rest)) return { kind: IngressAnswerKind.UnknownJob }
    const state = await this.findState(rest)
    if (state === 'unavailable') return this.refuse(rest, this.gate.isClosed() ? ResultCode.StoreSilent : ResultCode.JobStateUnavailable, 'store does not answer')
    return state === undefined ? { kind: IngressAnswerKind.UnknownJob } : { kind: IngressAnswerKind.State, state }
  }

  private async tryCancel (req: ClientRequest): Promise<IngressAnswer> {
    const target = this.findTarget(req)
    if (target.answer !== undefined) return target.answer
    const { rest: id, permit } = target
    if (!isJobId(id)) return { kind: IngressAnswerKind.UnknownJob }
    const { outcome, version } = await this.retryUnknown(req, (unsent) => this.writer.writeCancel(id, unsent, permit), permit)
    switch (outcome) {
      case WriteOutcome.Stored:
      case WriteOutcome.Exists:
        this.options.shard.owner?.cancelJob(id)
        this.sendToOwner({ kind: PeerMessageKind.CancelHint, shard: this.options.shardName, job: id })
        return { kind: IngressAnswerKind.Cancelled }
      case WriteOutcome.Cancelled:
      case WriteOutcome.Absent:
        if (version !== undefined) this.options.log.write(EventCode.JobBarred, { job: id, version })
        return { kind: IngressAnswerKind.UnknownJob }
      case WriteOutcome.NotDone: return this.explainLostPermit(req, permit) ?? this.refuseUnsent(id, 'cancel could not be stored')
      case WriteOutcome.Unknown: return { kind: IngressAnswerKind.OutcomeUnknown }
      default: throw exhaustiveSwitchError(outcome)
    }
  }

  /**
   * Finds the queue of a call and checks the call's key. Returns an answer instead if the key is refused, no queue matches or no
   * configuration has been read yet.
   */
  private findTarget (req: ClientRequest): { answer: IngressAnswer } | CallTarget {
    const { configuration } = this.options
    if (configuration.current === undefined) return { answer: this.refuse(findJobId(req.path), ResultCode.NoConfiguration, 'no configuration yet') }
    const queue = configuration.findQueue(req.host, req.path)
    if (queue === undefined) return { answer: this.guard.answerUnknownQueue(req) }
    const res = this.guard.check(req, queue)
    return res.answer !== undefined ? res : { queue, rest: req.path.slice(queue.pathPrefix.length), permit: res.permit }
  }

  /** Returns the answer to a call whose write was not begun because its permit ended, or undefined if it has not. */
  private explainLostPermit (req: ClientRequest, permit: WritePermit | undefined): IngressAnswer | undefined {
    return permit?.isValid() === false ? this.findTarget(req).answer : undefined
  }

  private toJob (id: string, queue: QueueRules, spec: JobSpec, team: string | undefined): AcceptedJob {
    return {
      id,
      queue: queue.name,
      pool: queue.pool,
      ...(team === undefined ? {} : { team }),
      spec,
      priority: queue.priority,
      maxAttempts: queue.maxAttempts,
      deadlineFactor: queue.deadlineFactor,
      targetLatencyMs: queue.targetLatencyMs,
      advice: queue.advice,
      acceptedAtMs: Math.round(this.options.rows.getStoreClockMs()),
      configurationVersion: this.options.configuration.current?.version ?? 0,
    }
  }

  /** Stores a job. An existing row is the same job, submitted before. */
  private async store (job: AcceptedJob, req: ClientRequest, permit: WritePermit | undefined): Promise<IngressAnswer> {
    const { timers, log } = this.options
    const startedAtMs = timers.now()
    const { rowBytes } = this.options
    if (getMaxSmallestProgressBytes(job.spec, job.maxAttempts) > rowBytes) return this.refuse(job.id, ResultCode.InvalidJob, 'job has more tasks than a row of the store can hold the progress of')
    const value = encodeRow(job)
    if (value.length > rowBytes) return this.refuse(job.id, ResultCode.InvalidJob, 'job does not fit into a row of the store')
    const { outcome, version } = await this.retryUnknown(req, (unsent) => this.writer.writeJob(job.id, value, unsent, permit), permit)
    const storeMs = Math.round(timers.now() - startedAtMs)
    switch (outcome) {
      case WriteOutcome.Stored:
      case WriteOutcome.Exists:
        log.write(EventCode.JobAccepted, { job: job.id, queue: job.queue, version, outcome, configuration: job.configurationVersion, storeMs })
        if (version !== undefined) this.announceJob(job, value, version)
        return { kind: IngressAnswerKind.Accepted }
      case WriteOutcome.NotDone:
      case WriteOutcome.Absent:
        return this.explainLostPermit(req, permit) ?? this.refuseUnsent(job.id, 'store took no write')
      case WriteOutcome.Cancelled: return this.refuse(job.id, ResultCode.JobCancelled, 'job was cancelled before it was stored')
      case WriteOutcome.Unknown:
        log.write(EventCode.JobOutcomeUnknown, { job: job.id, storeMs, storeSilentMs: Math.round(this.options.rows.getTimeSinceAnswerMs()) })
        return { kind: IngressAnswerKind.OutcomeUnknown }
      default: throw exhaustiveSwitchError(outcome)
    }
  }

  /**
   * Retries a write while its outcome is unknown, until shortly before the request's deadline or until the store counts as
   * silent. A definite outcome is returned at once, so that a refused client can try another daemon. `NotDone` is definite only
   * if no earlier attempt had an unknown outcome. A call that loses its permit is not retried.
   */
  private async retryUnknown (req: ClientRequest, write: (unsent: AbortSignal) => Promise<WriteResult>, permit: WritePermit | undefined): Promise<WriteResult> {
    const { timers } = this.options
    const untilMs = timers.now() + req.deadlineMs - clientOptions.deadlineReserveMs
    const result = await this.gate.run<WriteResult>(async (unsent) => {
      let mayBeStored = false
      for (;;) {
        const attempt = await write(unsent)
        mayBeStored ||= attempt.outcome === WriteOutcome.Unknown
        if (attempt.outcome !== WriteOutcome.Unknown && (attempt.outcome !== WriteOutcome.NotDone || !mayBeStored)) return attempt
        if (unsent.aborted || timers.now() + clientOptions.submitRetryMs >= untilMs) return { outcome: WriteOutcome.Unknown }
        await delay(timers, clientOptions.submitRetryMs)
        if (unsent.aborted || permit?.isValid() === false) return { outcome: WriteOutcome.Unknown }
      }
    })
    switch (result.kind) {
      case GateResultKind.Done: return result.value
      case GateResultKind.Refused: return { outcome: WriteOutcome.NotDone }
      case GateResultKind.GaveUp: return { outcome: WriteOutcome.Unknown }
    }
  }

  /** Passes a stored job to the owner: directly if this daemon owns the shard, otherwise as a message. */
  private announceJob (job: AcceptedJob, row: Uint8Array<ArrayBuffer>, version: number): void {
    const { shard, shardName } = this.options
    if (shard.owner !== undefined) shard.owner.addJob(job, version)
    else this.sendToOwner({ kind: PeerMessageKind.JobHint, shard: shardName, row, version })
  }

  private sendToOwner (message: PeerMessage): void {
    const remote = this.options.shard.remoteOwner
    if (remote !== undefined) this.options.network.send(remote.address, message)
  }

  private async countPending (queue: QueueRules): Promise<IngressAnswer> {
    const count = await this.queries.countPending(queue.name)
    if (count === undefined) return this.refuse(undefined, ResultCode.JobStateUnavailable, 'owner does not answer')
    return { kind: IngressAnswerKind.Pending, count }
  }

  /**
   * Finds a job's state in the cache, at the owner or in the store. Returns 'unavailable' if the owner returns no state and the
   * store does not answer, undefined if there is no such job.
   */
  private async findState (id: string): Promise<JobState | 'unavailable' | undefined> {
    const cached = this.finalStates.get(id)
    if (cached !== undefined) return cached
    const state = await this.queries.findState(id) ?? await this.readStateUnlessSilent(id)
    if (state !== undefined && state !== 'unavailable' && isFinalState(state)) this.finalStates.add(id, state)
    return state
  }

  /** Reads a job's state from the store, without waiting for a store that is silent. */
  private async readStateUnlessSilent (id: string): Promise<JobState | 'unavailable' | undefined> {
    const result = await this.gate.run(() => this.readState(id))
    return result.kind === GateResultKind.Done ? result.value : 'unavailable'
  }

  /** Reads a job's state from the store. Returns 'unavailable' if the store does not answer, undefined if it has no such job. */
  private async readState (id: string): Promise<JobState | 'unavailable' | undefined> {
    const { rows, shardName } = this.options
    const progress = await readRow(rows, { table: Table.Progress, part: shardName, key: id })
    if (!progress.ok) return 'unavailable'
    const state = progress.value === undefined ? undefined : decodeProgressRow(progress.value.value)?.state
    if (state !== undefined) return state
    const job = await readRow(rows, { table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}` })
    if (!job.ok) return 'unavailable'
    return job.value === undefined || decodeTombstoneRow(job.value.value) !== undefined ? undefined : JobState.Queued
  }

  /** Refuses a write that was not sent or that the store refused. */
  private refuseUnsent (job: string, reason: string): IngressAnswer {
    return this.gate.isClosed() ? this.refuse(job, ResultCode.StoreSilent, 'store is silent') : this.refuse(job, ResultCode.JobNotStored, reason)
  }

  private refuse (job: string | undefined, code: ResultCode, reason: string): IngressAnswer {
    this.options.log.write(EventCode.JobRefused, { job, code, reason, configuration: this.options.configuration.current?.version, storeSilentMs: Math.round(this.options.rows.getTimeSinceAnswerMs()) })
    this.options.metrics.increment('refusals', { code: String(code) })
    const isWrite = code === ResultCode.StoreSilent || code === ResultCode.JobNotStored
    return { kind: IngressAnswerKind.Refused, code, retryAfterMs: isWrite && job !== undefined ? spreadRetryAfter(job, clientOptions.writeRetryAfterMs) : clientOptions.retryAfterMs }
  }
}
