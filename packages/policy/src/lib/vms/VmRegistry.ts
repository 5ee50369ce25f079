/**
 * Adds the VMs of a shard as they register, and removes them once they have certainly ended.
 */
import { EventCode, type VmEntry } from '@vanillathread/model'
import { blameCrash } from '../jobs/crashBlame.js'
import type { SchedulerState } from '../jobs/SchedulerState.js'
import { planRosterWrite, type RosterClocks, type RosterRecord, type RosterWrite } from './rosterRecords.js'
import { TrackedVm } from './TrackedVm.js'

/**
 * Factor on a lease's duration that allows for VM clocks that run 2 % slow, also between the last reading of the clock and the
 * lease, which may be some seconds apart if answers are lost.
 */
export const SLOW_CLOCK_FACTOR = 1.04

/** Options of {@link VmRegistry.create}. @public */
export interface VmRegistryOptions {
  readonly state: SchedulerState
  /** Longest lease that this owner or a previous one gives to a VM. */
  readonly leaseMs: number
  /** Time from `startedAtMs` for which a previous owner may still extend leases of VMs that this owner cannot reach. */
  readonly previousOwnerRenewalMs: number
  /** Time at which this owner began. */
  readonly startedAtMs: number
  /** Time from which every lease of previous owners has expired, if the last one recorded it. */
  readonly previousLeasesEndAtMs?: number
  /** Called for each VM that is forgotten. */
  onForget (id: string): void
}

/** Adds VMs to the scheduler's state and removes them once they certainly run nothing. @public */
export class VmRegistry {
  /** Ids of VMs that are forgotten here and whose records in the store can be removed. */
  readonly forgotten = new Set<string>()
  /** Incarnations (`bornMs`) of retired VMs that are still registered, by id. Their registrations are ignored. */
  private readonly retired = new Map<string, readonly number[]>()
  /** Registrations for pools that are not configured, by id. */
  private readonly unassigned = new Map<string, VmEntry>()
  /** Machines that more than one tracked VM names. */
  private readonly sharedMachines = new Set<string>()
  private pools: ReadonlySet<string> | undefined
  private previousLeasesEndAtMs: number

  private constructor (private readonly options: VmRegistryOptions) {
    this.previousLeasesEndAtMs = options.previousLeasesEndAtMs ?? Infinity
  }

  static create (options: VmRegistryOptions): VmRegistry {
    return new VmRegistry(options)
  }

  /** Number of retired VMs that are still registered. */
  get retiredCount (): number {
    return this.retired.size
  }

  isTracked (id: string): boolean {
    return this.options.state.vms.has(id)
  }

  /** Applies a new or changed registration. @returns true if the VM drains and did not before, as far as this owner knows. */
  apply (entry: VmEntry, nowMs: number): boolean {
    const { state } = this.options
    if (!state.vms.has(entry.id) && this.pools?.has(entry.pool) === false) {
      if (!this.unassigned.has(entry.id)) state.logDecision(EventCode.VmEntryInvalid, { vm: entry.id, reason: 'no such pool is configured', pool: entry.pool })
      this.unassigned.set(entry.id, entry)
      return false
    }
    return this.track(entry, nowMs)
  }

  /**
   * Applies the pools of the configuration in force; undefined before one has been read. Registrations for other pools may be those of
   * other programs. They are kept aside until such a pool is configured.
   *
   * @returns the ids of VMs that are tracked from now on and drain.
   */
  setPools (pools: ReadonlySet<string> | undefined, nowMs: number): string[] {
    this.pools = pools
    return [...this.unassigned.values()].filter((entry) => {
      if (pools?.has(entry.pool) === false) return false
      this.unassigned.delete(entry.id)
      return this.track(entry, nowMs)
    }).map(({ id }) => id)
  }

  /**
   * Retires VMs that an answer or the silence of a VM proves to have ended: a machine runs one VM at a time. Registrations alone prove
   * nothing about a VM that answers, as another program may have written one.
   */
  retireReplaced (vm: TrackedVm, nowMs: number): void {
    const { machine } = vm.entry
    if (machine === undefined || !this.sharedMachines.has(machine)) return
    const vms = [...this.options.state.vms.values()].filter((each) => each.entry.machine === machine)
    for (const each of vms) this.retireIfReplaced(each, nowMs)
    if (vms.length < 2) this.sharedMachines.delete(machine)
  }

  private track (entry: VmEntry, nowMs: number): boolean {
    const { state } = this.options
    if (this.retired.get(entry.id)?.includes(entry.bornMs) === true) return false
    this.retired.delete(entry.id)
    const vm = state.vms.get(entry.id)
    if (vm === undefined) {
      this.retirePredecessors(entry, nowMs)
      state.vms.set(entry.id, TrackedVm.create(entry))
      this.forgotten.delete(entry.id)
      state.logDecision(EventCode.VmSeen, { vm: entry.id, machine: entry.machine, pool: entry.pool })
      return entry.draining
    }
    const wasDraining = vm.entry.draining
    if (!vm.applyRegistration(entry, nowMs)) {
      state.logDecision(EventCode.VmRegistrationUnconfirmed, { vm: vm.id, bornMs: entry.bornMs, knownBornMs: vm.entry.bornMs, answeredAgoMs: Math.round(nowMs - vm.lastAnswerAtMs) })
      return false
    }
    const beginsToDrain = entry.draining && !wasDraining
    if (beginsToDrain) state.logDecision(EventCode.VmDraining, { vm: entry.id, runs: vm.runs.size })
    return beginsToDrain
  }

  /**
   * Adds a VM that the store's roster lists at the takeover, after the shard's jobs. A VM whose possible runs are recorded counts as
   * reconciled and unresponsive, so that only the tasks of these runs wait for it.
   *
   * @param storeNowMs - the store's clock, or less.
   * @returns true if the VM drains.
   */
  restore ({ entry, leaseEndMs, runs }: RosterRecord, nowMs: number, storeNowMs: number): boolean {
    const drains = this.track(entry, nowMs)
    const vm = this.options.state.vms.get(entry.id)
    if (vm === undefined) {
      this.forgotten.add(entry.id)
      return false
    }
    vm.recorded = true
    vm.mayHavePreviousRuns = true
    vm.recordedLeaseEndMs = leaseEndMs
    if (leaseEndMs === undefined) return drains
    vm.previousLeaseExpiresAtMs = nowMs + leaseEndMs - storeNowMs
    if (runs === undefined) return drains
    vm.isReconciled = true
    vm.unresponsiveSinceMs = nowMs
    for (const [task, run] of runs) this.options.state.restoreRun(task, run, vm, nowMs)
    return drains
  }

  /** Returns the roster records to write. */
  listRosterWrites (clocks: RosterClocks): RosterWrite[] {
    return [...this.options.state.vms.values()].map((vm) => planRosterWrite(vm, this.getLeaseExpiryMs(vm), clocks)).filter((write) => write !== undefined)
  }

  /** Records that a VM is no longer registered. Its runs may still go on. */
  unregister (id: string, nowMs: number): void {
    this.retired.delete(id)
    this.unassigned.delete(id)
    const vm = this.options.state.vms.get(id)
    if (vm === undefined || !vm.registered) return
    vm.unregisteredAtMs = nowMs
    this.options.state.logDecision(EventCode.VmUnregistered, { vm: id, runs: vm.runs.size })
  }

  /** Removes a VM on which certainly nothing runs any more. Runs that are still tracked there are recorded as lost. */
  forget (id: string, reason: string): void {
    const { state, onForget } = this.options
    const vm = state.vms.get(id)
    if (vm === undefined) return
    state.loseRuns(vm, vm.runs.values(), reason)
    state.vms.delete(id)
    if (vm.recorded) this.forgotten.add(id)
    onForget(id)
    state.logDecision(EventCode.VmForgotten, { vm: id, reason })
  }

  /** Forgets a VM, and ignores its registration until that is removed. */
  retire (id: string, reason: string): void {
    const vm = this.options.state.vms.get(id)
    if (vm === undefined) return
    if (vm.registered) this.retired.set(id, [vm.entry.bornMs, ...(vm.unconfirmedEntry === undefined ? [] : [vm.unconfirmedEntry.bornMs])])
    this.forget(id, reason)
  }

  /**
   * Records the runs of an unresponsive VM as lost once its lease has expired, and forgets the VM if it is not registered.
   * A registered VM that has not answered this owner counts as reconciled, without runs, once all leases of previous owners
   * have expired.
   *
   * @param provenAtMs - time at which this owner certainly had no successor, which could have extended a lease.
   * @returns true if a lease has expired since then.
   */
  handleExpiredLeases (nowMs: number, provenAtMs: number): boolean {
    const { state, startedAtMs } = this.options
    let unproven = false
    for (const vm of [...state.vms.values()]) {
      if (vm.unresponsiveSinceMs === undefined && (vm.registered || vm.isReconciled)) continue
      const expiryMs = this.getLeaseExpiryMs(vm)
      if (Math.max(provenAtMs, startedAtMs) < expiryMs) {
        unproven ||= nowMs >= expiryMs
        continue
      }
      if (vm.isReconciled) {
        if (vm.runs.size > 0) state.loseRuns(vm, vm.runs.values(), 'lease is over and the VM does not answer')
        if (!vm.registered) this.forget(vm.id, 'not registered and its lease has expired')
      } else if (!vm.registered) {
        this.forget(vm.id, 'not registered and every former lease is over')
      } else {
        // Every lease of a previous owner has expired, so the VM has no runs. `isReconciled` is set although the VM did not answer.
        vm.isReconciled = true
      }
    }
    return unproven
  }

  /** Returns the time from which every lease of a VM that does not answer has certainly expired. */
  getLeaseExpiryMs (vm: TrackedVm): number {
    if (vm.isReconciled) return vm.leaseExpiresAtMs
    if (!vm.mayHavePreviousRuns) return this.options.startedAtMs
    return Math.min(vm.previousLeaseExpiresAtMs ?? Infinity, this.getPreviousLeaseExpiryMs())
  }

  /** Applies a time from which every lease of previous owners has expired. The earliest one that is known counts. */
  learnPreviousLeasesEnd (atMs: number): void {
    this.previousLeasesEndAtMs = Math.min(this.previousLeasesEndAtMs, atMs)
  }

  /** Returns the time from which every lease given until now, by this owner or a previous one, has certainly expired. */
  getLeasesEndMs (nowMs: number): number {
    return Math.max(nowMs + this.options.leaseMs * SLOW_CLOCK_FACTOR, this.getPreviousLeaseExpiryMs())
  }

  /**
   * Retires VMs that do not answer and whose machine has a later registration. Those that answer are alive whatever is registered; see
   * `retireReplaced`.
   */
  private retirePredecessors (entry: VmEntry, nowMs: number): void {
    if (entry.machine === undefined) return
    for (const vm of [...this.options.state.vms.values()]) {
      if (vm.entry.machine !== entry.machine) continue
      if (vm.unresponsiveSinceMs === undefined || vm.entry.bornMs >= entry.bornMs) this.sharedMachines.add(entry.machine)
      else this.retireAsCrashed(vm, 'its machine runs a newer VM', nowMs)
    }
  }

  private retireAsCrashed (vm: TrackedVm, reason: string, nowMs: number): void {
    blameCrash(this.options.state, vm, nowMs)
    this.retire(vm.id, reason)
  }

  /** Retires a VM that does not answer if another VM on its machine has answered a call that was sent after its last answer. */
  private retireIfReplaced (vm: TrackedVm, nowMs: number): void {
    if (vm.unresponsiveSinceMs === undefined) return
    for (const other of this.options.state.vms.values()) {
      if (other.id === vm.id || other.entry.machine !== vm.entry.machine || other.lastReportSentAtMs <= vm.lastAnswerAtMs) continue
      this.retireAsCrashed(vm, 'its machine runs another VM', nowMs)
      return
    }
  }

  /** Returns the time from which no VM has runs under a previous owner's lease, whatever is recorded. */
  private getPreviousLeaseExpiryMs (): number {
    const { startedAtMs, previousOwnerRenewalMs, leaseMs } = this.options
    return Math.min(this.previousLeasesEndAtMs, startedAtMs + previousOwnerRenewalMs + leaseMs * SLOW_CLOCK_FACTOR)
  }
}
