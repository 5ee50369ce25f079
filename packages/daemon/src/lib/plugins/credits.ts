/**
 * Plug-in: slot credits.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { CreditExchange } from '../credits/CreditExchange.js'
import { CREDITS, MEMBERSHIP, PEERS, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class CreditsPlugin implements Plugin {
  private readonly exchange: CreditExchange

  constructor (kernel: Kernel) {
    this.exchange = CreditExchange.create({
      state: kernel.get(STATE),
      zone: kernel.get(SETTINGS).daemon.zone,
      membership: kernel.get(MEMBERSHIP),
      network: kernel.get(PEERS),
      timers: kernel.timers,
    })
    kernel.provide(CREDITS, this.exchange)
    kernel.get(OBSERVED).credits = this.exchange
  }

  async start (): Promise<void> {
    this.exchange.start()
  }

  /** Stops the credit reports before the daemon leaves the membership, so that no report arrives after the leave message. */
  async drain (): Promise<void> {
    this.exchange.dispose()
  }

  dispose (): void {
    this.exchange.dispose()
  }
}

catalogue.register({ id: PluginId.Credits, requires: [PluginId.Membership], create: (kernel) => new CreditsPlugin(kernel) })
