/**
 * Brings what we believe of a VM's runs in line with what it reports.
 */
import { EventCode, type RunningEntry, type VmReport } from '@vanillathread/model'
import type { TrackedVm } from '../vms/TrackedVm.js'
import type { SchedulerState } from './SchedulerState.js'
import type { TrackedTask } from './TrackedJob.js'
import { RunPhase, StopReason, type TrackedRun } from './TrackedRun.js'

/** Ends that a VM lists at once; a full list may lack later ones. Stated by the platform. */
const MAX_ENDS_PER_REPORT = 500

/**
 * Applies a report.
 *
 * @param sentAtMs - time at which the report was asked for; what was ordered later may be missing from it.
 * @public
 */
export function reconcileReport (state: SchedulerState, vm: TrackedVm, report: VmReport, sentAtMs: number, nowMs: number): void {
  if (report.bornMs !== undefined && report.bornMs !== vm.entry.bornMs) startNewLife(state, vm, report.bornMs)
  vm.heard = true
  vm.silentSinceMs = undefined
  vm.observeClock(report.clockMs, nowMs)
  const complete = applyEnds(state, vm, report, nowMs)
  const listed = new Set<TrackedRun>()
  for (const entry of report.running) {
    const run = applyRunning(state, vm, entry, nowMs)
    if (run !== undefined) listed.add(run)
  }
  if (!complete) return
  for (const run of [...vm.runs.values()]) {
    if (!listed.has(run)) applyMissing(state, vm, run, sentAtMs, nowMs)
  }
}

/** Forgets a VM's former life, in which everything that ran has ended. */
export function startNewLife (state: SchedulerState, vm: TrackedVm, bornMs: number): void {
  const known = vm.entry.bornMs !== 0
  vm.entry = { ...vm.entry, bornMs }
  if (!known) return
  state.observe(EventCode.VmRestarted, { vm: vm.id, bornMs })
  state.loseRuns(vm, vm.startNewLife(), 'VM started again')
}

/** @returns false where ends were left for later. */
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

function applyRunning (state: SchedulerState, vm: TrackedVm, entry: RunningEntry, nowMs: number): TrackedRun | undefined {
  let run = vm.runs.get(`${entry.task}#${entry.run}`)
  const adopted = run === undefined
  if (run === undefined) {
    const { task, unread } = state.findTask(entry.task)
    if (unread || task === undefined) return undefined
    run = state.adoptRun(task, vm, entry.run, nowMs)
    state.observe(EventCode.TaskAdopted, { task: entry.task, run: entry.run, vm: vm.id })
  }
  confirm(run, entry, nowMs)
  if (adopted && !isWanted(run.task, run)) state.stopRun(run, StopReason.Unwanted, nowMs)
  return run
}

function confirm (run: TrackedRun, entry: RunningEntry, nowMs: number): void {
  run.confirmedAtMs ??= nowMs
  run.task.begun = true
  run.percent = entry.percent
  run.usage = entry.usage
  if (entry.checkpoint !== '') run.task.checkpoint = entry.checkpoint
  if (run.phase === RunPhase.Ordered || run.phase === RunPhase.Unsure) run.phase = RunPhase.Running
}

/** A run is wanted if its task is open and nothing else runs it. */
function isWanted (task: TrackedTask, run: TrackedRun): boolean {
  if (task.done || task.step.occurrence.job.isOver || !task.step.isReady) return false
  return task.runs.has(run) && (task.runs.size === 1 || task.step.spec.speculative)
}

function applyMissing (state: SchedulerState, vm: TrackedVm, run: TrackedRun, sentAtMs: number, nowMs: number): void {
  switch (run.phase) {
    case RunPhase.Ordered:
      return
    case RunPhase.Unsure:
      state.stopRun(run, StopReason.NoAnswer, nowMs)
      return
    case RunPhase.Running:
      if (run.confirmedAtMs !== undefined && run.confirmedAtMs < sentAtMs) state.loseRuns(vm, [run], 'VM does not list the run')
      return
    case RunPhase.Stopping:
      if (run.stopAnsweredAtMs !== undefined && run.stopAnsweredAtMs < sentAtMs) state.loseRuns(vm, [run], 'stopped before it began')
  }
}
