/**
 * Messages with reports that the lender has not answered yet.
 */
import type { ReportEntry } from './creditMessages.js'

/** Content of a message with reports. */
export interface SentMessage {
  /** Monotonic time of sending. */
  readonly sentMs: number
  /** Reports in the message, by service id. */
  readonly reports: ReadonlyMap<string, ReportEntry>
  /** Ids of the services that were left out as unchanged. */
  readonly unchanged: readonly string[]
}

/** Most messages that are kept without an answer. */
const MAX_UNANSWERED = 1_000

/** Numbers messages and keeps those that wait for an answer. */
export class SentReports {
  private readonly messages = new Map<number, SentMessage>()
  private nextReportId = 1

  private constructor () {}

  static create (): SentReports {
    return new SentReports()
  }

  /** Adds a message. @returns its report id. */
  add (message: SentMessage): number {
    const reportId = this.nextReportId++
    this.messages.set(reportId, message)
    // A message this old will not be answered any more.
    this.messages.delete(reportId - MAX_UNANSWERED)
    return reportId
  }

  /** Removes a message and returns it, or undefined if it is not kept, so that a repeated answer has no effect. */
  take (reportId: number): SentMessage | undefined {
    const message = this.messages.get(reportId)
    this.messages.delete(reportId)
    return message
  }
}
