/**
 * Plug-in: this daemon's view of all daemons.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { RandomSource } from '@vanillathread/policy'
import { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { MEMBERSHIP, PEERS, PLATFORM, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class MembershipPlugin implements Plugin {
  private membership: MembershipKeeper | undefined

  constructor (private readonly kernel: Kernel) {}

  async start (): Promise<void> {
    const { kernel } = this
    const state = kernel.get(STATE)
    const settings = kernel.get(SETTINGS)
    this.membership = MembershipKeeper.create({
      settings,
      state,
      peerAddress: state.addresses.get('peer') ?? settings.listen.peer,
      table: kernel.get(PLATFORM).table,
      network: kernel.get(PEERS),
      timers: kernel.timers,
      log: kernel.log,
      random: RandomSource.create(state.incarnation),
    })
    kernel.provide(MEMBERSHIP, this.membership)
    kernel.get(OBSERVED).membership = this.membership
    await this.membership.start()
  }

  /** Drains after the plug-ins that use peers, so that these have already returned what they hold, such as leases. */
  async drain (): Promise<void> {
    await this.membership?.leave()
  }

  dispose (): void {
    this.membership?.dispose()
  }
}

catalogue.register({ id: PluginId.Membership, requires: [PluginId.Peers], create: (kernel) => new MembershipPlugin(kernel) })
