/**
 * Builds the error that the default case of a `switch` throws if no other case matches.
 *
 * @param value - the value without a case; the type `never` makes a missing case a compile error.
 * @public
 */
export function exhaustiveSwitchError (value: never): Error {
  return new Error(`unhandled case: ${JSON.stringify(value)}`)
}
