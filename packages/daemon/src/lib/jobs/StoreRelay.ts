/**
 * Makes calls to the store for an owner whose own connections to it fail.
 */
import type { EventLog, TimerService } from '@vanillathread/kernel'
import { EventCode, type Result } from '@vanillathread/model'
import { StoreFailureKind, type RowStore, type StoreFailure } from '@vanillathread/ports'
import { PeerMessageKind } from '../peer/messages.js'
import type { PeerTransport } from '../peer/PeerTransport.js'
import { shardOptions } from './jobOptions.js'
import { decodeStoreCall, encodeStoreAnswer, type StoreAnswer, type StoreCall } from './storeCallCodec.js'

/** Options of {@link StoreRelay.create}. */
export interface StoreRelayOptions {
  readonly network: PeerTransport
  /** Client on this daemon's own connections, so that no call goes through two relays. */
  readonly rows: RowStore
  readonly timers: TimerService
  readonly log: EventLog
}

/**
 * Passes on calls and the store's answers. It decides nothing and keeps nothing: a transaction is conditional on the owner row, so
 * a late copy or one of a superseded owner fails in the store.
 */
export class StoreRelay {
  private constructor (private readonly options: StoreRelayOptions) {
    options.network.on(PeerMessageKind.StoreCall, ({ seq, call: encoded }, reply) => {
      const call = decodeStoreCall(encoded)
      if (call === undefined) {
        options.log.write(EventCode.PeerFrameInvalid, { reason: 'call to the store of another form' })
        return
      }
      this.answer(call).then((answer) => reply({ kind: PeerMessageKind.StoreAnswer, seq, answer: encodeStoreAnswer(answer) }))
    })
  }

  static create (options: StoreRelayOptions): StoreRelay {
    return new StoreRelay(options)
  }

  private async answer (call: StoreCall): Promise<StoreAnswer> {
    const { rows, timers } = this.options
    if (rows.getTimeSinceAnswerMs() >= shardOptions.relayStoreSilentMs) {
      return { outcome: { failure: StoreFailureKind.NotDone, reason: 'the store does not answer the relay', unanswered: true } }
    }
    const receivedAtMs = timers.now()
    const outcome = await this.call(call)
    const reading = rows.getStoreClockReading()
    // An older reading may be from before the owner sent the call.
    const isCurrent = reading !== undefined && timers.now() - reading.sentAgoMs >= receivedAtMs
    return isCurrent ? { outcome, clockMs: reading.clockMs } : { outcome }
  }

  private async call (call: StoreCall): Promise<StoreAnswer['outcome']> {
    const { rows } = this.options
    if ('transact' in call) return toOutcome(await rows.transact(call.transact), (commit) => ({ commit }))
    const res = 'range' in call ? await rows.readRange(call.range) : await rows.readFeed(call.feed.table, call.feed.afterVersion, 0)
    return toOutcome(res, ({ rows: page, version, hasMore }) => ({ page: { rows: [...page], version, hasMore } }))
  }
}

function toOutcome<T> (res: Result<T, StoreFailure>, encode: (value: T) => StoreAnswer['outcome']): StoreAnswer['outcome'] {
  if (res.ok) return encode(res.value)
  const { error } = res
  if (error.kind === StoreFailureKind.Conflict) return { conflict: [...error.rows] }
  return { failure: error.kind, reason: error.reason, busy: error.busy, unanswered: error.unanswered }
}
