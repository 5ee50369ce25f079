/**
 * One soak: a cluster under load and faults, with a checker.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { appendFileSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import type { JobViolation } from '@vanillathread/integration'
import { JobState } from '@vanillathread/model'
import { FaultInjector } from './FaultInjector.js'
import { createSchedule, describeFault, type Fault, type FaultKind } from './FaultSchedule.js'
import { SoakChecker } from './SoakChecker.js'
import { SoakCluster, type PlantedFaults } from './SoakCluster.js'
import { SoakLoad } from './SoakLoad.js'

/** Options of {@link SoakRun.start}. */
export interface SoakRunOptions {
  readonly seed: number
  /** Time of load and faults. */
  readonly durationMs: number
  readonly daemons?: number
  readonly kinds?: readonly FaultKind[]
  /** Faults to play instead of the seed's schedule. */
  readonly schedule?: readonly Fault[]
  readonly planted?: PlantedFaults
}

/** Figures of a soak. */
export interface SoakResult {
  readonly violations: readonly JobViolation[]
  readonly submitted: number
  readonly accepted: number
  readonly completed: number
  readonly starts: number
  readonly faults: ReadonlyMap<FaultKind, number>
}

const DEFAULT_DAEMONS = 3
const CHECK_INTERVAL_MS = 250

/** Time after the end of load and faults until every accepted job must have ended: the rules' `finish_s`. */
const FINISH_MS = 14_000

/** Lines of a log that a report shows for one job. */
const MAX_LOG_LINES = 40

/** A soak in its phases: {@link start}, {@link play}, {@link settle}, {@link stop}. */
export class SoakRun {
  private constructor (
    private readonly options: SoakRunOptions,
    readonly schedule: readonly Fault[],
    private readonly cluster: SoakCluster,
    private readonly checker: SoakChecker,
    private readonly load: SoakLoad,
    private readonly injector: FaultInjector
  ) {}

  /** Starts the processes. */
  static async start (options: SoakRunOptions): Promise<SoakRun> {
    const { seed, durationMs, kinds } = options
    const checker = SoakChecker.create()
    const cluster = await SoakCluster.start({
      seed,
      daemons: options.daemons ?? DEFAULT_DAEMONS,
      planted: options.planted ?? {},
      onVmEvent: (event, folder) => {
        appendFileSync(join(folder, 'events.jsonl'), `${JSON.stringify({ time: new Date().toISOString(), atMs: Math.round(checker.nowMs()), ...event })}\n`)
        checker.handleVmEvent(event)
      },
      onWaveState: (wave, complete) => { if (complete) checker.history.onWaveComplete(wave) },
    })
    const load = SoakLoad.create({ cluster, checker, seed })
    const schedule = options.schedule ?? createSchedule({ seed, durationMs, kinds })
    return new SoakRun(options, schedule, cluster, checker, load, FaultInjector.create(cluster, checker))
  }

  /** Plays load and faults. Resolves when the time is over and no fault is active. */
  async play (): Promise<void> {
    this.checker.begin()
    this.load.start()
    const checks = setInterval(() => this.checker.checkBounds(), CHECK_INTERVAL_MS)
    const faults = this.schedule.map(async (fault) => {
      await sleep(fault.atMs)
      await this.injector.play(fault)
    })
    await Promise.all([sleep(this.options.durationMs), ...faults])
    clearInterval(checks)
    this.load.stopSubmitting()
  }

  /** Waits until all accepted jobs have ended, and checks the final state. */
  async settle (): Promise<void> {
    const endMs = this.checker.nowMs() + FINISH_MS
    while (this.checker.nowMs() < endMs && !this.isSettled()) {
      await sleep(CHECK_INTERVAL_MS)
      this.checker.checkBounds()
    }
    this.checker.history.checkFinalState()
    for (const { job, cancelAckAtMs } of this.checker.jobs.values()) {
      if (cancelAckAtMs !== undefined && !isFinal(job.shownState)) this.checker.report('LOST', `${job.id} was cancelled, but is shown as ${job.shownState ?? 'nothing'}`)
    }
  }

  /** Ends all processes. Keeps the logs if there are violations. */
  async stop (): Promise<void> {
    this.load.stop()
    await this.cluster.stop()
    if (this.checker.violations.length === 0) rmSync(this.cluster.folder, { recursive: true, force: true })
  }

  get result (): SoakResult {
    const jobs = [...this.checker.jobs.values()].map(({ job }) => job)
    return {
      violations: this.checker.violations,
      submitted: jobs.length,
      accepted: jobs.filter((job) => job.accepted).length,
      completed: jobs.filter((job) => job.shownState === JobState.Complete).length,
      starts: this.checker.history.starts,
      faults: this.injector.counts,
    }
  }

  /** Describes the violations with the schedule, the logs of their jobs and the command that plays the seed again. */
  describeViolations (command: string): string {
    const lines = [`seed ${this.options.seed}: ${this.checker.violations.length} violations, logs in ${this.cluster.folder}`, 'schedule:']
    lines.push(...this.schedule.map((fault) => `  ${describeFault(fault)}`))
    for (const { rule, atMs, detail } of this.checker.violations) lines.push(`${rule} at ${(atMs / 1_000).toFixed(1)} s: ${detail}`)
    const jobs = new Set(this.checker.violations.flatMap(({ detail }) => /[0-9a-f]{16}/.exec(detail) ?? []))
    for (const job of [...jobs].slice(0, 3)) lines.push(`logs of ${job}:`, ...this.readLogs(job))
    lines.push(`play again: ${command}`)
    return lines.join('\n')
  }

  private isSettled (): boolean {
    return [...this.checker.jobs.values()].every(({ job, finalAtMs }) => !job.accepted || finalAtMs !== undefined || job.spec.steps.some((step) => step.longRunning)) && this.checker.areLongRunningAtWork()
  }

  private readLogs (job: string): string[] {
    const files = readdirSync(this.cluster.folder).filter((file) => /\.(log|jsonl)$/.test(file))
    return files.flatMap((file) => {
      const lines = readFileSync(join(this.cluster.folder, file), 'utf8').split('\n').filter((line) => line.includes(job))
      return lines.slice(-MAX_LOG_LINES).map((line) => `  ${file}: ${line}`)
    })
  }
}

function isFinal (state: JobState | undefined): boolean {
  return state === JobState.Complete || state === JobState.Failed || state === JobState.Cancelled
}
