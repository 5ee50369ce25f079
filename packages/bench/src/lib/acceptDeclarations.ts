/**
 * Applies declarations as the first configuration of a bench's platform.
 */
import { randomUUID } from 'node:crypto'
import type { Declarations } from '@vanillathread/model'
import { applyDeclarations, HttpPlatform } from '@vanillathread/ports'
import type { Host } from './Host.js'

const TIMEOUT_MS = 5_000

/** Lists the declared VMs as live, then applies the declarations. Throws if they are not accepted. */
export async function acceptDeclarations (platform: Host, declarations: Declarations): Promise<void> {
  await platform.call('setVms', declarations.inventory.vms.map(({ id }) => id))
  const client = HttpPlatform.create({ url: await platform.call<string>('getUrl'), timeoutMs: TIMEOUT_MS })
  const res = await applyDeclarations(client, { declarations, basedOn: 0, applyId: randomUUID() })
  await client.dispose()
  if (!res.ok) throw new Error(`apply failed with code ${res.error.code}`)
}
