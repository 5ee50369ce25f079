/**
 * Plug-in: claims of keyed non-idempotent requests.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { ClaimKeeper } from '../claims/ClaimKeeper.js'
import { CLAIMS, PLATFORM } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'

class ClaimsPlugin implements Plugin {
  private readonly keeper: ClaimKeeper

  constructor (kernel: Kernel) {
    this.keeper = ClaimKeeper.create({ platform: kernel.get(PLATFORM), timers: kernel.timers, log: kernel.log })
    kernel.provide(CLAIMS, this.keeper)
  }

  async drain (): Promise<void> {
    await this.keeper.drain()
  }
}

catalogue.register({ id: PluginId.Claims, requires: [PluginId.Operations], create: (kernel) => new ClaimsPlugin(kernel) })
