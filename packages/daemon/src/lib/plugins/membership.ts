/**
 * Plug-in: the view of all daemons.
 */
import type { Kernel, Plugin } from '@vanillathread/kernel'
import { RandomSource } from '@vanillathread/policy'
import { MembershipKeeper } from '../membership/MembershipKeeper.js'
import { MEMBERSHIP, PEERS, PLATFORM, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'
import { OBSERVED } from './operations.js'

class MembershipPlugin implements Plugin {
  private keeper: MembershipKeeper | undefined

  constructor (private readonly kernel: Kernel) {}

  async start (): Promise<void> {
    const { kernel } = this
    const state = kernel.get(STATE)
    const settings = kernel.get(SETTINGS)
    this.keeper = MembershipKeeper.create({
      settings,
      state,
      peerAddress: state.addresses.get('peer') ?? settings.listen.peer,
      table: kernel.get(PLATFORM).table,
      network: kernel.get(PEERS),
      timers: kernel.timers,
      log: kernel.log,
      random: RandomSource.create(state.incarnation),
    })
    kernel.provide(MEMBERSHIP, this.keeper)
    kernel.get(OBSERVED).membership = this.keeper
    await this.keeper.start()
  }

  /** Drains last among the parts that need peers, so that the others have returned what they hold. */
  async drain (): Promise<void> {
    await this.keeper?.leave()
  }

  dispose (): void {
    this.keeper?.dispose()
  }
}

catalogue.register({ id: PluginId.Membership, requires: [PluginId.Peers], create: (kernel) => new MembershipPlugin(kernel) })
