/**
 * Writes jobs and cancellations to the store: directly, and through another daemon if the direct write is slow or fails.
 */
import { delay, type TimerService } from '@vanillathread/kernel'
import { readRow, StoreFailureKind, type RowStore } from '@vanillathread/ports'
import { PeerMessageKind, WriteOutcome, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import type { WritePermit } from './CallGuard.js'
import { clientOptions } from './jobOptions.js'
import { JobRowBatcher, toOutcome, type WriteResult } from './JobRowBatcher.js'
import type { MemberDirectory } from './MemberDirectory.js'
import { PendingRequests } from './PendingRequests.js'
import { CANCEL_PREFIX, decodeJobRow, decodeTombstoneRow, encodeRow, JOB_PREFIX, NO_TEAM, Table } from './rows.js'
import type { ShardOwnership } from './ShardOwnership.js'
import { GateResultKind, type StoreGate } from './StoreGate.js'

/** Options of {@link JobWriter.create}. */
export interface JobWriterOptions {
  readonly timers: TimerService
  readonly rows: RowStore
  readonly network: PeerTransport
  readonly shard: ShardOwnership
  readonly shardName: string
  readonly members: MemberDirectory
  readonly gate: StoreGate
  /** Returns true if this daemon's configuration is current enough to write for calls with keys that another daemon checked. */
  canServe (): boolean
}

/**
 * The write that another daemon is asked to carry out: an encoded job, or the id of a job to cancel. For a call with a key,
 * `untilMs` is the time on the store's clock until which the sender's check of the key holds.
 */
type RelayedWrite = Omit<PeerMessageOf<PeerMessageKind.WriteRequest>, 'kind' | 'seq'>

/**
 * Writes each row directly and, if necessary, through one other daemon. Both writes are safe together: a job's row is written
 * only if there is neither one nor a tombstone, and a repeated cancellation has no further effect.
 */
export class JobWriter {
  private nextPeerIndex = 0
  private readonly jobRows: JobRowBatcher
  private readonly pendingRequests: PendingRequests<WriteResult>

  private constructor (private readonly options: JobWriterOptions) {
    this.jobRows = JobRowBatcher.create({ ...options, onBusy: () => options.gate.recordAnswer() })
    this.pendingRequests = PendingRequests.create(options.timers)
    options.network.on(PeerMessageKind.WriteRequest, ({ kind, seq, ...write }, reply) => {
      this.writeForPeer(write).then((result) => reply({ kind: PeerMessageKind.WriteAnswer, seq, ...result }))
    })
    options.network.on(PeerMessageKind.WriteAnswer, ({ seq, outcome, version }) => {
      if (isDefinite({ outcome })) options.gate.recordAnswer()
      this.pendingRequests.settle(seq, { outcome, version })
    })
  }

  static create (options: JobWriterOptions): JobWriter {
    return new JobWriter(options)
  }

  /** Writes a job's row. Without a permit the call needs no key. Nothing is sent any more once `unsent` is aborted. */
  writeJob (id: string, value: Uint8Array<ArrayBuffer>, unsent: AbortSignal, permit?: WritePermit): Promise<WriteResult> {
    return this.hedge(() => this.jobRows.write(id, value, unsent, permit), () => this.relay({ job: value }, permit), unsent)
  }

  /** Writes the cancellation of a job, which is absent for callers of other teams. Nothing is sent any more once `unsent` is aborted. */
  writeCancel (id: string, unsent: AbortSignal, permit?: WritePermit): Promise<WriteResult> {
    return this.hedge(() => this.writeCancelDirectly(id, permit, unsent), () => this.relay({ cancel: id }, permit), unsent)
  }

  /** Returns the first definite outcome of one way to write, and of a second one if the first is slow or has no definite outcome. */
  private async hedge (writeFirst: () => Promise<WriteResult>, writeSecond: () => Promise<WriteResult>, unsent: AbortSignal): Promise<WriteResult> {
    const first = writeFirst()
    const early = await Promise.race([first, delay(this.options.timers, clientOptions.hedgeAfterMs)])
    if (early !== undefined && isDefinite(early)) return early
    if (unsent.aborted) return first
    const second = writeSecond()
    const winner = await Promise.race([first, second])
    if (isDefinite(winner)) return winner
    return combineResults(await first, await second)
  }

  /**
   * Writes for another daemon, which checked the call's key. A message may wait in a socket, so the check expires on the store's
   * clock; as this daemon's reading of that clock is wrong just after a suspension, its configuration must be current too.
   */
  private async writeForPeer ({ job, cancel, team, untilMs }: RelayedWrite): Promise<WriteResult> {
    const { rows, canServe, gate } = this.options
    const permit = untilMs === undefined ? undefined : { team, isValid: () => rows.getStoreClockMs() < untilMs && canServe() }
    const id = job === undefined ? undefined : decodeJobRow(job)?.id
    const result = await gate.run<WriteResult>(async (unsent) => {
      if (cancel !== undefined) return this.writeCancelDirectly(cancel, permit, unsent)
      return job === undefined || id === undefined ? { outcome: WriteOutcome.NotDone } : this.jobRows.write(id, job, unsent, permit)
    })
    switch (result.kind) {
      case GateResultKind.Done: return result.value
      case GateResultKind.Refused: return { outcome: WriteOutcome.NotDone }
      case GateResultKind.GaveUp: return { outcome: WriteOutcome.Unknown }
    }
  }

  private async writeCancelDirectly (id: string, permit: WritePermit | undefined, unsent: AbortSignal): Promise<WriteResult> {
    const { rows, shardName } = this.options
    const jobKey = { table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}` }
    const job = await readRow(rows, jobKey)
    if (!job.ok || unsent.aborted) return { outcome: WriteOutcome.NotDone }
    const tombstone = job.value && decodeTombstoneRow(job.value.value)
    if (job.value === undefined || tombstone !== undefined) return this.writeTombstone(id, { version: job.value?.version ?? 0, teams: tombstone?.teams ?? [] }, permit, unsent)
    const team = decodeJobRow(job.value.value)?.team
    if (team !== undefined && team !== permit?.team) return { outcome: WriteOutcome.Absent }
    if (permit?.isValid() === false) return { outcome: WriteOutcome.NotDone }
    const key = { table: Table.Jobs, part: shardName, key: `${CANCEL_PREFIX}${id}` }
    const res = await rows.transact({
      conditions: [{ ...jobKey, version: job.value.version }],
      puts: [{ ...key, value: encodeRow({ atMs: Math.round(rows.getStoreClockMs()) }) }],
      removes: [],
    })
    if (res.ok) return { outcome: WriteOutcome.Stored, version: res.value.version }
    // The row of a job is never written again, so a conflict means that it was removed.
    return { outcome: res.error.kind === StoreFailureKind.Conflict ? WriteOutcome.Absent : toOutcome(res.error) }
  }

  /** Keeps a job that has no row, or a tombstone, from being written. Cancels the job if it has been written meanwhile. */
  private async writeTombstone (id: string, former: { readonly version: number, readonly teams: readonly string[] }, permit: WritePermit | undefined, unsent: AbortSignal): Promise<WriteResult> {
    const { rows, shardName } = this.options
    if (permit?.isValid() === false) return { outcome: WriteOutcome.NotDone }
    // A caller with a team may also cancel a job without one.
    const teams = new Set([...former.teams, NO_TEAM, permit?.team ?? NO_TEAM])
    if (teams.size === former.teams.length) return { outcome: WriteOutcome.Absent, version: former.version }
    const key = { table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}` }
    const res = await rows.transact({
      conditions: [{ ...key, version: former.version }],
      puts: [{ ...key, value: encodeRow({ cancelledAtMs: Math.round(rows.getStoreClockMs()), teams: [...teams] }) }],
      removes: [],
    })
    if (res.ok) return { outcome: WriteOutcome.Absent, version: res.value.version }
    return res.error.kind === StoreFailureKind.Conflict ? this.writeCancelDirectly(id, permit, unsent) : { outcome: toOutcome(res.error) }
  }

  /** Sends a write to the owner or, if no other daemon is known to be the owner, to the next of the other daemons in turn. */
  private async relay (request: RelayedWrite, permit: WritePermit | undefined): Promise<WriteResult> {
    if (permit?.isValid() === false) return { outcome: WriteOutcome.NotDone }
    const { network, shard, members, rows } = this.options
    const others = members.others
    const address = shard.remoteOwner?.address ?? others[this.nextPeerIndex++ % Math.max(1, others.length)]?.address
    if (address === undefined) return { outcome: WriteOutcome.NotDone }
    const check = permit === undefined ? {} : { team: permit.team, untilMs: Math.round(rows.getStoreClockMs() + clientOptions.relayAnswerMs) }
    return this.pendingRequests.request(
      (seq) => network.send(address, { kind: PeerMessageKind.WriteRequest, seq, ...request, ...check }),
      clientOptions.relayAnswerMs, { outcome: WriteOutcome.Unknown })
  }
}

function isDefinite ({ outcome }: WriteResult): boolean {
  return outcome === WriteOutcome.Stored || outcome === WriteOutcome.Exists || outcome === WriteOutcome.Absent || outcome === WriteOutcome.Cancelled
}

/** Combines two outcomes: the write is known not to be done only if that holds for both attempts. */
function combineResults (first: WriteResult, second: WriteResult): WriteResult {
  if (isDefinite(first)) return first
  if (isDefinite(second)) return second
  const notDone = first.outcome === WriteOutcome.NotDone && second.outcome === WriteOutcome.NotDone
  return { outcome: notDone ? WriteOutcome.NotDone : WriteOutcome.Unknown }
}
