/**
 * Names of steps and tasks as VMs know them.
 */

/** The parts of a task's name. @public */
export interface TaskName {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})$/

/** Formats a step's name. @public */
export function formatStepName (jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`
}

/** Formats a task's name. @public */
export function formatTaskName (name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`
}

/** Parses a task's name, or returns undefined where it is no such name. @public */
export function parseTaskName (text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
