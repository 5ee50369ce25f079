/**
 * Cuts zones off. The zone of a daemon is the daemon and a share of the VMs.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { ObservedVm } from '@vanillathread/stand-ins'
import type { SoakChecker } from './SoakChecker.js'
import { POOLS, type SoakCluster } from './SoakCluster.js'
import type { SoakDaemon } from './SoakDaemon.js'

const POOL_COUNT = POOLS.length + 1

/** Time without the store after which a VM's registration expires: three heartbeats. */
const REGISTRATION_MS = 4_500

/** Holds up all bytes between a zone and the store, the machine service, and the daemons and VMs of other zones. */
export class ZoneCuts {
  /** Daemons whose zones are cut off, once for each fault. */
  private active: readonly SoakDaemon[] = []

  private constructor (private readonly cluster: SoakCluster, private readonly checker: SoakChecker) {}

  static create (cluster: SoakCluster, checker: SoakChecker): ZoneCuts {
    return new ZoneCuts(cluster, checker)
  }

  /** Cuts a daemon's zone off and resolves when it is connected again. */
  async play (daemon: SoakDaemon, durationMs: number): Promise<void> {
    this.active = [...this.active, daemon]
    this.apply()
    await sleep(REGISTRATION_MS)
    const vms = this.checker.listVms().filter((vm) => this.findZone(vm) === daemon)
    for (const { id } of vms) this.cluster.sendToStore({ kind: 'remove', table: 'servers', key: id })
    await sleep(durationMs - REGISTRATION_MS)
    const index = this.active.indexOf(daemon)
    this.active = this.active.filter((_each, other) => other !== index)
    this.apply()
    await Promise.all(vms.map(({ entry }) => this.cluster.register(entry)))
  }

  /** Sets which daemons each link cuts off. */
  private apply (): void {
    const { daemons, vmLinks } = this.cluster
    const listCut = (zone: SoakDaemon | undefined): ReadonlySet<string> => {
      const cut = daemons.filter((daemon) => daemon !== zone && (this.active.includes(daemon) || (zone !== undefined && this.active.includes(zone))))
      return new Set(cut.map(({ peer }) => peer.host))
    }
    for (const daemon of daemons) {
      daemon.links.peers.cutClients = listCut(daemon)
      daemon.links.store.cutClients = listCut(undefined)
      daemon.links.machines.cutClients = listCut(undefined)
    }
    for (const vm of this.checker.listVms()) {
      const link = vmLinks.get(vm.id)
      if (link !== undefined) link.cutClients = listCut(this.findZone(vm))
    }
  }

  /** Spreads the machines of each pool over the zones; the machines' numbers alternate between three pools. */
  private findZone ({ entry }: ObservedVm): SoakDaemon | undefined {
    const { daemons } = this.cluster
    return daemons[Math.floor(Number(entry.machine?.slice('m-'.length)) / POOL_COUNT) % daemons.length]
  }
}
