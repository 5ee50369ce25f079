/**
 * Bench process: callers that send requests at a given rate, without waiting for the answers.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { WorkClass } from '@vanillathread/model'
import { RandomSource } from '@vanillathread/policy'
import { serveCommands } from '../lib/hostProtocol.js'

/** Load on one service. */
export interface ServiceLoad {
  /** Path to which the path of each request is appended. */
  readonly path: string
  readonly requestsPerSecond: number
}

/** Load and targets of one run. */
export interface CallerPlan {
  /** Base URLs of the daemons or endpoints; each request goes to a random one. */
  readonly targets: readonly string[]
  readonly loads: readonly ServiceLoad[]
  readonly durationMs: number
  /** Deadline that each request carries, in milliseconds from its start. */
  readonly deadlineMs: number
  readonly seed: number
  /** Path whose requests count for the result; all requests count if it is absent. */
  readonly measuredPath?: string
}

/** Latency percentiles of a group of requests, in milliseconds. */
export interface Latency {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

/** Result of one run, as the callers counted it. */
export interface CallerResult {
  readonly sent: number
  /** Successful answers. */
  readonly answered: number
  /** Successful answers that arrived while requests were still being sent. */
  readonly answeredUnderLoad: number
  /** Unsuccessful answers that state that the request was not run. */
  readonly refused: number
  /** Unsuccessful answers that do not state that the request was not run. */
  readonly unknown: number
  /** Requests that got no complete answer. */
  readonly failed: number
  readonly urgentSent: number
  readonly urgentAnswered: number
  /** Latency of refusals, which must be immediate. */
  readonly refusal: Latency
  readonly latency: Readonly<Record<WorkClass, Latency>>
}

/** Interval at which due requests are sent, and at which the callers check whether open requests have ended. */
const TICK_MS = 5
const MICROSECONDS_PER_MILLISECOND = 1000
/** Highest latency that the histograms record. */
const HIGHEST_MICROSECONDS = 120_000_000
/** Shares of urgent, normal and deferrable requests. */
const CLASS_SHARES: ReadonlyArray<[WorkClass, number]> = [[WorkClass.Urgent, 0.2], [WorkClass.Normal, 0.6], [WorkClass.Deferrable, 0.2]]

/** One execution of a plan. */
class LoadRun {
  readonly counts = { sent: 0, answered: 0, answeredUnderLoad: 0, refused: 0, unknown: 0, failed: 0, urgentSent: 0, urgentAnswered: 0 }
  readonly refusal = createHistogram()
  readonly latency = new Map(CLASS_SHARES.map(([workClass]) => [workClass, createHistogram()]))
  private readonly agent = new Agent({ connections: 400, pipelining: 1 })
  private readonly random: RandomSource
  private openRequests = 0
  /** True while requests are still being sent. */
  private isLoadRunning = true

  constructor (private readonly plan: CallerPlan) {
    this.random = RandomSource.create(plan.seed)
  }

  async execute (): Promise<CallerResult> {
    const startMs = performance.now()
    const sentCounts = this.plan.loads.map(() => 0)
    while (performance.now() - startMs < this.plan.durationMs) {
      const elapsedMs = performance.now() - startMs
      this.plan.loads.forEach((load, index) => {
        const targetCount = load.requestsPerSecond * elapsedMs / 1000
        for (; (sentCounts[index] ?? 0) < targetCount; sentCounts[index] = (sentCounts[index] ?? 0) + 1) this.send(load)
      })
      await new Promise((resolve) => { setTimeout(resolve, TICK_MS) })
    }
    this.isLoadRunning = false
    while (this.openRequests > 0) await new Promise((resolve) => { setTimeout(resolve, TICK_MS) })
    await this.agent.close()
    return this.getResult()
  }

  private async send (load: ServiceLoad): Promise<void> {
    this.openRequests += 1
    const measured = this.plan.measuredPath === undefined || this.plan.measuredPath === load.path
    const target = this.plan.targets[this.random.nextBelow(this.plan.targets.length)] ?? ''
    const workClass = this.chooseClass()
    const startedMs = performance.now()
    if (measured) this.recordSent(workClass)
    try {
      const res = await request(`${target}${load.path}/items/1`, {
        method: 'GET',
        headers: { 'x-request-token': 'bench', 'vanillathread-class': workClass, 'vanillathread-deadline-ms': String(this.plan.deadlineMs) },
        dispatcher: this.agent,
      })
      await res.body.dump()
      if (measured) this.recordAnswer(res.statusCode, res.headers['vanillathread-execution'], workClass, performance.now() - startedMs)
    } catch {
      if (measured) this.counts.failed += 1
    } finally {
      this.openRequests -= 1
    }
  }

  private recordSent (workClass: WorkClass): void {
    this.counts.sent += 1
    if (workClass === WorkClass.Urgent) this.counts.urgentSent += 1
  }

  private recordAnswer (status: number, execution: unknown, workClass: WorkClass, timeMs: number): void {
    const microseconds = Math.round(timeMs * MICROSECONDS_PER_MILLISECOND)
    if (status === 200) {
      this.counts.answered += 1
      if (this.isLoadRunning) this.counts.answeredUnderLoad += 1
      if (workClass === WorkClass.Urgent) this.counts.urgentAnswered += 1
      this.latency.get(workClass)?.recordValue(microseconds)
    } else if (execution === 'not-run') {
      this.counts.refused += 1
      this.refusal.recordValue(microseconds)
    } else {
      this.counts.unknown += 1
    }
  }

  private chooseClass (): WorkClass {
    let remaining = this.random.nextFloat()
    for (const [workClass, share] of CLASS_SHARES) {
      remaining -= share
      if (remaining < 0) return workClass
    }
    return WorkClass.Normal
  }

  private getResult (): CallerResult {
    const latency = Object.fromEntries([...this.latency].map(([workClass, histogram]) => [workClass, summarize(histogram)]))
    return { ...this.counts, refusal: summarize(this.refusal), latency: latency as Record<WorkClass, Latency> }
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3 })
}

function summarize (histogram: Histogram): Latency {
  const getPercentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
  return { count: histogram.totalCount, p50: getPercentileMs(50), p99: getPercentileMs(99), p999: getPercentileMs(99.9) }
}

serveCommands({ run: (plan: CallerPlan) => new LoadRun(plan).execute() })
