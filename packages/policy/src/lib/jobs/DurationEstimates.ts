/**
 * Mean durations of tasks, learned per queue from the runs that ended as done.
 */

/** Weight of a new sample in the exponential moving average, which reflects about the last twenty samples. */
const SAMPLE_WEIGHT = 0.05

/**
 * Expected duration of the longest of a step's parallel tasks, as a multiple of their mean. It holds for six to eight tasks
 * whose durations are normally distributed with a standard deviation of half the mean.
 */
const PARALLEL_STEP_FACTOR = 1.6

/** Moving averages of task durations by queue, in milliseconds. @public */
export class DurationEstimates {
  private readonly meanMs = new Map<string, number>()
  /** Number of samples by queue. */
  private readonly samples = new Map<string, number>()

  private constructor () {}

  static create (): DurationEstimates {
    return new DurationEstimates()
  }

  /** Adds the duration of one run as a sample. */
  addSample (queue: string, durationMs: number): void {
    this.samples.set(queue, (this.samples.get(queue) ?? 0) + 1)
    const mean = this.meanMs.get(queue)
    this.meanMs.set(queue, mean === undefined ? durationMs : mean + SAMPLE_WEIGHT * (durationMs - mean))
  }

  /** Returns the mean duration of a queue's tasks, or undefined if there are fewer than `minSamples` samples. */
  getMeanMs (queue: string, minSamples: number): number | undefined {
    return (this.samples.get(queue) ?? 0) >= minSamples ? this.meanMs.get(queue) : undefined
  }

  /** Returns the expected duration of one task: the queue's mean, or the client's estimate if there is no sample yet. */
  getTaskMs (queue: string, estimateMs: number): number {
    return this.meanMs.get(queue) ?? estimateMs
  }

  /** Returns the expected time from the start of a step's tasks until the last of them ends. */
  getStepMs (queue: string, estimateMs: number, taskCount: number): number {
    const taskMs = this.getTaskMs(queue, estimateMs)
    return taskCount > 1 ? taskMs * PARALLEL_STEP_FACTOR : taskMs
  }
}
