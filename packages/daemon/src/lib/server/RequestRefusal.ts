/**
 * A request that is refused before it is handled.
 */
import { RESULT_CODES, type ResultCode } from '@vanillathread/model'

/** Thrown while a request is read. */
export class RequestRefusal extends Error {
  constructor (readonly code: ResultCode, readonly detail?: string) {
    super(detail ?? RESULT_CODES[code].title)
  }
}
