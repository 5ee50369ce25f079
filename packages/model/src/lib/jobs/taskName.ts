/**
 * Names of steps and tasks, as sent to VMs and the admission service.
 */

/** Parts of a task's name. All numbers are counted from 0. @public */
export interface TaskName {
  /** 16 hexadecimal digits. */
  readonly jobId: string
  readonly occurrence: number
  /** Index of the step in its job. */
  readonly step: number
  /** Index of the task in its step. */
  readonly index: number
}

const TASK_NAME = /^([0-9a-f]{16})\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})$/

/** Formats the name of a step as `JOB.OCCURRENCE.STEP`. @public */
export function formatStepName (jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`
}

/** Formats the name of a task as `JOB.OCCURRENCE.STEP.INDEX`. @public */
export function formatTaskName (name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`
}

/** Parses the name of a task. Returns undefined if the text is not such a name. @public */
export function parseTaskName (text: string): TaskName | undefined {
  const match = TASK_NAME.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] ?? '', occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
