/**
 * Short descriptions of jobs for the log.
 */
import type { JobSpec } from '@vanillathread/model'

/**
 * Describes a job's steps in short form. For example, `6x1800m2500MB after 0 apart 2` stands for six tasks with
 * 1800 thousandths of a core and 2500 MB each, which start after step 0 has ended, with at most two of them on one VM.
 * `lasts miss 1` marks long-running tasks of which one may be unavailable, `target` a latency target in milliseconds, `fills`
 * best-effort tasks, `saves` tasks with checkpoints, and `copies` speculative tasks.
 */
export function describeSteps (spec: JobSpec): string {
  return spec.steps.map((step) => [
    `${step.taskCount}x${step.need.cpuMillis}m${step.need.memoryMb}MB`,
    step.after.length > 0 ? `after ${step.after.join('+')}` : '',
    step.maxTasksPerVm === undefined ? '' : `apart ${step.maxTasksPerVm}`,
    step.longRunning ? `lasts miss ${step.mayMiss}` : '',
    step.targetMs === undefined ? '' : `target ${step.targetMs}`,
    step.fills ? 'fills' : '',
    step.gang ? 'gang' : '',
    step.checkpointing ? 'saves' : '',
    step.speculative ? 'copies' : '',
  ].filter((part) => part !== '').join(' ')).join(', ')
}
