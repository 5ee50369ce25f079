/**
 * Durations of tasks, learned per queue from the runs that ended.
 */

/** Weight of a new sample in the moving average: about the last twenty samples count. */
const SAMPLE_WEIGHT = 0.05

/** Longest of several parallel tasks against their mean; from a normal spread of half the mean and six to eight tasks. */
const WIDE_STEP_FACTOR = 1.6

/** Learned durations. @public */
export class DurationEstimates {
  private readonly meanMs = new Map<string, number>()
  private readonly samples = new Map<string, number>()

  private constructor () {}

  static create (): DurationEstimates {
    return new DurationEstimates()
  }

  observe (queue: string, durationMs: number): void {
    this.samples.set(queue, (this.samples.get(queue) ?? 0) + 1)
    const mean = this.meanMs.get(queue)
    this.meanMs.set(queue, mean === undefined ? durationMs : mean + SAMPLE_WEIGHT * (durationMs - mean))
  }

  /** Mean duration of a queue's tasks, or undefined until there are enough samples. */
  getTrustedMs (queue: string, leastSamples: number): number | undefined {
    return (this.samples.get(queue) ?? 0) >= leastSamples ? this.meanMs.get(queue) : undefined
  }

  /** Expected duration of one task. */
  getTaskMs (queue: string, estimateMs: number): number {
    return this.meanMs.get(queue) ?? estimateMs
  }

  /** Expected time until the last of a step's parallel tasks ends. */
  getStepMs (queue: string, estimateMs: number, taskCount: number): number {
    const taskMs = this.getTaskMs(queue, estimateMs)
    return taskCount > 1 ? taskMs * WIDE_STEP_FACTOR : taskMs
  }
}
