/**
 * Keeps the steps of the latest requests for `vanillathread explain request`.
 */
import type { ResultCode } from '@vanillathread/model'

/** Kinds of steps from the arrival of a request to its outcome. @public */
export enum RequestStep {
  Received = 'received',
  Claimed = 'claimed',
  Queued = 'queued',
  AttemptStarted = 'attempt-started',
  HedgeStarted = 'hedge-started',
  AttemptEnded = 'attempt-ended',
  Answered = 'answered',
  Refused = 'refused',
  CallerWentAway = 'caller-went-away',
}

/** One step of a request. @public */
export interface JournalEntry {
  /** Monotonic time in milliseconds. */
  readonly atMs: number
  readonly step: RequestStep
  readonly endpointId?: string
  /** Kind of an attempt's outcome. */
  readonly outcome?: string
  readonly code?: ResultCode
}

/** The steps of the latest requests. */
export class RequestJournal {
  private readonly entries = new Map<string, JournalEntry[]>()

  private constructor (private readonly limit: number) {}

  /** @param options - `limit` is the number of requests that are kept. */
  static create (options: { limit: number }): RequestJournal {
    return new RequestJournal(options.limit)
  }

  record (requestId: string, entry: JournalEntry): void {
    const entries = this.entries.get(requestId)
    if (entries !== undefined) {
      entries.push(entry)
      return
    }
    this.entries.set(requestId, [entry])
    if (this.entries.size > this.limit) this.dropOldest()
  }

  /** Returns the steps of a request, or undefined if they are no longer kept. */
  find (requestId: string): readonly JournalEntry[] | undefined {
    return this.entries.get(requestId)
  }

  private dropOldest (): void {
    const oldest = this.entries.keys().next()
    if (oldest.done !== true) this.entries.delete(oldest.value)
  }
}
