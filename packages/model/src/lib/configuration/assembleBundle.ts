/**
 * Fetches the chunks that a manifest lists.
 */
import type { Declarations } from '../inventory/Declarations.js'
import { Result } from '../result/Result.js'
import { ResultCode } from '../result/ResultCode.js'
import { decodeBundle, decodeManifest } from './ConfigurationBundle.js'

/** Declarations with the objects that they were decoded from. @public */
export interface AssembledBundle {
  readonly declarations: Declarations
  /** Bytes of the chunks and of the manifest, by digest. */
  readonly objects: Map<string, Uint8Array>
}

/** Returns the bytes with a digest, or a result code if they cannot be fetched. @public */
export type ObjectFetch = (digest: string) => Promise<Result<Uint8Array, ResultCode>>

/** Fetches a manifest and its chunks, checks their digests and decodes them. @public */
export async function assembleBundle (manifestDigest: string, fetchObject: ObjectFetch): Promise<Result<AssembledBundle, ResultCode>> {
  const manifest = await fetchObject(manifestDigest)
  if (!manifest.ok) return manifest
  const references = decodeManifest(manifestDigest, manifest.value)
  if (!references.ok) return references
  const objects = new Map([[manifestDigest, manifest.value]])
  for (const { digest } of references.value) {
    const chunk = await fetchObject(digest)
    if (!chunk.ok) return chunk
    objects.set(digest, chunk.value)
  }
  const declarations = decodeBundle(references.value, objects)
  return declarations.ok ? Result.ok({ declarations: declarations.value, objects }) : declarations
}
