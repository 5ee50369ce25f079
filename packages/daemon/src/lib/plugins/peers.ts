/**
 * Plug-in: links to other daemons.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { PeerNetwork } from '../peer/PeerNetwork.js'
import { createServerContext, PEERS, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class PeersPlugin implements Plugin {
  private readonly network: PeerNetwork

  constructor (private readonly kernel: Kernel) {
    this.network = PeerNetwork.create({ ...createServerContext(kernel), listen: kernel.get(SETTINGS).listen.peer })
    kernel.provide(PEERS, this.network)
    kernel.get(OBSERVED).network = this.network
  }

  async start (): Promise<void> {
    this.kernel.get(STATE).addresses.set('peer', await this.network.listen())
  }

  async dispose (): Promise<void> {
    await this.network.dispose()
  }
}

catalogue.register({ id: PluginId.Peers, requires: [PluginId.Operations], create: (kernel) => new PeersPlugin(kernel) })
