/**
 * Plug-in: the operations port. It starts first and stops last, so that health checks are answered at any time.
 */
import { LoopLagMonitor, ServiceKey, type Kernel, type Plugin } from '@vanillathread/kernel'
import { OperationsServer, type ObservedParts } from '../operations/OperationsServer.js'
import { createServerContext, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'

/** Parts that the operations port shows; plug-ins that start later add themselves. */
export const OBSERVED = ServiceKey.create<ObservedParts>('observed')

class OperationsPlugin implements Plugin {
  private readonly lag: LoopLagMonitor
  private readonly server: OperationsServer

  constructor (private readonly kernel: Kernel) {
    const parts: ObservedParts = {}
    kernel.provide(OBSERVED, parts)
    this.lag = LoopLagMonitor.create(kernel)
    this.server = OperationsServer.create({
      listen: kernel.get(SETTINGS).listen.operations,
      context: createServerContext(kernel),
      kernel,
      state: kernel.get(STATE),
      lag: this.lag,
      parts,
    })
  }

  async start (): Promise<void> {
    this.kernel.get(STATE).addresses.set('operations', await this.server.listen())
  }

  async dispose (): Promise<void> {
    this.lag.dispose()
    await this.server.dispose()
  }
}

catalogue.register({ id: PluginId.Operations, requires: [], create: (kernel) => new OperationsPlugin(kernel) })
