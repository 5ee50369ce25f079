/**
 * Starts a task on a chosen VM, with what all kinds of placement need.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedJob } from './TrackedJob.js'
import type { TrackedStep } from './TrackedOccurrence.js'
import type { TrackedTask } from './TrackedTask.js'
import type { TrackedRun } from './TrackedRun.js'

/** Clocks and callbacks that placement needs in addition to the shard's state. @public */
export interface PlacementContext {
  readonly nowMs: number
  /** Store clock in milliseconds, on which jobs are accepted. */
  readonly storeNowMs: number
  /** Wall clock in milliseconds since 1970, on which occurrences are due. */
  readonly wallClockMs: number
  /** VMs of the pool. */
  readonly vms: readonly TrackedVm[]
  /** Returns true if tasks of the job may be started, because the owner certainly knows all its runs. */
  mayStart (job: TrackedJob): boolean
  /**
   * Returns the admission service's tickets for a step by VM id, or undefined if there are none yet.
   *
   * @param hasRoom - true if a task of the step could be started now with a ticket.
   */
  getTickets (step: TrackedStep, hasRoom: boolean): ReadonlyMap<string, string> | undefined
}

/** Orders the start of a task on a VM, and logs it. */
export function startTask (
  state: SchedulerState, task: TrackedTask, vm: TrackedVm, number: number,
  tickets: ReadonlyMap<string, string> | 'none', context: PlacementContext
): TrackedRun {
  const { job } = task.step.occurrence
  const run = state.startRun(task, vm, number, context.nowMs, tickets === 'none' ? undefined : tickets.get(vm.id))
  state.logDecision(EventCode.TaskStartOrdered, {
    task: run.name, run: number, vm: vm.id, freeCpuMillis: vm.freeCpuMillis, waitedMs: Math.round(context.storeNowMs - job.accepted.acceptedAtMs),
  })
  return run
}

/**
 * Returns the step's tickets by VM id, `'none'` if its job needs no tickets, or undefined if there are none yet.
 *
 * @param vms - VMs on which tasks may be placed.
 */
export function getTicketsIfRequired (step: TrackedStep, vms: readonly TrackedVm[], context: PlacementContext): ReadonlyMap<string, string> | 'none' | undefined {
  if (step.occurrence.job.accepted.advice === undefined) return 'none'
  const { need, fills } = step.spec
  return context.getTickets(step, vms.some((vm) => vm.hasRoom(need, fills) && isAllowed(step, vm, 'none')))
}

/** Returns true if the VM has the label and the ticket that the step requires, if any. */
export function isAllowed (step: TrackedStep, vm: TrackedVm, tickets: ReadonlyMap<string, string> | 'none'): boolean {
  const { requiredLabel } = step.spec
  if (requiredLabel !== undefined && !vm.entry.labels.includes(requiredLabel)) return false
  return tickets === 'none' || tickets.has(vm.id)
}
