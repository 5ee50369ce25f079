/**
 * The platform's object store. Objects are named by the digest of their bytes and never change.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** Port to the object store. @public */
export interface ObjectStore {
  /** Stores bytes; storing the same digest again is harmless. */
  put (digest: string, bytes: Uint8Array): Promise<Result<void, PlatformError>>
  get (digest: string): Promise<Result<Uint8Array | undefined, PlatformError>>
}
