/**
 * Clients that submit, follow and cancel jobs during a soak.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { createJob, createStep, type SubmittedJob } from '@vanillathread/integration'
import { JobState, type JobSpec, type StepSpec } from '@vanillathread/model'
import { RandomSource } from '@vanillathread/policy'
import { ClientSession, type ClientAnswer } from './ClientSession.js'
import type { JobPayload } from './messages.js'
import type { SoakChecker } from './SoakChecker.js'
import { POOLS, type SoakCluster } from './SoakCluster.js'
import type { SoakDaemon } from './SoakDaemon.js'

const SESSIONS = 8
const JOB_INTERVAL_MS = 400
const POLL_INTERVAL_MS = 700
const READINESS_INTERVAL_MS = 1_000

/** Number of failed checks after which a daemon gets no new connections. */
const UNREADY_CHECKS = 2

const SUBMIT_ATTEMPTS = 4
const RETRY_DELAY_MS = 300
const SESSION_WAIT_MS = 5

/** Long-running jobs that a soak submits at the most. */
const MAX_LONG_RUNNING = 4

/** Shares of the jobs, in percent. */
const POISON_PERCENT = 3
const CANCELLED_PERCENT = 8
const LONG_RUNNING_PERCENT = 10
const REPEATED_SUBMIT_PERCENT = 10

/** Time after which a request may end without a complete answer in a daemon that got SIGTERM. */
const LOSS_SLACK_MS = 200

/** Time in which a daemon that got SIGTERM answers the requests that it has read. */
const STOP_WINDOW_MS = 7_000

/** Time without an unplanned fault after which daemons are in touch. */
const CONTACT_MS = 3_000

/** Load on a cluster. */
export class SoakLoad {
  private readonly random: RandomSource
  private readonly sessions: readonly ClientSession[]
  private readonly missedChecks = new Map<SoakDaemon, number>()
  private readonly polling = new Set<string>()
  private readonly timers: NodeJS.Timeout[] = []
  private nextJob = 1
  private longRunningCount = 0
  private submitTimer?: NodeJS.Timeout
  private stopped = false

  private constructor (private readonly cluster: SoakCluster, private readonly checker: SoakChecker, private readonly seed: number) {
    this.random = RandomSource.create(seed + 1)
    this.sessions = Array.from({ length: SESSIONS }, () => ClientSession.create({ pickDaemon: () => this.pickDaemon(), nowMs: () => checker.nowMs() }))
  }

  static create (options: { cluster: SoakCluster, checker: SoakChecker, seed: number }): SoakLoad {
    return new SoakLoad(options.cluster, options.checker, options.seed)
  }

  start (): void {
    this.submitTimer = setInterval(() => this.runDetached(this.followNewJob()), JOB_INTERVAL_MS)
    this.timers.push(setInterval(() => this.pollJobs(), POLL_INTERVAL_MS))
    this.timers.push(setInterval(() => { for (const daemon of this.cluster.daemons) this.runDetached(this.checkReadiness(daemon)) }, READINESS_INTERVAL_MS))
  }

  /** Submits no more jobs. */
  stopSubmitting (): void {
    clearInterval(this.submitTimer)
  }

  stop (): void {
    this.stopped = true
    this.stopSubmitting()
    for (const timer of this.timers) clearInterval(timer)
    for (const session of this.sessions) session.close()
  }

  /** Reports an unexpected error as a violation, so that it fails the soak. After the end the links are closed under the clients. */
  private runDetached (work: Promise<void>): void {
    work.catch((err: unknown) => {
      if (!this.stopped) this.checker.report('CLIENT', err instanceof Error ? err.stack ?? err.message : String(err))
    })
  }

  private async checkReadiness (daemon: SoakDaemon): Promise<void> {
    const isReady = await daemon.isReady()
    this.missedChecks.set(daemon, isReady ? 0 : (this.missedChecks.get(daemon) ?? 0) + 1)
  }

  private pickDaemon (): SoakDaemon {
    const ready = this.cluster.daemons.filter((daemon) => (this.missedChecks.get(daemon) ?? 0) < UNREADY_CHECKS)
    const candidates = ready.length > 0 ? ready : this.cluster.daemons
    return candidates[Math.floor(Math.random() * candidates.length)] as SoakDaemon
  }

  private async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<ClientAnswer> {
    for (;;) {
      const free = this.sessions.filter((session) => !session.isBusy)
      const session = free[Math.floor(Math.random() * free.length)]
      if (session !== undefined) return this.checkAnswer(`${method} ${path}`, await session.send(method, path, body))
      await sleep(SESSION_WAIT_MS)
    }
  }

  /** Reports a request that a daemon left without an answer although only planned work was going on. */
  private checkAnswer (request: string, answer: ClientAnswer): ClientAnswer {
    if (answer.kind === 'answer' || answer.timedOut) return answer
    const { daemon, sentAtMs, reason } = answer
    const now = this.checker.nowMs()
    const wasTerminated = now - daemon.terminatedAtMs < STOP_WINDOW_MS
    if (wasTerminated && now - sentAtMs > LOSS_SLACK_MS && this.checker.isCalmSince(sentAtMs - CONTACT_MS, false)) this.checker.report('BROKEN', `${daemon.name}, told to stop, did not answer ${request} for ${Math.round(now - sentAtMs)} ms: ${reason}`)
    return answer
  }

  /** Submits a job and may cancel it later. All random numbers are drawn before the first request, so that they depend on the seed only. */
  private async followNewJob (): Promise<void> {
    const number = this.nextJob++
    const randomPool = this.random.sample(POOLS, 1)[0] ?? POOLS[0]
    // The first jobs are long-running, one for each pool, so that every fault meets some.
    const pool = POOLS[number - 1] ?? randomPool
    const isPoison = this.random.nextBelow(100) < POISON_PERCENT
    const cancelAfterMs = this.random.nextBelow(100) < CANCELLED_PERCENT ? this.random.nextBelow(2_000) : undefined
    const repeatAfterMs = this.random.nextBelow(100) < REPEATED_SUBMIT_PERCENT ? this.random.nextBelow(4_000) : undefined
    const mayBeLongRunning = this.random.nextBelow(100) < LONG_RUNNING_PERCENT && this.longRunningCount < MAX_LONG_RUNNING
    const isLongRunning = number <= POOLS.length || mayBeLongRunning
    const spec = withPayload(isLongRunning ? createLongRunningJob() : this.createFiniteJob(), isPoison && !isLongRunning)
    if (isLongRunning) this.longRunningCount += 1
    const id = `${(this.seed & 0xffffff).toString(16).padStart(6, '0')}${number.toString(16).padStart(10, '0')}`
    const job: SubmittedJob = { id, spec, poison: isPoison, accepted: false, refused: false, cancelled: false, submittedAtMs: this.checker.nowMs(), queue: POOLS.indexOf(pool) }
    this.checker.addJob(job, pool)
    const path = `/${pool}/${id}`
    await this.submit(job, path)
    if (!job.accepted) return
    if (repeatAfterMs !== undefined) {
      await sleep(repeatAfterMs)
      if (this.stopped) return
      await this.send('POST', path, encodeJob(spec))
    }
    if (cancelAfterMs === undefined || isLongRunning) return
    await sleep(cancelAfterMs)
    if (this.stopped) return
    await this.cancel(job, path)
  }

  private async submit (job: SubmittedJob, path: string): Promise<void> {
    let unanswered = false
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const answer = await this.send('POST', path, encodeJob(job.spec))
      if (answer.kind === 'answer' && answer.status < 300) return this.checker.recordAccepted(job)
      if (answer.kind === 'answer' && (answer.status === 429 || answer.status === 503)) {
        // An earlier attempt that got no answer may have stored the job, and this daemon cannot know that.
        job.refused = !unanswered
        return
      }
      unanswered = true
      await sleep(RETRY_DELAY_MS)
    }
  }

  private async cancel (job: SubmittedJob, path: string): Promise<void> {
    job.cancelled = true
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
      const answer = await this.send('DELETE', path)
      if (answer.kind === 'answer' && answer.status < 300) return this.checker.recordCancelled(job)
      if (answer.kind === 'answer' && answer.status === 410) return this.checker.recordUnknown(job, answer.sentAtMs)
      await sleep(RETRY_DELAY_MS)
    }
  }

  /** Requests the state of every accepted job, at most one request per job at a time. */
  private pollJobs (): void {
    for (const { job, pool, finalAtMs } of this.checker.jobs.values()) {
      // A job in its final state is asked for again now and then, to see that the state stays.
      if (!job.accepted || this.polling.has(job.id) || (finalAtMs !== undefined && Math.random() > 0.02)) continue
      this.polling.add(job.id)
      this.runDetached(this.poll(job, `/${pool}/${job.id}`).finally(() => this.polling.delete(job.id)))
    }
  }

  private async poll (job: SubmittedJob, path: string): Promise<void> {
    const answer = await this.send('GET', path)
    if (answer.kind === 'no-answer') return
    const state = answer.body['state']
    // The runs that led to the state must be known before the state is checked.
    await this.cluster.waitForVmEvents()
    if (answer.status === 200 && Object.values<unknown>(JobState).includes(state)) this.checker.recordState(job, state as JobState, answer.sentAtMs)
    else if (answer.status === 200) this.checker.report('ANSWER', `${job.id} is answered with ${JSON.stringify(answer.body)}`)
    else if (answer.status === 410) this.checker.recordUnknown(job, answer.sentAtMs)
  }

  /** Creates a job of one to three steps, each of which waits for the one before it. */
  private createFiniteJob (): JobSpec {
    const steps = Array.from({ length: 1 + this.random.nextBelow(3) }, (_unused, index): StepSpec => createStep({
      taskCount: 1 + this.random.nextBelow(5),
      need: { cpuMillis: 500 * (1 + this.random.nextBelow(4)), memoryMb: 512, accelerators: 0 },
      estimateMs: 200 + this.random.nextBelow(1_200),
      after: index === 0 ? [] : [index - 1],
    }))
    return createJob(...steps)
  }
}

function createLongRunningJob (): JobSpec {
  return createJob(createStep({ taskCount: 4, longRunning: true, mayMiss: 1, maxTasksPerVm: 2, estimateMs: 900 }))
}

/** Adds the payload from which the VMs read how the tasks behave. */
function withPayload (spec: JobSpec, poison: boolean): JobSpec {
  const steps = spec.steps.map(({ need, estimateMs, longRunning }) => ({ durationMs: longRunning ? undefined : estimateMs, cpuMillis: need.cpuMillis, memoryMb: need.memoryMb }))
  return { ...spec, payload: JSON.stringify({ steps, poison } satisfies JobPayload) }
}

function encodeJob (spec: JobSpec): Record<string, unknown> {
  const steps = spec.steps.map((step) => ({
    count: step.taskCount,
    cpu: step.need.cpuMillis,
    'mem-mb': step.need.memoryMb,
    'estimate-ms': step.estimateMs,
    after: step.after,
    'long-running': step.longRunning,
    'may-miss': step.mayMiss,
    'anti-affinity': step.maxTasksPerVm,
  }))
  return { spec: spec.payload, steps }
}
