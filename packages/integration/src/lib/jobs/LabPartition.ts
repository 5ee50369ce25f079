/**
 * A partition of the simulated network, which separates daemons and VMs from the store and from all others.
 */
import type { TimerService } from '@vanillathread/kernel'
import { StoreFault, type FleetStandIn, type VmStandIn } from '@vanillathread/stand-ins'
import type { LabDaemon } from './JobLab.js'
import type { MemoryPeerNetwork } from './MemoryPeerNetwork.js'

/** Time without a heartbeat of a VM after which its registration expires. */
const REGISTRATION_TTL_MS = 4_500

/** Options of {@link LabPartition.create}. */
export interface LabPartitionOptions {
  readonly timers: TimerService
  readonly peers: MemoryPeerNetwork
  readonly fleet: FleetStandIn
}

/** Isolates daemons and VMs, which still reach each other. */
export class LabPartition {
  /** Names of the daemons and ids of the VMs that are isolated. */
  private readonly isolated = new Set<string>()

  private constructor (private readonly options: LabPartitionOptions) {}

  static create (options: LabPartitionOptions): LabPartition {
    return new LabPartition(options)
  }

  isIsolated (name: string): boolean {
    return this.isolated.has(name)
  }

  /** Returns true if no call of the daemon reaches the VM. */
  isCut (daemon: string, vm: string): boolean {
    return this.isIsolated(daemon) !== this.isIsolated(vm)
  }

  /** Isolates daemons and VMs for a time. The registrations of the VMs expire if it is long enough. */
  isolate (daemons: readonly LabDaemon[], vms: readonly VmStandIn[], forMs: number): void {
    const { timers, peers, fleet } = this.options
    for (const daemon of daemons) {
      this.isolated.add(daemon.name)
      peers.isolate(daemon.address)
      daemon.store.fault = StoreFault.Unresponsive
    }
    for (const vm of vms) {
      this.isolated.add(vm.id)
      if (forMs > REGISTRATION_TTL_MS) timers.after(REGISTRATION_TTL_MS, () => fleet.expireRegistration(vm))
    }
    timers.after(forMs, () => this.reconnect(daemons, vms))
  }

  private reconnect (daemons: readonly LabDaemon[], vms: readonly VmStandIn[]): void {
    for (const daemon of daemons) {
      this.isolated.delete(daemon.name)
      this.options.peers.reconnect(daemon.address)
      daemon.store.fault = StoreFault.None
    }
    for (const vm of vms) {
      this.isolated.delete(vm.id)
      if (vm.alive) this.options.fleet.register(vm)
    }
  }
}
