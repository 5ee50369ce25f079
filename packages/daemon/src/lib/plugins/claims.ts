/**
 * Plug-in: claims on non-idempotent requests that have an idempotency key.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { RequestClaims } from '../claims/RequestClaims.js'
import { CLAIMS, PLATFORM } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'

class ClaimsPlugin implements Plugin {
  private readonly claims: RequestClaims

  constructor (kernel: Kernel) {
    this.claims = RequestClaims.create({ platform: kernel.get(PLATFORM), timers: kernel.timers, log: kernel.log })
    kernel.provide(CLAIMS, this.claims)
  }

  async drain (): Promise<void> {
    await this.claims.drain()
  }
}

catalogue.register({ id: PluginId.Claims, requires: [PluginId.Operations], create: (kernel) => new ClaimsPlugin(kernel) })
