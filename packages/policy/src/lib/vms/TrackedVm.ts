/**
 * A VM in the memory of its pool's owner: lease, capacity in use, runs.
 */
import type { Capacity, VmEntry } from '@vanillathread/model'
import type { TrackedRun } from '../jobs/TrackedRun.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import type { TrialReservation } from '../placement/TrialReservations.js'
import { VmPause } from './VmPause.js'

/** Share by which a VM's steady clock may run slow, as the platform states. */
const MAX_CLOCK_SLOWDOWN = 0.02

/** `bornMs` of a registration or report that does not tell its incarnation. */
const UNKNOWN_BORN_MS = 0

/** Added to the expiry time of a lease, to cover rounding to whole milliseconds. */
const LEASE_EXPIRY_MARGIN_MS = 20

/**
 * Time for which a VM stays usable without a registration. Registrations that expired during a store outage are back within
 * two seconds of its end; half a second is added for the feed by which the owner learns of them.
 */
const UNREGISTERED_GRACE_MS = 2_500

/** Time after the start of tasks that may crash their VM in which no others are started there: such a task ends the VM as it starts. @public */
export const TRIAL_MS = 150

/** A VM of one of the owner's pools. @public */
export class TrackedVm {
  /** The VM's registration, with the incarnation that the owner deals with. */
  entry: VmEntry
  /**
   * The latest registration, if it names an incarnation other than that of `entry`. It may be older or newer, as
   * registrations come from the store; an answer of the VM shows which incarnation is alive.
   */
  unconfirmedEntry: VmEntry | undefined
  /** Time since which a registration or a refused order shows another incarnation and the VM has not answered a call sent later. */
  private unconfirmedSinceMs: number | undefined
  /** True while no registration of the present incarnation is known, which may have another pool, other labels or less capacity than `entry`. */
  private isRegistrationStale = false
  /**
   * True once the owner knows the VM's runs: the VM has answered under the owner's fencing token, or all leases of previous
   * owners have expired.
   */
  isReconciled = false
  /** True once the store lists this VM among those that may have runs. */
  recorded = false
  /** True if the store listed this VM at the takeover. No earlier owner has started a task on any other VM. */
  mayHavePreviousRuns = false
  /**
   * Time on the store's clock from which the VM has no runs, as its roster row says or may say once a write in flight is carried
   * out. A successor trusts it, so the VM gets no leases while it is set.
   */
  recordedLeaseEndMs: number | undefined
  /** True if the store rejects the VM's roster row, so that the VM gets no tasks. */
  recordRejected = false
  /** True if the last write of `recordedLeaseEndMs` failed or had an unknown outcome. */
  recordUnconfirmed = false
  /** Time from which a VM that the store listed at the takeover certainly has no runs of previous owners, if that was recorded. */
  previousLeaseExpiresAtMs: number | undefined
  /** Time at which the VM first answered this owner, and so refuses orders of former ones; undefined before. */
  answeredAtMs: number | undefined
  /** Time at which the registration disappeared, or undefined while the VM is registered. */
  unregisteredAtMs: number | undefined
  /** Time since which the VM has been unresponsive, or undefined while it answers. */
  unresponsiveSinceMs: number | undefined
  /** Time of the VM's last answer to this owner. */
  lastAnswerAtMs = 0
  /** Time at which the call was sent that returned the VM's last report; minus infinity before the first one. */
  lastReportSentAtMs = -Infinity
  /** Runs of the latest trial: tasks of one step that may crash their VM and were started here without others beside them. */
  trialRuns: readonly TrackedRun[] = []
  /** Set while the VM gets no tasks but those of a trial. */
  trialReservation: TrialReservation | undefined
  /** Time since which trials, and reservations for them, keep other tasks away; undefined while they do not. */
  keptForTrialsSinceMs: number | undefined
  /** Time until which no trial begins here and the VM is not reserved for one, so that other tasks get their turn. */
  openToOthersUntilMs = 0
  readonly pause = VmPause.create()
  /** True while the VM is evacuated: its tasks are stopped, and none is placed on it. */
  evacuating = false
  /** The acknowledged end: the progress from end entries up to this number is stored. */
  acknowledgedEnd = 0
  /** End entries up to this number are applied in memory. */
  appliedEnd = 0
  /** Number of tasks that this owner knows the VM to have ended as done. */
  doneCount = 0
  /** Runs that may occupy the VM, by {@link TrackedRun.key}. */
  readonly runs = new Map<string, TrackedRun>()
  /** The VM's steady clock as last read; `clockReadAtMs` is the owner's clock at that time. */
  private clockMs = 0
  private clockReadAtMs = 0
  /** Latest end of a lease given to the VM, on the VM's clock; 0 if none was given. */
  leaseUntilMs = 0
  /** Capacity that the runs reserve. */
  private readonly used = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

  private constructor (entry: VmEntry) {
    this.entry = entry
  }

  static create (entry: VmEntry): TrackedVm {
    return new TrackedVm(entry)
  }

  get id (): string {
    return this.entry.id
  }

  /** Name of the rack, which is the VM's last label. A VM without labels counts as a rack of its own. */
  get rack (): string {
    return this.entry.labels.at(-1) ?? this.entry.id
  }

  /** Returns true if new tasks may be placed on the VM. */
  isUsable (nowMs: number): boolean {
    return !this.pause.isActive(nowMs) && this.isUsableUnlessPaused(nowMs)
  }

  /** Returns true if new tasks may be placed on the VM once its pause is over. */
  isUsableUnlessPaused (nowMs: number): boolean {
    return this.isReconciled && this.recorded && this.mayBeLeased && this.unconfirmedSinceMs === undefined && !this.isRegistrationStale && this.isRegisteredOrInGrace(nowMs) && !this.entry.draining &&
      !this.evacuating && !this.isOnTrial
  }

  /**
   * Returns true if the VM may get leases: it answers, and no end of its lease is recorded, which a successor would trust. A
   * lease sent to an unresponsive VM may arrive, and would postpone the time at which it has certainly expired.
   */
  get mayBeLeased (): boolean {
    return this.unresponsiveSinceMs === undefined && this.recordedLeaseEndMs === undefined
  }

  /** True while tasks that may crash the VM have just been started here, so that no others are started beside them. */
  get isOnTrial (): boolean {
    return this.trialRuns.some((run) => this.runs.get(run.key) === run && (run.confirmedAtMs === undefined || this.lastAnswerAtMs < run.confirmedAtMs + TRIAL_MS))
  }

  /** True while other tasks are kept away for a trial. */
  get isKeptForTrials (): boolean {
    return this.trialReservation !== undefined || this.isOnTrial
  }

  /** Returns true if no run was started here within the time of a trial. */
  isQuiet (nowMs: number): boolean {
    return [...this.runs.values()].every((run) => nowMs - run.orderedAtMs >= TRIAL_MS)
  }

  /** True if the VM drains, or neither is registered nor answers. */
  get isLeaving (): boolean {
    return this.entry.draining || (!this.registered && this.unresponsiveSinceMs !== undefined)
  }

  get registered (): boolean {
    return this.unregisteredAtMs === undefined
  }

  /** Returns true if the VM is registered, or lost its registration only moments ago: registrations also expire during a store outage. */
  private isRegisteredOrInGrace (nowMs: number): boolean {
    return this.unregisteredAtMs === undefined || nowMs - this.unregisteredAtMs < UNREGISTERED_GRACE_MS
  }

  /** Returns true if the need fits into the free capacity. A best-effort task needs no free processor. */
  hasRoom (need: Capacity, isBestEffort: boolean): boolean {
    const { capacity } = this.entry
    return (isBestEffort || this.used.cpuMillis + need.cpuMillis <= capacity.cpuMillis) &&
      this.used.memoryMb + need.memoryMb <= capacity.memoryMb &&
      this.used.accelerators + need.accelerators <= capacity.accelerators
  }

  get free (): Capacity {
    const { capacity } = this.entry
    return {
      cpuMillis: this.freeCpuMillis, memoryMb: capacity.memoryMb - this.used.memoryMb, accelerators: capacity.accelerators - this.used.accelerators,
    }
  }

  get freeCpuMillis (): number {
    return this.entry.capacity.cpuMillis - this.used.cpuMillis
  }

  addRun (run: TrackedRun): void {
    this.runs.set(run.key, run)
    run.vmDoneCountBefore = this.doneCount
    this.adjustUsed(run, 1)
  }

  removeRun (run: TrackedRun): void {
    if (this.runs.get(run.key) !== run) return
    this.runs.delete(run.key)
    this.adjustUsed(run, -1)
  }

  countRunsOf (step: TrackedStep): number {
    let count = 0
    for (const run of this.runs.values()) {
      if (run.task.step === step) count += 1
    }
    return count
  }

  /** Records the VM's clock from an answer. */
  observeClock (clockMs: number, nowMs: number): void {
    this.clockMs = clockMs
    this.clockReadAtMs = nowMs
  }

  /** True once the clock of the VM's present incarnation has been read. */
  get knowsClock (): boolean {
    return this.clockReadAtMs > 0
  }

  /** Extends the lease and returns its end on the VM's clock, in whole milliseconds. */
  extendLease (nowMs: number, leaseMs: number): number {
    const until = Math.floor(this.clockMs + (nowMs - this.clockReadAtMs) + leaseMs)
    this.leaseUntilMs = Math.max(this.leaseUntilMs, until)
    return this.leaseUntilMs
  }

  /** Time on the owner's clock at which every lease that it gave to the VM, or whose end was recorded before, has certainly expired. */
  get leaseExpiresAtMs (): number {
    return Math.max(this.ownLeaseExpiresAtMs, this.previousLeaseExpiresAtMs ?? 0)
  }

  private get ownLeaseExpiresAtMs (): number {
    if (this.leaseUntilMs === 0) return this.clockReadAtMs
    return this.clockReadAtMs + (this.leaseUntilMs - this.clockMs) / (1 - MAX_CLOCK_SLOWDOWN) + LEASE_EXPIRY_MARGIN_MS
  }

  /**
   * Applies a registration. One that names another incarnation than the VM confirmed is kept aside until the VM answers as that one.
   *
   * @returns true if the registration is in force.
   */
  applyRegistration (entry: VmEntry, nowMs: number): boolean {
    this.unregisteredAtMs = undefined
    const bornMs = entry.bornMs === UNKNOWN_BORN_MS ? this.entry.bornMs : entry.bornMs
    if (bornMs === this.entry.bornMs || !this.hasKnownIncarnation) {
      this.entry = { ...entry, bornMs }
      this.unconfirmedEntry = undefined
      this.unconfirmedSinceMs = undefined
      this.isRegistrationStale = false
      return true
    }
    this.unconfirmedEntry = entry
    this.unconfirmedSinceMs = nowMs
    return false
  }

  /** Records that the VM has answered a call that was sent at `sentAtMs`, so that its incarnation at that time is known. */
  confirmIncarnation (sentAtMs: number): void {
    if (this.unconfirmedSinceMs !== undefined && sentAtMs >= this.unconfirmedSinceMs) this.unconfirmedSinceMs = undefined
  }

  /** Incarnation that calls to the VM are meant for; undefined while the VM has not answered this owner. */
  get answeringBornMs (): number | undefined {
    return this.answeredAtMs === undefined || this.entry.bornMs === UNKNOWN_BORN_MS ? undefined : this.entry.bornMs
  }

  /** Records that a call found another incarnation than the one that it was meant for. The VM gets no tasks until a later report shows which. */
  suspectRestart (calledBornMs: number | undefined, nowMs: number): void {
    if (calledBornMs === this.answeringBornMs) this.unconfirmedSinceMs = nowMs
  }

  /** True if the VM has answered as the incarnation of `entry`, or has runs that a previous owner recorded for it. */
  get hasKnownIncarnation (): boolean {
    return this.entry.bornMs !== UNKNOWN_BORN_MS && (this.answeredAtMs !== undefined || this.runs.size > 0)
  }

  /**
   * Resets the state that depends on the VM's incarnation. Runs that were only ordered stay, as the new incarnation may have started
   * them.
   *
   * @returns the runs of the previous incarnation.
   */
  beginIncarnation (bornMs: number): TrackedRun[] {
    this.isRegistrationStale = this.entry.bornMs !== UNKNOWN_BORN_MS && this.unconfirmedEntry?.bornMs !== bornMs
    this.entry = this.unconfirmedEntry?.bornMs === bornMs ? this.unconfirmedEntry : { ...this.entry, bornMs }
    this.unconfirmedEntry = undefined
    this.unconfirmedSinceMs = undefined
    const lost = [...this.runs.values()].filter((run) => run.isOfKnownIncarnation)
    for (const run of lost) this.removeRun(run)
    this.acknowledgedEnd = 0
    this.appliedEnd = 0
    this.clockMs = 0
    this.clockReadAtMs = 0
    this.leaseUntilMs = 0
    this.answeredAtMs = undefined
    this.isReconciled = false
    return lost
  }

  private adjustUsed (run: TrackedRun, sign: 1 | -1): void {
    const { need, fills } = run.task.step.spec
    if (!fills) this.used.cpuMillis += sign * need.cpuMillis
    this.used.memoryMb += sign * need.memoryMb
    this.used.accelerators += sign * need.accelerators
  }
}
