/**
 * Decides which tasks are suspected of having crashed a VM, and gives up those under which another VM has crashed in a trial, that
 * is, while no other task was started there.
 *
 * This handles tasks that crash every VM that starts them, beside many innocent tasks on the same VMs, and VMs that crash for
 * another cause.
 */
import { EventCode } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedTask } from './TrackedTask.js'
import type { TrackedRun } from './TrackedRun.js'

/**
 * A run that has worked for this long without a crash of its VM is not suspected of a later one: a task that crashes its VM
 * does so as it starts.
 */
const CLEARED_AFTER_MS = 2_000

/** A run is a prime suspect if it was ordered at most this long before the last answer of the VM, or after it. */
const PRIME_WINDOW_MS = 100

/** Confirmed crashes after which a task is given up, if the last one was in a trial; one more in any case. */
const CONFIRMED_CRASHES_TO_GIVE_UP = 2

/**
 * Crashes, confirmed or not, after which a task is given up: the platform allows two starts after the third crash. A start that the VM
 * did not confirm may have come after its crash.
 */
const MAX_CRASHES = 5

/** Time after a crash for which the machine is used last for trials, as it may crash again by itself. */
const MACHINE_CAUTION_MS = 10_000

/** Records that a VM has crashed under its runs. Call it before the runs are recorded as lost. */
export function blameCrash (state: SchedulerState, vm: TrackedVm, nowMs: number): void {
  if (vm.entry.draining) return
  if (vm.entry.machine !== undefined) state.crashedMachines.set(vm.entry.machine, nowMs)
  const inTrial = vm.isOnTrial
  const suspects = (inTrial ? vm.trialRuns : [...vm.runs.values()]).filter((run) => isSuspect(run, vm))
  if (suspects.length === 0) return
  state.logDecision(EventCode.VmCrashed, { vm: vm.id, machine: vm.entry.machine, runs: vm.runs.size, trial: inTrial, suspects: suspects.slice(0, MAX_LOGGED_RUNS).map(({ name }) => name).join(' ') })
  for (const run of suspects) {
    const { task } = run
    task.recordCrash({ vm: vm.id, confirmed: run.confirmedAtMs !== undefined }, isPrimeSuspect(run, vm))
    state.suspects.add(task)
    if (!task.step.occurrence.job.isOver && isAtFault(task, inTrial)) giveUp(state, task, nowMs)
  }
}

/** Returns true if the crashes suffice to give the task up. */
function isAtFault ({ crashes }: TrackedTask, inTrial: boolean): boolean {
  const confirmed = crashes.filter((crash) => crash.confirmed).length
  return crashes.length >= MAX_CRASHES || confirmed > CONFIRMED_CRASHES_TO_GIVE_UP || (inTrial && crashes.at(-1)?.confirmed === true && confirmed === CONFIRMED_CRASHES_TO_GIVE_UP)
}

/** Clears a task whose run has worked for `CLEARED_AFTER_MS`, so that it did not cause the former crashes. */
export function clearIfInnocent (state: SchedulerState, run: TrackedRun, nowMs: number): void {
  if (run.task.crashes.length === 0 || run.confirmedAtMs === undefined || nowMs - run.confirmedAtMs < CLEARED_AFTER_MS) return
  run.task.clearCrashes()
  state.suspects.delete(run.task)
}

/** Returns true if a run may have silenced its VM, so that a copy of it may crash another one. */
export function maySilenceVm (run: TrackedRun, vm: TrackedVm): boolean {
  return run.task.crashes.length > 0 || (vm.unresponsiveSinceMs !== undefined && isPrimeSuspect(run, vm))
}

/** Returns true if the machine of a VM has crashed a short time ago. */
export function hasCrashedRecently (state: SchedulerState, vm: TrackedVm, nowMs: number): boolean {
  return nowMs - (state.crashedMachines.get(vm.entry.machine ?? '') ?? -Infinity) < MACHINE_CAUTION_MS
}

/** Runs that the log line of a crash names at the most. */
const MAX_LOGGED_RUNS = 10

function isSuspect (run: TrackedRun, vm: TrackedVm): boolean {
  const { task } = run
  if (vm.runs.get(run.key) !== run || task.done || task.step.occurrence.job.isOver || task.crashes.some((crash) => crash.vm === vm.id)) return false
  return run.confirmedAtMs === undefined || vm.lastAnswerAtMs - run.confirmedAtMs < CLEARED_AFTER_MS
}

/**
 * Returns true if the run began so shortly before the VM's last answer, or after it, that it is likely to have caused the crash. The runs
 * that a former owner recorded for a silent VM all are, as the VM has not answered this owner since.
 */
function isPrimeSuspect (run: TrackedRun, vm: TrackedVm): boolean {
  return run.orderedAtMs >= vm.lastAnswerAtMs - PRIME_WINDOW_MS
}

function giveUp (state: SchedulerState, task: TrackedTask, nowMs: number): void {
  const { job } = task.step.occurrence
  job.failed = true
  job.changed = true
  state.logDecision(EventCode.JobGivenUp, { job: job.id, step: task.step.index, index: task.index, crashes: task.crashes.length, vms: task.crashes.map((crash) => crash.vm).join(' ') })
  state.closeIfOver(job, nowMs)
}
