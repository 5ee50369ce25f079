/**
 * Plug-in: the configuration in force.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { ConfigurationStore } from '../configuration/ConfigurationStore.js'
import { CONFIGURATION, MEMBERSHIP, PEERS, PLATFORM } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class ConfigurationPlugin implements Plugin {
  private readonly store: ConfigurationStore

  constructor (private readonly kernel: Kernel) {
    this.store = ConfigurationStore.create({
      platform: kernel.get(PLATFORM),
      network: kernel.get(PEERS),
      timers: kernel.timers,
      log: kernel.log,
      metrics: kernel.metrics,
    })
    kernel.provide(CONFIGURATION, this.store)
    kernel.get(OBSERVED).configuration = this.store
  }

  async start (): Promise<void> {
    const membership = this.kernel.get(MEMBERSHIP)
    membership.setHeadExchange(this.store)
    // Sends a heartbeat at once when a version comes into force, so that peers do not learn of it one period late.
    this.store.subscribe(() => membership.beat())
    await this.store.start()
  }

  dispose (): void {
    this.store.dispose()
  }
}

catalogue.register({ id: PluginId.Configuration, requires: [PluginId.Membership], create: (kernel) => new ConfigurationPlugin(kernel) })
