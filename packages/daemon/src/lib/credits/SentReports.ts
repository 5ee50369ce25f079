/**
 * Messages with reports that the lender has not answered yet.
 */
import type { ReportEntry } from './creditMessages.js'

/** What a message held. */
export interface SentMessage {
  /** Monotonic time of sending. */
  readonly sentMs: number
  readonly reports: ReadonlyMap<string, ReportEntry>
  /** Services that were left out as unchanged. */
  readonly unchanged: readonly string[]
}

const MAX_UNANSWERED = 1_000

/** Numbers messages and remembers those that wait for an answer. */
export class SentReports {
  private readonly messages = new Map<number, SentMessage>()
  private nextReportId = 1

  private constructor () {}

  static create (): SentReports {
    return new SentReports()
  }

  /** Remembers a message. @returns its number. */
  add (message: SentMessage): number {
    const reportId = this.nextReportId++
    this.messages.set(reportId, message)
    // Answers to messages this old will not come any more.
    this.messages.delete(reportId - MAX_UNANSWERED)
    return reportId
  }

  /** Returns and forgets a message; an answer counts once. */
  take (reportId: number): SentMessage | undefined {
    const message = this.messages.get(reportId)
    this.messages.delete(reportId)
    return message
  }
}
