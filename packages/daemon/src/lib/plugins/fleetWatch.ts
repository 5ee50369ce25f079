/**
 * Plug-in: tracking of VMs that are leaving or missing.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { FleetWatch } from '../fleet/FleetWatch.js'
import { CONFIGURATION, FLEET_WATCH, MEMBERSHIP, PEERS, PLATFORM } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class FleetWatchPlugin implements Plugin {
  private readonly watch: FleetWatch

  constructor (kernel: Kernel) {
    this.watch = FleetWatch.create({
      platform: kernel.get(PLATFORM),
      membership: kernel.get(MEMBERSHIP),
      network: kernel.get(PEERS),
      timers: kernel.timers,
      log: kernel.log,
      listDeclared: () => kernel.get(CONFIGURATION).current?.declarations.inventory.vms.map((vm) => vm.id) ?? [],
    })
    kernel.provide(FLEET_WATCH, this.watch)
    kernel.get(OBSERVED).fleet = this.watch
  }

  async start (): Promise<void> {
    await this.watch.start()
  }

  dispose (): void {
    this.watch.dispose()
  }
}

catalogue.register({ id: PluginId.FleetWatch, requires: [PluginId.Configuration], create: (kernel) => new FleetWatchPlugin(kernel) })
