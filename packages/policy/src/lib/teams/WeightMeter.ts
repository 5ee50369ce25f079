/**
 * Finds the jobs that a team submitted beyond its weight.
 */
import type { TrackedJob } from '../jobs/TrackedJob.js'

/**
 * Time for which jobs are kept in order, so that a job that the owner learns of late gets its place. Jobs come by hints and by the
 * feed of the store, which may be some seconds behind.
 */
const KEEP_MS = 10_000

/** State of a token bucket. */
interface Bucket {
  readonly tokens: number
  readonly atMs: number
}

/**
 * A token bucket of one team, which holds the jobs of one second and at least one. A job for which it has no token is beyond the
 * weight. This follows from the acceptance times in order, whatever order the jobs become known in, so that each owner gets
 * the same result.
 * @public
 */
export class WeightMeter {
  /** Jobs of the last seconds in the order of acceptance. */
  private jobs: TrackedJob[] = []
  /** Jobs that were added since the last call of `update`. */
  private added: TrackedJob[] = []
  /** State of the bucket before the first of `jobs`, and after the last; undefined if it was full. */
  private start: Bucket | undefined
  private end: Bucket | undefined
  private weight = 0

  private constructor () {}

  static create (): WeightMeter {
    return new WeightMeter()
  }

  add (job: TrackedJob): void {
    this.added.push(job)
  }

  /** Marks the jobs that are beyond the weight. All jobs that are still kept are marked again if the weight has changed. */
  update (weight: number): void {
    if (this.added.length === 0 && weight === this.weight) return
    const added = this.added.splice(0).sort(compareAcceptance)
    const [first] = added
    const last = this.jobs.at(-1)
    const isInOrder = weight === this.weight && (first === undefined || last === undefined || compareAcceptance(last, first) < 0)
    this.weight = weight
    this.jobs.push(...added)
    if (!isInOrder) this.jobs.sort(compareAcceptance)
    let bucket = isInOrder ? this.end : this.start
    for (const job of isInOrder ? added : this.jobs) bucket = this.take(bucket, job)
    this.end = bucket
    this.dropOld()
  }

  /** Takes a token for a job, if there is one, and returns the bucket's state after it. */
  private take (bucket: Bucket | undefined, job: TrackedJob): Bucket {
    const size = Math.max(1, this.weight)
    const atMs = job.accepted.acceptedAtMs
    const tokens = bucket === undefined ? size : Math.min(size, bucket.tokens + Math.max(0, atMs - bucket.atMs) * this.weight / 1_000)
    job.isBeyondWeight = tokens < 1
    return { tokens: job.isBeyondWeight ? tokens : tokens - 1, atMs }
  }

  private dropOld (): void {
    const untilMs = (this.jobs.at(-1)?.accepted.acceptedAtMs ?? 0) - KEEP_MS
    const first = this.jobs.findIndex((job) => job.accepted.acceptedAtMs >= untilMs)
    for (const job of this.jobs.splice(0, first)) this.start = this.take(this.start, job)
  }
}

/** Jobs of one millisecond are ordered by their ids. */
function compareAcceptance (a: TrackedJob, b: TrackedJob): number {
  return a.accepted.acceptedAtMs - b.accepted.acceptedAtMs || (a.id < b.id ? -1 : 1)
}
