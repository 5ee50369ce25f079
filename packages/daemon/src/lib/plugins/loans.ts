/**
 * Plug-in: loans of spare VMs.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { LoanPlanner } from '../fleet/LoanPlanner.js'
import { CONFIGURATION, CREDITS, FLEET_WATCH, MEMBERSHIP, PEERS, PLATFORM } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'

class LoansPlugin implements Plugin {
  private readonly planner: LoanPlanner

  constructor (kernel: Kernel) {
    this.planner = LoanPlanner.create({
      configuration: kernel.get(CONFIGURATION),
      credits: kernel.get(CREDITS),
      membership: kernel.get(MEMBERSHIP),
      network: kernel.get(PEERS),
      rows: kernel.get(FLEET_WATCH).rows,
      table: kernel.get(PLATFORM).table,
      timers: kernel.timers,
      log: kernel.log,
    })
  }

  async start (): Promise<void> {
    this.planner.start()
  }

  async drain (): Promise<void> {
    this.planner.dispose()
  }

  dispose (): void {
    this.planner.dispose()
  }
}

catalogue.register({ id: PluginId.Loans, requires: [PluginId.FleetController, PluginId.Credits], create: (kernel) => new LoansPlugin(kernel) })
