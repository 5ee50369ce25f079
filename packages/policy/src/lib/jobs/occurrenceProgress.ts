/**
 * Conversion of an occurrence to the progress that is stored of it, and back.
 */
import { decodeValues, encodeValues, type CodedValues } from './indexSets.js'
import type { OccurrenceProgress } from './JobProgress.js'
import { getMinStoredCrashes, ProgressForm } from './ProgressForm.js'
import type { TrackedOccurrence, TrackedStep } from './TrackedOccurrence.js'
import type { TaskCrash, TrackedTask } from './TrackedTask.js'

/** Done tasks of a step are listed one by one up to this number, as earlier builds read only that. A bit for each task takes less room. */
const MAX_DONE_LISTED = 4_000

/** Estimates of bytes: of a number, of a list beside its numbers, of a step's coded values beside the values and sets, and of a set beside its content. */
const NUMBER_BYTES = 2
const LIST_BYTES = 1
const CODED_STEP_BYTES = 8
const SET_BYTES = 5

/** Applies stored progress to an occurrence that is tracked again. */
export function restoreOccurrence (occurrence: TrackedOccurrence | undefined, saved: OccurrenceProgress, crashVms?: readonly string[]): void {
  const markDone = (step: number, index: number): void => {
    const task = occurrence?.steps[step]?.tasks[index]
    if (task !== undefined) task.step.markDone(task)
  }
  for (const [step, done] of saved.done) for (const index of done) markDone(step, index)
  for (const [step, bits] of saved.doneBits ?? []) {
    for (let index = 0; index < bits.length * 8; index++) if (((bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0) markDone(step, index)
  }
  for (const [step, index, runs] of saved.failed) {
    const task = occurrence?.steps[step]?.tasks[index]
    for (const run of runs) task?.failedRuns.add(run)
  }
  for (const [step, coded] of saved.failedSets ?? []) {
    for (const [task, runs] of decodeTasks(occurrence?.steps[step], coded)) for (const run of runs) task.failedRuns.add(run)
  }
  for (const [step, coded] of saved.failedCounts ?? []) {
    for (const [task, [count, upToRun]] of decodeTasks(occurrence?.steps[step], coded)) task.formerFailures = { count, upToRun }
  }
  for (const [task, crashes] of listCrashes(occurrence, saved, crashVms)) task.restoreCrashes(crashes)
}

/** Returns the stored crashes of an occurrence's tasks. */
export function listCrashes (occurrence: TrackedOccurrence | undefined, { crashed = [], crashedSets = [] }: OccurrenceProgress, crashVms: readonly string[] = []): Array<readonly [TrackedTask, readonly TaskCrash[]]> {
  const listed = crashed.flatMap(([step, index, crashes]) => {
    const task = occurrence?.steps[step]?.tasks[index]
    return task === undefined ? [] : [[task, crashes] as const]
  })
  const coded = crashedSets.flatMap(([step, values]) => decodeTasks(occurrence?.steps[step], values).map(([task, codes]) => [task, codes.map((code) => decodeCrash(code, crashVms))] as const))
  return [...listed, ...coded]
}

/**
 * Returns the progress of an occurrence in the given form, or undefined if there is none to store.
 *
 * @param crashVms - VMs that the crashes of the job's occurrences refer to; VMs that it lacks are added.
 */
export function toOccurrenceProgress (occurrence: TrackedOccurrence, form: ProgressForm, crashVms: string[]): OccurrenceProgress | undefined {
  const done: Array<[number, number[]]> = []
  const doneBits: Array<[number, Uint8Array]> = []
  const failures: StoredFailures = { failed: [], failedSets: [], failedCounts: [] }
  const crashed: Array<[number, number, readonly TaskCrash[]]> = []
  const crashedSets: Array<[number, CodedValues<readonly number[]>]> = []
  const minCrashes = getMinStoredCrashes(form)
  for (const step of occurrence.steps) {
    const indexes = step.tasks.filter((task) => task.done).map((task) => task.index)
    const maxListed = form === ProgressForm.Listed ? MAX_DONE_LISTED : step.tasks.length / (8 * NUMBER_BYTES)
    if (indexes.length > maxListed) doneBits.push([step.index, toBits(indexes, step.tasks.length)])
    else if (indexes.length > 0) done.push([step.index, indexes])
    // Long-running tasks have no limit of attempts, and done tasks are not started again, so their failures need not be stored.
    if (!step.spec.longRunning && form !== ProgressForm.DoneOnly) addFailures(failures, step, form)
    const suspects = step.tasks.filter((task) => !task.done && task.crashes.length >= minCrashes)
    if (form === ProgressForm.Listed) crashed.push(...suspects.map((task): [number, number, readonly TaskCrash[]] => [step.index, task.index, task.crashes]))
    else if (suspects.length > 0) crashedSets.push([step.index, encodeValues(suspects.map((task) => [task.index, task.crashes.map((crash) => encodeCrash(crash, crashVms))]), String)])
  }
  const optional = [['doneBits', doneBits], ['failedSets', failures.failedSets], ['failedCounts', failures.failedCounts], ['crashed', crashed], ['crashedSets', crashedSets]] as const
  const present = optional.filter(([, entries]) => entries.length > 0)
  if (done.length === 0 && failures.failed.length === 0 && present.length === 0) return undefined
  return { index: occurrence.index, done, failed: failures.failed, ...Object.fromEntries(present) }
}

/** Failures of an occurrence's tasks; see {@link OccurrenceProgress}. */
interface StoredFailures {
  readonly failed: Array<[number, number, readonly number[]]>
  readonly failedSets: Array<[number, CodedValues<readonly number[]>]>
  readonly failedCounts: Array<[number, CodedValues<readonly [number, number]>]>
}

/** Adds the failed runs of a step's tasks in the shortest way that the form allows. */
function addFailures ({ failed, failedSets, failedCounts }: StoredFailures, step: TrackedStep, form: ProgressForm): void {
  const tasks = step.tasks.filter((task) => !task.done && task.failureCount > 0)
  if (tasks.length === 0) return
  if (tasks.some((task) => task.formerFailures !== undefined)) {
    failedCounts.push([step.index, encodeCounts(tasks, form)])
    return
  }
  const listed = tasks.map((task): [number, number, readonly number[]] => [step.index, task.index, [...task.failedRuns].sort((a, b) => a - b)])
  const sets = form === ProgressForm.Listed ? undefined : encodeValues(listed.map(([, index, runs]) => [index, runs]), String)
  const counts = form < ProgressForm.FailureCounts ? undefined : encodeCounts(tasks, form)
  const setBytes = sets === undefined ? Infinity : measureCoded(sets)
  const countBytes = counts === undefined ? Infinity : measureCoded(counts)
  if (measureListed(listed) <= Math.min(setBytes, countBytes)) failed.push(...listed)
  else if (sets !== undefined && setBytes <= countBytes) failedSets.push([step.index, sets])
  else if (counts !== undefined) failedCounts.push([step.index, counts])
}

function encodeCounts (tasks: readonly TrackedTask[], form: ProgressForm): CodedValues<readonly [number, number]> {
  const highest = tasks.reduce((run, task) => Math.max(run, task.highestFailedRun), 0)
  return encodeValues(tasks.map((task) => [task.index, [task.failureCount, form === ProgressForm.FailureTotals ? highest : task.highestFailedRun]]), String)
}

function measureListed (listed: ReadonlyArray<readonly [number, number, readonly number[]]>): number {
  return listed.reduce((sum, [,, runs]) => sum + 2 * (LIST_BYTES + NUMBER_BYTES) + NUMBER_BYTES * runs.length, 0)
}

function measureCoded ([values, planes]: CodedValues<readonly number[]>): number {
  const valueBytes = values.reduce((sum, { length }) => sum + LIST_BYTES + NUMBER_BYTES * length, 0)
  return CODED_STEP_BYTES + valueBytes + planes.reduce((sum, { length }) => sum + SET_BYTES + length, 0)
}

function decodeTasks<Value> (step: TrackedStep | undefined, coded: CodedValues<Value>): Array<readonly [TrackedTask, Value]> {
  if (step === undefined) return []
  return decodeValues(coded, step.tasks.length).flatMap(([index, value]) => {
    const task = step.tasks[index]
    return task === undefined ? [] : [[task, value] as const]
  })
}

function encodeCrash ({ vm, confirmed }: TaskCrash, crashVms: string[]): number {
  let position = crashVms.indexOf(vm)
  if (position < 0) position = crashVms.push(vm) - 1
  return 2 * position + (confirmed ? 1 : 0)
}

function decodeCrash (code: number, crashVms: readonly string[]): TaskCrash {
  return { vm: crashVms[code >> 1] ?? '', confirmed: (code & 1) !== 0 }
}

function toBits (indexes: readonly number[], count: number): Uint8Array {
  const bits = new Uint8Array(Math.ceil(count / 8))
  for (const index of indexes) bits[index >> 3] = (bits[index >> 3] ?? 0) | (1 << (index & 7))
  return bits
}
