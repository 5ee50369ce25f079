/**
 * Plug-in: moves and maintenance of VMs.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { FleetController } from '../fleet/FleetController.js'
import { CONFIGURATION, FLEET_WATCH, MEMBERSHIP, PLATFORM, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class FleetControllerPlugin implements Plugin {
  private readonly controller: FleetController

  constructor (kernel: Kernel) {
    this.controller = FleetController.create({
      state: kernel.get(STATE),
      platform: kernel.get(PLATFORM),
      configuration: kernel.get(CONFIGURATION),
      membership: kernel.get(MEMBERSHIP),
      watch: kernel.get(FLEET_WATCH),
      timers: kernel.timers,
      log: kernel.log,
    })
    kernel.get(OBSERVED).controller = this.controller
  }

  async start (): Promise<void> {
    this.controller.start()
  }

  async drain (): Promise<void> {
    await this.controller.drain()
  }

  dispose (): void {
    this.controller.dispose()
  }
}

catalogue.register({ id: PluginId.FleetController, requires: [PluginId.FleetWatch], create: (kernel) => new FleetControllerPlugin(kernel) })
