/**
 * The outcome of an operation whose failure the caller must handle.
 */

/** A successful outcome. @public */
export interface Ok<T> {
  readonly ok: true
  readonly value: T
}

/** A failed outcome. @public */
export interface Err<E> {
  readonly ok: false
  readonly error: E
}

/** Either a value or a typed error. @public */
export type Result<T, E> = Ok<T> | Err<E>

/**
 * Constructors of {@link (Result:type)}.
 *
 * @example
 * ```ts
 * const res = Result.ok(3)
 * if (res.ok) use(res.value)
 * ```
 * @public
 */
export const Result = {
  ok<T> (value: T): Ok<T> {
    return { ok: true, value }
  },
  err<E> (error: E): Err<E> {
    return { ok: false, error }
  },
}
