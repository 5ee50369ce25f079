/**
 * Counts the jobs that clients see as pending.
 */
import type { SchedulerState } from './SchedulerState.js'

/** Returns the number of a queue's open jobs of which no task has begun. @public */
export function countPendingJobs (state: SchedulerState, queue: string): number {
  let count = 0
  for (const jobs of state.openJobs.values()) {
    for (const job of jobs) {
      if (job.accepted.queue === queue && !job.begun) count += 1
    }
  }
  return count
}
