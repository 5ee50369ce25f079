/**
 * Object store in memory.
 */
import { Result } from '@vanillathread/model'
import type { ObjectStore } from '../ObjectStore.js'
import type { PlatformError } from '../PlatformError.js'

/** Object store in memory. @public */
export class MemoryObjectStore implements ObjectStore {
  private readonly objects = new Map<string, Uint8Array>()

  private constructor () {}

  static create (): MemoryObjectStore {
    return new MemoryObjectStore()
  }

  /** Number of stored objects. */
  get size (): number {
    return this.objects.size
  }

  async put (digest: string, bytes: Uint8Array): Promise<Result<void, PlatformError>> {
    if (!this.objects.has(digest)) this.objects.set(digest, Uint8Array.from(bytes))
    return Result.ok(undefined)
  }

  async get (digest: string): Promise<Result<Uint8Array | undefined, PlatformError>> {
    return Result.ok(this.objects.get(digest))
  }
}
