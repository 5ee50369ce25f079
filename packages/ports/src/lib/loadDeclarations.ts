/**
 * Reads the accepted configuration from the platform.
 */
import { assembleBundle, Result, ResultCode, type ConfigurationHead, type Declarations } from '@vanillathread/model'
import { readConfigurationHead } from './applyDeclarations.js'
import type { Platform } from './Platform.js'
import { getPlatformResultCode } from './PlatformError.js'

/** The accepted configuration. The declarations are absent if no edit has been accepted. @public */
export interface AcceptedConfiguration {
  readonly head: ConfigurationHead
  readonly declarations?: Declarations
}

/** Reads the head, its manifest and all chunks. @public */
export async function loadDeclarations (platform: Platform): Promise<Result<AcceptedConfiguration, ResultCode>> {
  const current = await readConfigurationHead(platform)
  if (!current.ok) return Result.err(getPlatformResultCode(current.error))
  const { head } = current.value
  if (head.version === 0) return Result.ok({ head })
  const bundle = await assembleBundle(head.manifestDigest, (digest) => getObject(platform, digest))
  return bundle.ok ? Result.ok({ head, declarations: bundle.value.declarations }) : bundle
}

async function getObject (platform: Platform, digest: string): Promise<Result<Uint8Array, ResultCode>> {
  const res = await platform.objects.get(digest)
  if (!res.ok) return Result.err(getPlatformResultCode(res.error))
  return res.value === undefined ? Result.err(ResultCode.NotFound) : Result.ok(res.value)
}
