/**
 * Brings the owner's record of a VM's runs in line with the VM's reports.
 */
import { EventCode, type RunningEntry, type VmReport } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import { blameCrash, clearIfInnocent } from './crashBlame.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedTask } from './TrackedTask.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/** Most end entries in one report, as the platform states; a full list may lack later entries. */
const MAX_ENDS_PER_REPORT = 500

/**
 * Applies a report.
 *
 * @param sentAtMs - time at which the report was requested. The report may lack runs that the VM confirmed after it.
 * @returns true if the VM drains and did not before, as it answers as an incarnation that is registered so.
 * @public
 */
export function reconcileReport (state: SchedulerState, vm: TrackedVm, report: VmReport, sentAtMs: number, nowMs: number): boolean {
  const wasDraining = vm.entry.draining
  if (report.bornMs !== undefined && report.bornMs !== vm.entry.bornMs) beginIncarnation(state, vm, report.bornMs, report.clockMs, nowMs)
  vm.confirmIncarnation(sentAtMs)
  vm.lastReportSentAtMs = sentAtMs
  vm.answeredAtMs ??= nowMs
  vm.lastAnswerAtMs = nowMs
  vm.unresponsiveSinceMs = undefined
  vm.observeClock(report.clockMs, nowMs)
  const allEndsApplied = applyEnds(state, vm, report, nowMs)
  const listed = new Set<TrackedRun>()
  let allRunsKnown = true
  for (const entry of report.running) {
    const { run, unread } = applyRunning(state, vm, entry, nowMs)
    if (unread) allRunsKnown = false
    if (run === undefined) continue
    listed.add(run)
    if (sentAtMs >= vm.answeredAtMs + state.stopMs) run.mayBeStopping = false
  }
  vm.isReconciled ||= allRunsKnown
  for (const run of allEndsApplied ? [...vm.runs.values()] : []) {
    if (!listed.has(run)) applyUnlistedRun(state, vm, run, sentAtMs, nowMs)
  }
  return vm.entry.draining && !wasDraining
}

/** Records that a VM answers as another incarnation. If one was known before, its runs are lost, as the restart ended them. */
function beginIncarnation (state: SchedulerState, vm: TrackedVm, bornMs: number, clockMs: number, nowMs: number): void {
  const isRestart = vm.hasKnownIncarnation
  if (isRestart) {
    state.logDecision(EventCode.VmRestarted, { vm: vm.id, bornMs, previousBornMs: vm.entry.bornMs, clockMs, previousLeaseUntilMs: vm.leaseUntilMs, previousEnd: vm.acknowledgedEnd })
    blameCrash(state, vm, nowMs)
  }
  state.loseRuns(vm, vm.beginIncarnation(bornMs), 'VM restarted')
}

/** Applies new end entries in order. @returns false if some are left, because a job has to be read first or the list is full. */
function applyEnds (state: SchedulerState, vm: TrackedVm, report: VmReport, nowMs: number): boolean {
  for (const end of report.ends) {
    if (end.number <= vm.appliedEnd) continue
    const { task, unread } = state.findTask(end.task)
    if (unread) return false
    state.applyEnd(vm, end, task, nowMs)
    vm.appliedEnd = end.number
  }
  return report.ends.length < MAX_ENDS_PER_REPORT
}

/** Returns the listed run, or `unread` as true if its job has to be read first. */
function applyRunning (state: SchedulerState, vm: TrackedVm, entry: RunningEntry, nowMs: number): { readonly run?: TrackedRun, readonly unread: boolean } {
  let run = vm.runs.get(`${entry.task}#${entry.run}`)
  const adopted = run === undefined
  if (run === undefined) {
    const { task, unread } = state.findTask(entry.task)
    if (unread || task === undefined) return { unread }
    run = state.adoptRun(task, vm, entry.run, nowMs)
    state.logDecision(EventCode.TaskAdopted, { task: entry.task, run: entry.run, vm: vm.id })
    loseEarlierRuns(state, run)
  }
  confirmRun(run, entry, nowMs)
  clearIfInnocent(state, run, nowMs)
  if (adopted && !isWanted(run.task, run)) state.stopRun(run, StopReason.Unwanted, nowMs)
  return { run, unread: false }
}

/**
 * Records the unconfirmed runs of a task with lower numbers as lost: a previous owner started the given run only once they had
 * certainly ended, unless copies may run in parallel.
 */
function loseEarlierRuns (state: SchedulerState, run: TrackedRun): void {
  if (run.task.step.spec.speculative) return
  for (const other of [...run.task.runs]) {
    const vm = state.vms.get(other.vmId)
    if (vm === undefined || other.number >= run.number || other.confirmedAtMs !== undefined) continue
    state.loseRuns(vm, [other], 'a later run of the task was started')
  }
}

function confirmRun (run: TrackedRun, entry: RunningEntry, nowMs: number): void {
  run.confirmedAtMs ??= nowMs
  run.isOfKnownIncarnation = true
  run.task.begun = true
  run.percent = entry.percent
  run.usage = entry.usage
  if (entry.checkpoint !== '') run.task.checkpoint = entry.checkpoint
  if (run.phase === RunPhase.Ordered || run.phase === RunPhase.Unknown) run.phase = RunPhase.Running
}

/** Returns true if the run's task is open and ready, and has no other run or is speculative. */
function isWanted (task: TrackedTask, run: TrackedRun): boolean {
  if (task.done || task.step.occurrence.job.isOver || !task.step.isReady) return false
  return task.runs.has(run) && (task.runs.size === 1 || task.step.spec.speculative)
}

/**
 * Handles a run that a report lacks although the report lists all ends. The run is lost if the report was requested after the
 * VM had confirmed the run or answered its stop. If the start of the run got no answer, a stop is ordered, as the VM may still
 * carry out the start, unless the report was requested before that was known.
 */
function applyUnlistedRun (state: SchedulerState, vm: TrackedVm, run: TrackedRun, sentAtMs: number, nowMs: number): void {
  switch (run.phase) {
    case RunPhase.Ordered:
      return
    case RunPhase.Unknown:
      // An older report may have left the VM before the start arrived there.
      if (sentAtMs >= (run.unknownSinceMs ?? 0)) state.stopRun(run, StopReason.NoAnswer, nowMs)
      return
    case RunPhase.Running:
      if (run.confirmedAtMs !== undefined && run.confirmedAtMs < sentAtMs) state.loseRuns(vm, [run], 'VM does not list the run')
      return
    case RunPhase.Stopping:
      if (run.stopAnsweredAtMs !== undefined && run.stopAnsweredAtMs < sentAtMs) state.loseRuns(vm, [run], 'stopped before it began')
  }
}
