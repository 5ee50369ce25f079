/**
 * Injects the faults of a schedule into a cluster.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { StoreFault, VmFault, type ObservedVm } from '@vanillathread/stand-ins'
import { FaultKind, PLANNED_FAULTS, type Fault } from './FaultSchedule.js'
import { Link, LinkFault } from './Link.js'
import type { SoakChecker } from './SoakChecker.js'
import { POOLS, type SoakCluster } from './SoakCluster.js'
import type { SoakDaemon } from './SoakDaemon.js'
import { ZoneCuts } from './ZoneCuts.js'

/** Time between two restarts of a roll. */
const ROLL_STEP_MS = 2_000

/** Time from the begin of draining until the VM leaves. */
const DRAIN_MS = 4_000

/** Time from the end of a VM that leaves until another machine joins its pool. */
const REPLACEMENT_DELAY_MS = 1_000

/** Shortest time for which a VM is cut off: longer than its lease. */
const MIN_VM_CUT_MS = 8_000

/** Time from the start of a VM until it registers: a heartbeat interval. */
const VM_REGISTER_DELAY_MS = 1_500

/** Longest time from the restart of a VM until it is cut off: its owner notices the restart within it. */
const MAX_RESTART_TO_CUT_MS = 3_000

/** Shortest time for which a zone is cut off: longer than a takeover, the former owner's time to renew, and a lease. */
const MIN_ZONE_CUT_MS = 12_000

const STORE_FAULTS: Readonly<Partial<Record<FaultKind, StoreFault>>> = {
  [FaultKind.StoreSlow]: StoreFault.Slow,
  [FaultKind.StoreRefusing]: StoreFault.Refusing,
  [FaultKind.StoreLosingAnswers]: StoreFault.LosingAnswers,
}

const LINK_FAULTS: Readonly<Partial<Record<FaultKind, LinkFault>>> = {
  [FaultKind.LinkDelayed]: LinkFault.Delayed,
  [FaultKind.LinkTrickling]: LinkFault.Trickling,
  [FaultKind.LinkRequestsHeld]: LinkFault.RequestsHeld,
  [FaultKind.LinkAnswersHeld]: LinkFault.AnswersHeld,
  [FaultKind.LinkCut]: LinkFault.Cut,
}

const VM_FAULTS: Readonly<Partial<Record<FaultKind, VmFault>>> = {
  [FaultKind.VmFailsTasks]: VmFault.FailsTasks,
  [FaultKind.VmLateStarts]: VmFault.LateStarts,
}

/** Plays faults and reports their begin and end to the checker. */
export class FaultInjector {
  /** Number of faults that were played, by kind. */
  readonly counts = new Map<FaultKind, number>()
  private storeFaults = 0
  private frozenStores = 0
  private nextWave = 1
  private readonly draining = new Set<string>()

  private readonly zoneCuts: ZoneCuts

  private constructor (private readonly cluster: SoakCluster, private readonly checker: SoakChecker) {
    this.zoneCuts = ZoneCuts.create(cluster, checker)
  }

  static create (cluster: SoakCluster, checker: SoakChecker): FaultInjector {
    return new FaultInjector(cluster, checker)
  }

  /** Plays a fault and resolves when it is over. */
  async play (fault: Fault): Promise<void> {
    this.counts.set(fault.kind, (this.counts.get(fault.kind) ?? 0) + 1)
    const isPlanned = PLANNED_FAULTS.has(fault.kind)
    this.checker.beginFault(isPlanned)
    try {
      await this.run(fault)
    } finally {
      this.checker.endFault(isPlanned)
    }
  }

  private async run (fault: Fault): Promise<void> {
    const { kind, durationMs, target } = fault
    const daemon = pick(this.cluster.daemons, target)
    switch (kind) {
      case FaultKind.DaemonKilled: return this.restart([daemon], 'SIGKILL')
      case FaultKind.DaemonTerminated: return this.restart([daemon], 'SIGTERM')
      case FaultKind.AllKilled: return this.restart(this.cluster.daemons, 'SIGKILL')
      case FaultKind.DaemonFrozen:
        daemon.process.signal('SIGSTOP')
        await sleep(durationMs)
        daemon.process.signal('SIGCONT')
        return
      case FaultKind.Roll: return this.roll()
      case FaultKind.LeaveDuringRoll:
        await Promise.all([this.leave(target), this.roll().then(() => this.roll())])
        return
      case FaultKind.VmLeaves: return this.leave(target)
      case FaultKind.StoreSlow:
      case FaultKind.StoreRefusing:
      case FaultKind.StoreLosingAnswers: return this.disturbStore(STORE_FAULTS[kind] ?? StoreFault.None, durationMs)
      case FaultKind.StoreFrozen: return this.freezeStore(durationMs)
      case FaultKind.StoreForgets: return this.cluster.sendToStore({ kind: 'drop-history' })
      case FaultKind.LinkReset: return this.pickLink(target).reset()
      case FaultKind.LinkSilenced:
        this.pickLink(target).silence()
        // The time-outs of calls have to pass before the fault is over for the daemons.
        return sleep(durationMs)
      case FaultKind.LinkDelayed:
      case FaultKind.LinkTrickling:
      case FaultKind.LinkRequestsHeld:
      case FaultKind.LinkAnswersHeld:
      case FaultKind.LinkCut: return disturbLink(this.pickLink(target), LINK_FAULTS[kind] ?? LinkFault.None, durationMs)
      case FaultKind.VmCut: {
        const link = this.cluster.vmLinks.get(this.listBusiestVms(target)[0]?.id ?? '')
        if (link !== undefined) await disturbLink(link, LinkFault.Cut, Math.max(MIN_VM_CUT_MS, durationMs))
        return
      }
      case FaultKind.VmCrash: return this.crashVm(target, durationMs)
      case FaultKind.VmRestart: return this.restartVm(target, durationMs)
      case FaultKind.VmFailsTasks:
      case FaultKind.VmLateStarts: return this.disturbVm(target, VM_FAULTS[kind] ?? VmFault.None, durationMs)
      case FaultKind.Wave: return this.requestWave(target)
      case FaultKind.ZoneCut: return this.zoneCuts.play(target % 2 === 0 ? this.cluster.owner ?? daemon : daemon, Math.max(MIN_ZONE_CUT_MS, durationMs))
    }
  }

  private async restart (daemons: readonly SoakDaemon[], signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
    await Promise.all(daemons.map((daemon) => daemon.restart(signal, this.checker.nowMs())))
  }

  private async roll (): Promise<void> {
    const restarts: Array<Promise<void>> = []
    for (const daemon of this.cluster.daemons) {
      restarts.push(this.restart([daemon], 'SIGTERM'))
      await sleep(ROLL_STEP_MS)
    }
    await Promise.all(restarts)
  }

  /** Drains the VM that has most runs of a pool, removes it, and adds a machine to its pool. */
  private async leave (target: number): Promise<void> {
    const entry = this.listBusiestVms(target)[0]?.entry
    const machine = entry?.machine
    if (entry === undefined || machine === undefined) return
    this.draining.add(entry.id)
    this.cluster.sendToVms({ kind: 'drain', machine })
    await sleep(DRAIN_MS)
    this.cluster.sendToVms({ kind: 'leave', machine })
    await sleep(REPLACEMENT_DELAY_MS)
    this.cluster.addMachine(entry.pool)
  }

  private async disturbStore (fault: StoreFault, durationMs: number): Promise<void> {
    this.storeFaults += 1
    this.cluster.sendToStore({ kind: 'fault', fault })
    await sleep(durationMs)
    this.storeFaults -= 1
    if (this.storeFaults === 0) this.cluster.sendToStore({ kind: 'fault', fault: StoreFault.None })
  }

  private async freezeStore (durationMs: number): Promise<void> {
    this.frozenStores += 1
    this.cluster.store.signal('SIGSTOP')
    await sleep(durationMs)
    this.frozenStores -= 1
    if (this.frozenStores === 0) this.cluster.store.signal('SIGCONT')
  }

  private async crashVm (target: number, downMs: number): Promise<void> {
    const machine = this.listBusiestVms(target)[0]?.entry.machine
    if (machine !== undefined) this.cluster.sendToVms({ kind: 'crash', machine, downMs })
    await sleep(downMs)
  }

  /** Silences the connections to a VM, starts it again under its id, and cuts it off before or after its registration shows that. */
  private async restartVm (target: number, durationMs: number): Promise<void> {
    const vm = this.listBusiestVms(target)[0]
    const link = this.cluster.vmLinks.get(vm?.id ?? '')
    if (vm?.entry.machine === undefined || link === undefined) return
    link.silence()
    this.cluster.sendToVms({ kind: 'restart', machine: vm.entry.machine, registerDelayMs: VM_REGISTER_DELAY_MS })
    await sleep(target % MAX_RESTART_TO_CUT_MS)
    await disturbLink(link, LinkFault.Cut, Math.max(MIN_VM_CUT_MS, durationMs))
  }

  private async disturbVm (target: number, fault: VmFault, durationMs: number): Promise<void> {
    const machine = this.listBusiestVms(target)[0]?.entry.machine
    if (machine === undefined) return
    this.cluster.sendToVms({ kind: 'fault', machine, fault })
    await sleep(durationMs)
    this.cluster.sendToVms({ kind: 'fault', machine, fault: VmFault.None })
  }

  /** Requests maintenance of two machines of a pool, one after the other. */
  private async requestWave (target: number): Promise<void> {
    const wave = this.nextWave++
    const machines = this.listBusiestVms(target).slice(0, 2).map((vm) => vm.entry.machine ?? '')
    this.checker.addWave(wave, machines, 1)
    this.cluster.sendToStore({ kind: 'put', table: 'op', key: `wave/${wave}`, value: { wave, machines, 'duration-s': 20, cap: 1 } })
  }

  /** Returns the VMs of a pool that do not drain, those with most long-running runs first. */
  private listBusiestVms (target: number): ObservedVm[] {
    const pool = pick(POOLS, target)
    const vms = this.checker.listVms().filter((vm) => vm.entry.pool === pool && !this.draining.has(vm.id))
    return vms.sort((a, b) => countLongRunning(b) - countLongRunning(a))
  }

  private pickLink (target: number): Link {
    const daemonLinks = this.cluster.daemons.flatMap(({ links }) => [links.clients, links.store, links.machines])
    return pick([...daemonLinks, ...this.cluster.vmLinks.values()], target)
  }
}

function countLongRunning (vm: ObservedVm): number {
  return [...vm.runs.values()].filter(({ behaviour }) => behaviour.durationMs === undefined).length
}

async function disturbLink (link: Link, fault: LinkFault, durationMs: number): Promise<void> {
  link.fault = fault
  await sleep(durationMs)
  link.fault = LinkFault.None
}

function pick<T> (items: readonly T[], target: number): T {
  return items[target % items.length] as T
}
