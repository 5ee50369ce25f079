/**
 * Durations of tasks, predicted per queue from the clients' estimates and from the runs that ended as done.
 */

/** Weight of a new sample in the exponential moving averages, which reflect about the last twenty samples. */
const SAMPLE_WEIGHT = 0.05

/** Spread of the durations of a step's parallel tasks, as a share of their mean, until steps of the queue have ended. */
const DEFAULT_TASK_SPREAD = 0.4

/** What is learned about one queue. Averages are exponential and move by `SAMPLE_WEIGHT`. */
interface QueueDurations {
  samples: number
  meanMs: number
  /** Mean of duration to estimate, over the runs with an estimate. */
  estimateRatio: number
  /** Mean relative error of the prediction by the queue's mean duration. */
  meanError: number
  /** Mean relative error of the prediction by the client's estimate times `estimateRatio`. */
  estimateError: number
  /** Spread of the durations of one step's tasks, as a share of their mean. */
  taskSpread: number
}

/**
 * Predicts durations of tasks by the client's estimate, corrected for its bias, or by the mean of the queue, whichever has
 * predicted better so far.
 * @public
 */
export class DurationEstimates {
  private readonly queues = new Map<string, QueueDurations>()

  private constructor () {}

  static create (): DurationEstimates {
    return new DurationEstimates()
  }

  /** Adds the duration of one run as a sample. `estimateMs` is the client's estimate, 0 if there is none. */
  addSample (queue: string, estimateMs: number, durationMs: number): void {
    const known = this.queues.get(queue)
    if (known === undefined) {
      this.queues.set(queue, { samples: 1, meanMs: durationMs, estimateRatio: 1, meanError: 0, estimateError: 0, taskSpread: DEFAULT_TASK_SPREAD })
      return
    }
    known.samples += 1
    known.meanError += SAMPLE_WEIGHT * (getRelativeError(known.meanMs, durationMs) - known.meanError)
    known.meanMs += SAMPLE_WEIGHT * (durationMs - known.meanMs)
    if (estimateMs <= 0) return
    known.estimateError += SAMPLE_WEIGHT * (getRelativeError(estimateMs * known.estimateRatio, durationMs) - known.estimateError)
    known.estimateRatio += SAMPLE_WEIGHT * (durationMs / estimateMs - known.estimateRatio)
  }

  /** Adds a step whose tasks have ended as a sample: its longest task took `longestMs`, while one was predicted to take `taskMs`. */
  addStepSample (queue: string, taskMs: number, longestMs: number, taskCount: number): void {
    const known = this.queues.get(queue)
    if (known === undefined || taskCount < 2 || taskMs <= 0) return
    known.taskSpread += SAMPLE_WEIGHT * ((longestMs / taskMs - 1) / getMaximumDeviation(taskCount) - known.taskSpread)
  }

  /** Returns the expected duration of one task: the client's estimate if nothing has been learned yet. */
  getTaskMs (queue: string, estimateMs: number): number {
    const known = this.queues.get(queue)
    if (known === undefined) return estimateMs
    return estimateMs > 0 && known.estimateError <= known.meanError ? estimateMs * known.estimateRatio : known.meanMs
  }

  /** Same as {@link DurationEstimates.getTaskMs}, but undefined if there are fewer than `minSamples` samples. */
  findTaskMs (queue: string, estimateMs: number, minSamples: number): number | undefined {
    return (this.queues.get(queue)?.samples ?? 0) >= minSamples ? this.getTaskMs(queue, estimateMs) : undefined
  }

  /** Returns the expected time from the start of a step's tasks until the last of them ends. */
  getStepMs (queue: string, estimateMs: number, taskCount: number): number {
    const taskMs = this.getTaskMs(queue, estimateMs)
    if (taskCount < 2) return taskMs
    const taskSpread = Math.max(0, this.queues.get(queue)?.taskSpread ?? DEFAULT_TASK_SPREAD)
    return taskMs * (1 + taskSpread * getMaximumDeviation(taskCount))
  }
}

function getRelativeError (predictedMs: number, actualMs: number): number {
  return Math.abs(Math.log(Math.max(1, predictedMs) / Math.max(1, actualMs)))
}

/**
 * Returns by how many standard deviations the largest of `count` normally distributed values exceeds their mean, on average.
 * The approximation is within a tenth for 2 to 32 values.
 */
function getMaximumDeviation (count: number): number {
  return 0.7 * Math.sqrt(2 * Math.log(count))
}
