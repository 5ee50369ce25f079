/**
 * Failures of calls to the platform.
 */
import { ResultCode, exhaustiveSwitchError } from '@vanillathread/model'

/** Kinds of {@link PlatformError}. @public */
export enum PlatformErrorKind {
  /** The call was not executed. */
  Unavailable = 'unavailable',
  /** A condition of the transaction does not hold, so nothing was written. */
  Conflict = 'conflict',
  /** Unknown outcome: the call may or may not have taken effect. */
  OutcomeUnknown = 'outcome-unknown',
}

/** A failed call; `keys` are those of the conditions that don't hold. @public */
export type PlatformError =
  | { readonly kind: PlatformErrorKind.Unavailable, readonly reason: string }
  | { readonly kind: PlatformErrorKind.Conflict, readonly keys: readonly string[] }
  | { readonly kind: PlatformErrorKind.OutcomeUnknown, readonly reason: string }

/** Returns the result code of a platform error. @public */
export function getPlatformResultCode (error: PlatformError): ResultCode {
  switch (error.kind) {
    case PlatformErrorKind.Unavailable: return ResultCode.PlatformUnavailable
    case PlatformErrorKind.Conflict: return ResultCode.PlatformConflict
    case PlatformErrorKind.OutcomeUnknown: return ResultCode.PlatformOutcomeUnknown
    default: throw exhaustiveSwitchError(error)
  }
}
