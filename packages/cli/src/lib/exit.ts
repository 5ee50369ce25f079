/**
 * Exit statuses of the command-line tool. docs/OPERATING.md holds the same table.
 */
import { ResultCode } from '@vanillathread/model'

/** Exit statuses. @public */
export enum CliExit {
  Done = 0,
  /** Unexpected failure. */
  Failed = 1,
  /** Arguments are not valid. */
  Usage = 2,
  /** A file has faults; nothing was changed. */
  BadDeclarations = 3,
  /** The accepted configuration is not the version that the edit was based on; nothing was changed. */
  Conflict = 4,
  /** The platform or a daemon cannot be reached; nothing was changed. */
  Unavailable = 5,
  /** The outcome of a write is not known; run the same command with the same `--apply-id` again. */
  OutcomeUnknown = 6,
  /** Accepted, but not in force everywhere when the wait ended. */
  NotInForce = 7,
  /** The named object does not exist. */
  NotFound = 8,
}

const EXIT_BY_CODE: ReadonlyMap<ResultCode, CliExit> = new Map([
  [ResultCode.VersionConflict, CliExit.Conflict],
  [ResultCode.NothingToApply, CliExit.Done],
  [ResultCode.PlatformUnavailable, CliExit.Unavailable],
  [ResultCode.PlatformConflict, CliExit.Conflict],
  [ResultCode.PlatformOutcomeUnknown, CliExit.OutcomeUnknown],
  [ResultCode.RolloutIncomplete, CliExit.NotInForce],
  [ResultCode.NotFound, CliExit.NotFound],
  [ResultCode.FileUnreadable, CliExit.BadDeclarations],
])

/** Returns the exit status of a result code. */
export function getExitStatus (code: ResultCode): CliExit {
  return EXIT_BY_CODE.get(code) ?? CliExit.Failed
}
