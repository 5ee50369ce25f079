/**
 * Port to the platform's object store. Objects are named by the SHA-256 digest of their bytes and never change.
 */
import type { Result } from '@vanillathread/model'
import type { PlatformError } from './PlatformError.js'

/** Port to the object store. @public */
export interface ObjectStore {
  /** Stores bytes under their digest. A repeated call has no further effect. */
  put (digest: string, bytes: Uint8Array): Promise<Result<void, PlatformError>>
  /** Returns the bytes with a digest, or undefined if there are none. The caller checks the digest. */
  get (digest: string): Promise<Result<Uint8Array | undefined, PlatformError>>
}
