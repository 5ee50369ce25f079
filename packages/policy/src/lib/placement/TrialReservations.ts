/**
 * Reservations of VMs for trials: a reserved VM gets no other tasks, so that it becomes quiet and has room for the trial.
 *
 * This answers two loads at once: suspects that find no quiet VM in a busy pool, and tasks that have no place but on the VM that is
 * kept for them. Whatever the suspects need, other tasks are kept from a VM for a bounded time.
 */
import { EventCode } from '@vanillathread/model'
import type { DecisionLogger } from '../jobs/SchedulerState.js'
import type { TrackedStep } from '../jobs/TrackedOccurrence.js'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { PlaceObstacle } from './findPlaceObstacle.js'

/**
 * Longest time for which a VM is reserved. A long-running task that has failed may have no place but there, and must be at work again within
 * 6 s, of which its restart takes most of one and a trial on the VM as much.
 */
export const MAX_RESERVATION_MS = 2_000

/** A VM's reservation for a trial. @public */
export interface TrialReservation {
  readonly step: TrackedStep
  /** Why the trial could not begin there at once. */
  readonly obstacle: PlaceObstacle
  readonly sinceMs: number
}

/** Why a reservation ended. @public */
export enum ReservationEnd {
  TrialBegun = 'trial has begun',
  /** No task of the step waits for a trial any more. */
  NotNeeded = 'no task waits for it',
  /** The VM is paused, drains, is evacuated or does not answer. */
  VmNotUsable = 'VM gets no tasks',
  /** Trials have silenced too many VMs for another one. */
  TrialsSuspended = 'too many VMs are silent',
  TimeOver = 'time is over',
}

/** Options of {@link TrialReservations.review}. */
export interface ReservationReview {
  /** VMs of the pool. */
  readonly vms: readonly TrackedVm[]
  /** VMs of the pool that may get tasks. */
  readonly usableVms: readonly TrackedVm[]
  /** Steps with tasks that wait for a trial. */
  readonly waiting: ReadonlyMap<TrackedStep, unknown>
  readonly areTrialsSuspended: boolean
  readonly nowMs: number
}

/** Reservations of one shard's VMs. */
export class TrialReservations {
  private constructor (private readonly logDecision: DecisionLogger) {}

  static create (logDecision: DecisionLogger): TrialReservations {
    return new TrialReservations(logDecision)
  }

  /**
   * Ends reservations that are over, and opens VMs to other tasks for this plan if one trial after the other has kept these away for too long. Call it in each
   * plan of a pool before trials are begun, and `recordKeptVms` after that.
   */
  review ({ vms, usableVms, waiting, areTrialsSuspended, nowMs }: ReservationReview): void {
    for (const vm of vms) {
      const { trialReservation: reservation } = vm
      if (reservation !== undefined) {
        if (!waiting.has(reservation.step)) this.end(vm, ReservationEnd.NotNeeded, nowMs)
        else if (!usableVms.includes(vm)) this.end(vm, ReservationEnd.VmNotUsable, nowMs)
        else if (areTrialsSuspended) this.end(vm, ReservationEnd.TrialsSuspended, nowMs)
        else if (nowMs - reservation.sinceMs >= MAX_RESERVATION_MS) {
          this.end(vm, ReservationEnd.TimeOver, nowMs)
          vm.openToOthersUntilMs = nowMs + MAX_RESERVATION_MS
        }
      }
      const { keptForTrialsSinceMs: sinceMs = nowMs } = vm
      if (!vm.isKeptForTrials && nowMs - sinceMs >= MAX_RESERVATION_MS) vm.openToOthersUntilMs = Math.max(vm.openToOthersUntilMs, nowMs + 1)
    }
  }

  /** Records which VMs a plan leaves to trials. All others are open to other tasks in that plan. */
  recordKeptVms (vms: readonly TrackedVm[], nowMs: number): void {
    for (const vm of vms) vm.keptForTrialsSinceMs = vm.isKeptForTrials ? vm.keptForTrialsSinceMs ?? nowMs : undefined
  }

  begin (vm: TrackedVm, reservation: TrialReservation): void {
    vm.trialReservation = reservation
    const { step, obstacle } = reservation
    this.logDecision(EventCode.TrialVmReserved, { vm: vm.id, job: step.occurrence.job.id, step: step.index, obstacle, runs: vm.runs.size, freeCpuMillis: vm.freeCpuMillis })
  }

  /** Ends the reservation of a VM, if it has one. */
  end (vm: TrackedVm, reason: ReservationEnd, nowMs: number): void {
    const { trialReservation: reservation } = vm
    if (reservation === undefined) return
    vm.trialReservation = undefined
    this.logDecision(EventCode.TrialVmReleased, { vm: vm.id, job: reservation.step.occurrence.job.id, step: reservation.step.index, reason, reservedMs: Math.round(nowMs - reservation.sinceMs) })
  }
}
