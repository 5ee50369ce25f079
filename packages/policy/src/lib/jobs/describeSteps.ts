/**
 * Jobs in the log.
 */
import type { JobSpec } from '@vanillathread/model'

/** Short form of a job's steps, as in `6x1800m2500MB after 0 apart 2`. */
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
