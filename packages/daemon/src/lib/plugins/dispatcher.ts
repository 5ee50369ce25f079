/**
 * Plug-in: the request path between gateway and endpoints.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { RequestDispatcher } from '../request/RequestDispatcher.js'
import { CLAIMS, CONFIGURATION, CREDITS, DISPATCHER, FLEET_WATCH, MEMBERSHIP, SETTINGS, SLOT_SOURCES, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class DispatcherPlugin implements Plugin {
  private readonly dispatcher: RequestDispatcher

  constructor (kernel: Kernel) {
    this.dispatcher = RequestDispatcher.create({
      kernel,
      zone: kernel.get(SETTINGS).daemon.zone,
      seed: kernel.get(STATE).incarnation,
      configuration: kernel.get(CONFIGURATION),
      membership: kernel.get(MEMBERSHIP),
      credits: kernel.get(CREDITS),
      claims: kernel.get(CLAIMS),
      fleet: kernel.get(FLEET_WATCH),
      slotSources: kernel.get(SLOT_SOURCES),
    })
    kernel.provide(DISPATCHER, this.dispatcher)
    kernel.get(OBSERVED).dispatcher = this.dispatcher
  }

  async start (): Promise<void> {
    this.dispatcher.start()
  }

  dispose (): void {
    this.dispatcher.dispose()
  }
}

catalogue.register({
  id: PluginId.Dispatcher,
  requires: [PluginId.Configuration, PluginId.FleetWatch, PluginId.Credits, PluginId.Claims],
  create: (kernel) => new DispatcherPlugin(kernel),
})
