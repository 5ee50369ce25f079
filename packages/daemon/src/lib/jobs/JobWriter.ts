/**
 * Writes jobs and cancels to the store: from here, and over another daemon where the store does not answer this one.
 */
import type { TimerService } from '@vanillathread/kernel'
import { readRow, StoreFailureKind, type RowStore, type StoreFailure } from '@vanillathread/ports'
import { PeerMessageKind, WriteOutcome, type PeerMessageOf } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { clientOptions } from './jobOptions.js'
import type { Members } from './Members.js'
import { PendingAnswers } from './PendingAnswers.js'
import { CANCEL_PREFIX, decodeJobRow, encodeRow, JOB_PREFIX, Table } from './rows.js'
import type { ShardWatch } from './ShardWatch.js'

/** Options of {@link JobWriter.create}. */
export interface JobWriterOptions {
  readonly timers: TimerService
  readonly rows: RowStore
  readonly network: PeerTransport
  readonly shard: ShardWatch
  readonly shardName: string
  readonly members: Members
}

/** What became of a write. */
export interface WriteResult {
  readonly outcome: WriteOutcome
  /** Version of the row where this write made it. */
  readonly version?: number
}

type Relayed = Pick<PeerMessageOf<PeerMessageKind.WriteRequest>, 'job' | 'cancel'>

/** Writes once each; a row has the same condition whoever writes it. */
export class JobWriter {
  private nextPeer = 0
  private readonly answers: PendingAnswers<WriteResult>

  private constructor (private readonly options: JobWriterOptions) {
    this.answers = PendingAnswers.create(options.timers)
    options.network.on(PeerMessageKind.WriteRequest, ({ seq, job, cancel }, reply) => {
      this.writeFor({ job, cancel }).then((result) => reply({ kind: PeerMessageKind.WriteAnswer, seq, ...result }))
    })
    options.network.on(PeerMessageKind.WriteAnswer, ({ seq, outcome, version }) => { this.answers.settle(seq, { outcome, version }) })
  }

  static create (options: JobWriterOptions): JobWriter {
    return new JobWriter(options)
  }

  writeJob (id: string, value: Uint8Array<ArrayBuffer>): Promise<WriteResult> {
    return this.hedge(this.writeJobHere(id, value), { job: value })
  }

  writeCancel (id: string): Promise<WriteResult> {
    return this.hedge(this.writeCancelHere(id), { cancel: id })
  }

  /** Takes the first definite outcome; asks another daemon where the store is slow to answer, or refuses. */
  private async hedge (here: Promise<WriteResult>, request: Relayed): Promise<WriteResult> {
    const first = await Promise.race([here, this.waitForHedge()])
    if (first !== undefined && isDefinite(first)) return first
    const relayed = this.relay(request)
    const winner = await Promise.race([here, relayed])
    if (isDefinite(winner)) return winner
    return combine(await here, await relayed)
  }

  private waitForHedge (): Promise<undefined> {
    return new Promise((resolve) => { this.options.timers.after(clientOptions.hedgeAfterMs, () => resolve(undefined)) })
  }

  private async writeFor ({ job, cancel }: Relayed): Promise<WriteResult> {
    if (cancel !== undefined) return this.writeCancelHere(cancel)
    const id = job === undefined ? undefined : decodeJobRow(job)?.id
    if (job === undefined || id === undefined) return { outcome: WriteOutcome.NotDone }
    return this.writeJobHere(id, job)
  }

  private async writeJobHere (id: string, value: Uint8Array): Promise<WriteResult> {
    const { rows, shardName } = this.options
    const key = { table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}` }
    const res = await rows.transact({ conditions: [{ ...key, version: 0 }], puts: [{ ...key, value }], removes: [] })
    if (res.ok) return { outcome: WriteOutcome.Stored, version: res.value.version }
    return { outcome: toOutcome(res.error) }
  }

  private async writeCancelHere (id: string): Promise<WriteResult> {
    const { rows, shardName } = this.options
    const job = await readRow(rows, { table: Table.Jobs, part: shardName, key: `${JOB_PREFIX}${id}` })
    if (!job.ok) return { outcome: WriteOutcome.NotDone }
    if (job.value === undefined) return { outcome: WriteOutcome.Absent }
    const key = { table: Table.Jobs, part: shardName, key: `${CANCEL_PREFIX}${id}` }
    const res = await rows.transact({ conditions: [], puts: [{ ...key, value: encodeRow({ atMs: Math.round(rows.nowMs()) }) }], removes: [] })
    return res.ok ? { outcome: WriteOutcome.Stored, version: res.value.version } : { outcome: toOutcome(res.error) }
  }

  private async relay (request: Relayed): Promise<WriteResult> {
    const { network, shard, members } = this.options
    const others = members.others
    const address = shard.remoteOwner?.address ?? others[this.nextPeer++ % Math.max(1, others.length)]
    if (address === undefined) return { outcome: WriteOutcome.NotDone }
    return this.answers.ask(
      (seq) => network.send(address, { kind: PeerMessageKind.WriteRequest, seq, ...request }),
      clientOptions.relayAnswerMs, { outcome: WriteOutcome.Unknown })
  }
}

function toOutcome (failure: StoreFailure): WriteOutcome {
  if (failure.kind === StoreFailureKind.Conflict) return WriteOutcome.Exists
  return failure.kind === StoreFailureKind.Unknown ? WriteOutcome.Unknown : WriteOutcome.NotDone
}

function isDefinite ({ outcome }: WriteResult): boolean {
  return outcome === WriteOutcome.Stored || outcome === WriteOutcome.Exists || outcome === WriteOutcome.Absent
}

/** Nothing was done only where neither way did anything. */
function combine (here: WriteResult, relayed: WriteResult): WriteResult {
  if (isDefinite(here)) return here
  if (isDefinite(relayed)) return relayed
  const notDone = here.outcome === WriteOutcome.NotDone && relayed.outcome === WriteOutcome.NotDone
  return { outcome: notDone ? WriteOutcome.NotDone : WriteOutcome.Unknown }
}
