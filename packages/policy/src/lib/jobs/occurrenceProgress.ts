/**
 * Conversion of an occurrence to the progress that is stored of it, and back.
 */
import type { OccurrenceProgress } from './JobProgress.js'
import type { TrackedOccurrence } from './TrackedOccurrence.js'
import type { TaskCrash } from './TrackedTask.js'

/** Done tasks of a step are listed one by one up to this number, as earlier builds read only that. A bit for each task takes less room. */
const MAX_DONE_LISTED = 4_000

/** Applies stored progress to an occurrence that is tracked again. */
export function restoreOccurrence (occurrence: TrackedOccurrence | undefined, saved: OccurrenceProgress): void {
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
  for (const [step, index, crashes] of saved.crashed ?? []) occurrence?.steps[step]?.tasks[index]?.restoreCrashes(crashes)
}

/** Returns the progress of an occurrence, or undefined if there is none to store. */
export function toOccurrenceProgress (occurrence: TrackedOccurrence): OccurrenceProgress | undefined {
  const done: Array<[number, number[]]> = []
  const doneBits: Array<[number, Uint8Array]> = []
  const failed: Array<[number, number, number[]]> = []
  const crashed: Array<[number, number, readonly TaskCrash[]]> = []
  for (const step of occurrence.steps) {
    const indexes = step.tasks.filter((task) => task.done).map((task) => task.index)
    if (indexes.length > MAX_DONE_LISTED) doneBits.push([step.index, toBits(indexes, step.tasks.length)])
    else if (indexes.length > 0) done.push([step.index, indexes])
    for (const task of step.tasks) {
      // Long-running tasks have no limit of attempts, and done tasks are not started again, so their failures need not be stored.
      if (!step.spec.longRunning && !task.done && task.failedRuns.size > 0) failed.push([step.index, task.index, [...task.failedRuns]])
      if (!task.done && task.crashes.length > 0) crashed.push([step.index, task.index, task.crashes])
    }
  }
  if (done.length === 0 && doneBits.length === 0 && failed.length === 0 && crashed.length === 0) return undefined
  return { index: occurrence.index, done, ...(doneBits.length > 0 && { doneBits }), failed, ...(crashed.length > 0 && { crashed }) }
}

function toBits (indexes: readonly number[], count: number): Uint8Array {
  const bits = new Uint8Array(Math.ceil(count / 8))
  for (const index of indexes) bits[index >> 3] = (bits[index >> 3] ?? 0) | (1 << (index & 7))
  return bits
}
