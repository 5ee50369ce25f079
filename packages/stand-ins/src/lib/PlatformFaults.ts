/**
 * Faults of the platform that tests switch on.
 */

/** Faults of platform calls. */
export enum PlatformFault {
  None = 'none',
  /** Calls fail as unavailable and are not executed. */
  Down = 'down',
  /** Calls are executed after a delay. */
  Slow = 'slow',
  /** Calls are executed and their answers are lost; `PlatformServer` loses only the answers to writes. */
  AnswerLost = 'answer-lost',
}

/** The faults that are switched on. */
export class PlatformFaults {
  fault = PlatformFault.None
  /** Delay of each call while the platform is slow, in milliseconds. */
  slowMs = 500
  /** True if fleet list calls repeat the list that was returned last. */
  staleList = false

  private constructor () {}

  static create (): PlatformFaults {
    return new PlatformFaults()
  }
}
