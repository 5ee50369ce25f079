/**
 * Builds the error for a `switch` over a union that met a value outside of it.
 *
 * @param value - the value that no case handled; its type is `never` when every case is present.
 * @public
 */
export function exhaustiveSwitchError (value: never): Error {
  return new Error(`unhandled case: ${JSON.stringify(value)}`)
}
