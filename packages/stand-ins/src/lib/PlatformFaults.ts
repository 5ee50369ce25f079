/**
 * Faults of the platform that tests switch on.
 */

/** What happens to platform calls. */
export enum PlatformFault {
  None = 'none',
  /** Calls are not executed. */
  Down = 'down',
  /** Calls are executed late. */
  Slow = 'slow',
  /** Writes are executed and their answers are lost. */
  AnswerLost = 'answer-lost',
}

/** Faults in force. */
export class PlatformFaults {
  fault = PlatformFault.None
  /** Delay of each call while the platform is slow, in milliseconds. */
  slowMs = 500
  /** True where the fleet list stays as it was when this was set. */
  staleList = false

  private constructor () {}

  static create (): PlatformFaults {
    return new PlatformFaults()
  }
}
