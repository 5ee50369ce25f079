/**
 * Compact forms of what is stored for the tasks of a step: sets of indexes, and a value for each of some tasks where few values differ.
 */

/** First byte of an encoded set of indexes. */
enum SetForm {
  /** A bit for each index, the lowest of the first byte being that of 0. */
  Bits = 0,
  /** For each run of indexes that follow each other: the gap before it, and its length less one, as variable-length numbers. */
  Runs = 1,
}

/** Encodes ascending indexes in the shorter of both forms. */
export function encodeIndexes (indexes: readonly number[]): Uint8Array {
  const bitBytes = ((indexes.at(-1) ?? -1) >> 3) + 1
  const runs: number[] = [SetForm.Runs]
  let next = 0
  for (let position = 0; position < indexes.length && runs.length <= bitBytes + 1;) {
    const from = indexes[position] ?? 0
    let length = 1
    while (indexes[position + length] === from + length) length += 1
    pushNumber(runs, from - next)
    pushNumber(runs, length - 1)
    next = from + length
    position += length
  }
  return runs.length <= bitBytes + 1 ? Uint8Array.from(runs) : toBits(indexes, bitBytes)
}

/** Decodes a set of indexes below `limit`; other indexes are left out. */
export function decodeIndexes (bytes: Uint8Array, limit: number): number[] {
  const indexes: number[] = []
  const push = (index: number): void => { if (index < limit) indexes.push(index) }
  if (bytes[0] === SetForm.Bits) {
    for (let index = 0; index < (bytes.length - 1) * 8; index++) if (((bytes[1 + (index >> 3)] ?? 0) & (1 << (index & 7))) !== 0) push(index)
    return indexes
  }
  for (let position = 1, next = 0; position < bytes.length && next < limit;) {
    const gap = readNumber(bytes, position)
    const rest = readNumber(bytes, gap.end)
    position = rest.end
    const from = next + gap.value
    next = from + rest.value + 1
    for (let index = from; index < Math.min(next, limit); index++) push(index)
  }
  return indexes
}

/**
 * Values of some tasks: the values that occur, and for each bit of a value's number, the lowest first, the set of the tasks in whose numbers it is set. The
 * first value has the number 1.
 */
export type CodedValues<Value> = readonly [values: readonly Value[], planes: readonly Uint8Array[]]

/**
 * Encodes a value for each of some tasks, by index in ascending order. The most frequent values come first, so that most tasks are in one set only.
 *
 * @param getKey - returns a string that is the same for equal values.
 */
export function encodeValues<Value> (entries: ReadonlyArray<readonly [index: number, value: Value]>, getKey: (value: Value) => string): CodedValues<Value> {
  const counts = new Map<string, { value: Value, count: number }>()
  for (const [, value] of entries) {
    const key = getKey(value)
    const known = counts.get(key)
    if (known === undefined) counts.set(key, { value, count: 1 })
    else known.count += 1
  }
  const ordered = [...counts].sort(([, a], [, b]) => b.count - a.count)
  const numbers = new Map(ordered.map(([key], position) => [key, position + 1]))
  const planes: number[][] = []
  for (const [index, value] of entries) {
    const number = numbers.get(getKey(value)) ?? 0
    for (let plane = 0; number >> plane !== 0; plane++) {
      const indexes = planes[plane] ??= []
      if (((number >> plane) & 1) !== 0) indexes.push(index)
    }
  }
  return [ordered.map(([, { value }]) => value), planes.map((indexes) => encodeIndexes(indexes))]
}

/** Decodes the values of tasks whose indexes are below `limit`. */
export function decodeValues<Value> ([values, planes]: CodedValues<Value>, limit: number): Array<readonly [index: number, value: Value]> {
  const numbers = new Map<number, number>()
  for (const [plane, bytes] of planes.entries()) for (const index of decodeIndexes(bytes, limit)) numbers.set(index, (numbers.get(index) ?? 0) | (1 << plane))
  const entries: Array<readonly [number, Value]> = []
  for (const [index, number] of numbers) {
    const value = values[number - 1]
    if (value !== undefined) entries.push([index, value])
  }
  return entries.sort(([a], [b]) => a - b)
}

function toBits (indexes: readonly number[], byteCount: number): Uint8Array {
  const bytes = new Uint8Array(byteCount + 1)
  bytes[0] = SetForm.Bits
  for (const index of indexes) bytes[1 + (index >> 3)] = (bytes[1 + (index >> 3)] ?? 0) | (1 << (index & 7))
  return bytes
}

/** Appends a whole number below 2^28, seven bits a byte, the lowest first. */
function pushNumber (bytes: number[], value: number): void {
  let rest = value
  for (; rest > 0x7f; rest >>= 7) bytes.push((rest & 0x7f) | 0x80)
  bytes.push(rest)
}

function readNumber (bytes: Uint8Array, position: number): { readonly value: number, readonly end: number } {
  let value = 0
  let end = position
  for (let unit = 1; ; unit *= 0x80) {
    const byte = bytes[end] ?? 0
    end += 1
    value += (byte & 0x7f) * unit
    if ((byte & 0x80) === 0 || end >= bytes.length) return { value, end }
  }
}
