/**
 * A buffer that grows with the parts that are added to it.
 */

/** Sizes of the first segment and of the largest ones, in bytes. */
const FIRST_SEGMENT_BYTES = 4 * 1024
const MAX_SEGMENT_BYTES = 64 * 1024

/** Segments that are kept for the next buffer: freed memory would stay with the process until its heap is collected. */
const MAX_SPARE_SEGMENTS = 128
const spareSegments: Buffer[] = []

/**
 * Collects parts by copying them into segments. Small parts that are kept as they are take many times their size, as each is an object
 * and may keep the whole read that it belongs to.
 */
export class GrowingBuffer {
  private segments: Buffer[] = []
  /** Bytes of the last segment that are used. */
  private usedBytes = 0
  private capacityBytes = 0

  private constructor () {}

  static create (): GrowingBuffer {
    return new GrowingBuffer()
  }

  get length (): number {
    return this.capacityBytes - this.freeBytes
  }

  /** Bytes of memory that the buffer takes. */
  get capacity (): number {
    return this.capacityBytes
  }

  /** Adds a part of a content that has `expectedBytes`, or more. */
  append (part: Uint8Array, expectedBytes: number): void {
    for (let start = 0; start < part.length;) {
      if (this.freeBytes === 0) this.addSegment(part.length - start, expectedBytes - this.length)
      const copied = part.subarray(start, start + this.freeBytes)
      this.segments.at(-1)?.set(copied, this.usedBytes)
      this.usedBytes += copied.length
      start += copied.length
    }
  }

  /** Returns the content and leaves the buffer empty. */
  take (): Buffer {
    const [first] = this.segments
    if (first === undefined || this.segments.length > 1) {
      const content = Buffer.concat(this.segments, this.length)
      this.clear()
      return content
    }
    const content = first.subarray(0, this.usedBytes)
    this.segments = []
    this.clear()
    return content
  }

  /** Drops the content. */
  clear (): void {
    for (const segment of this.segments) {
      if (segment.length === MAX_SEGMENT_BYTES && spareSegments.length < MAX_SPARE_SEGMENTS) spareSegments.push(segment)
    }
    this.segments = []
    this.usedBytes = 0
    this.capacityBytes = 0
  }

  private get freeBytes (): number {
    return (this.segments.at(-1)?.length ?? 0) - this.usedBytes
  }

  /** Adds a segment: as long as the rest of the part, and with room for more of the content. */
  private addSegment (partBytes: number, expectedBytes: number): void {
    const roomBytes = Math.min(Math.max(FIRST_SEGMENT_BYTES, this.capacityBytes), MAX_SEGMENT_BYTES, Math.max(0, expectedBytes))
    const bytes = Math.min(MAX_SEGMENT_BYTES, Math.max(partBytes, roomBytes))
    const segment = (bytes === MAX_SEGMENT_BYTES ? spareSegments.pop() : undefined) ?? Buffer.allocUnsafeSlow(bytes)
    this.segments.push(segment)
    this.usedBytes = 0
    this.capacityBytes += segment.length
  }
}
