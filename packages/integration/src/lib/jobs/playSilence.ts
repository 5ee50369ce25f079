/**
 * Plays a burst of submissions during which the store fails for all daemons, with clients that try again.
 */
import { delay } from '@vanillathread/kernel'
import { IngressAnswerKind, type IngressAnswer } from '@vanillathread/ports'
import { StoreFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab, LAB_QUEUES } from './JobLab.js'

/** Options of {@link playSilence}. Times are in milliseconds from the start of the burst. */
export interface SilenceOptions {
  readonly seed: number
  readonly fault: StoreFault
  readonly faultFromMs: number
  readonly faultToMs: number
  readonly burstMs: number
  readonly jobsPerSecond: number
}

/** One attempt of a client. Times are in milliseconds from the start of the burst. */
export interface SilenceAttempt {
  readonly job: string
  readonly sentAtMs: number
  /** Time for which the client waited, its deadline at the most. */
  readonly heldMs: number
  readonly answer: IngressAnswerKind | 'none'
  /** True if the daemon said before that the job's outcome is unknown. */
  readonly mayBeStored: boolean
}

/** What clients got. */
export interface SilenceResult {
  readonly attempts: readonly SilenceAttempt[]
  /** Times at which jobs were accepted, by id. */
  readonly acceptedAtMs: ReadonlyMap<string, number>
  /** Jobs that were refused although no earlier attempt had an unknown outcome, and that the store held before the next attempt. */
  readonly falseRefusals: readonly string[]
}

const DAEMONS = 7
const CLIENT_DEADLINE_MS = 3_000
/** Attempts of a client, and its pause after one without a definite answer. */
const ATTEMPTS = 8
const UNKNOWN_PAUSE_MS = 100
const SETTLE_MS = 12_000

/** Plays the burst. */
export async function playSilence (options: SilenceOptions): Promise<SilenceResult> {
  const lab = JobLab.create({ seed: options.seed, daemons: DAEMONS })
  await lab.start()
  const startedAtMs = lab.timers.now()
  const attempts: SilenceAttempt[] = []
  const acceptedAtMs = new Map<string, number>()
  const falseRefusals: string[] = []
  const isStored = (job: string): boolean => [...lab.store.rows.values()].some(({ table, key }) => table === 'jobs' && key === `j/${job}`)
  const spec = createJob(createStep({ taskCount: 1, estimateMs: 200 }))

  const callOnce = async (job: string, mayBeStored: boolean): Promise<IngressAnswer | undefined> => {
    const sentAtMs = lab.timers.now()
    const api = lab.daemons[lab.random.nextBelow(DAEMONS)]?.api
    const answer = await Promise.race([api?.submit({ host: 'lab', path: `${LAB_QUEUES[0]}${job}`, deadlineMs: CLIENT_DEADLINE_MS }, spec), delay(lab.timers, CLIENT_DEADLINE_MS)])
    attempts.push({ job, sentAtMs: sentAtMs - startedAtMs, heldMs: lab.timers.now() - sentAtMs, answer: answer === undefined ? 'none' : answer.kind, mayBeStored })
    return answer ?? undefined
  }
  const runClient = async (job: string): Promise<void> => {
    let mayBeStored = false
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const answer = await callOnce(job, mayBeStored)
      if (answer?.kind === IngressAnswerKind.Accepted) {
        acceptedAtMs.set(job, lab.timers.now() - startedAtMs)
        return
      }
      mayBeStored ||= answer?.kind !== IngressAnswerKind.Refused
      // The header that carries the delay is in whole seconds.
      await delay(lab.timers, answer?.kind === IngressAnswerKind.Refused ? Math.ceil(answer.retryAfterMs / 1_000) * 1_000 : UNKNOWN_PAUSE_MS)
      if (!mayBeStored && isStored(job)) falseRefusals.push(job)
    }
  }

  lab.timers.after(options.faultFromMs, () => { lab.store.fault = options.fault })
  lab.timers.after(options.faultToMs, () => { lab.store.fault = StoreFault.None })
  let nextJob = 1
  for (let atMs = 0; atMs < options.burstMs; atMs += 1_000 / options.jobsPerSecond) {
    runClient((nextJob++).toString(16).padStart(16, '0'))
    await lab.timers.advance(1_000 / options.jobsPerSecond)
  }
  await lab.timers.advance(SETTLE_MS)
  for (const { daemon } of lab.daemons) await daemon?.kill()
  return { attempts, acceptedAtMs, falseRefusals }
}

/** What the clients of one day got. Times are in milliseconds. */
export interface SilenceSummary {
  readonly attempts: number
  /** Attempts during the fault by their answers. */
  readonly byAnswer: ReadonlyMap<SilenceAttempt['answer'], number>
  /** Longest and mean time for which attempts during the fault were held. */
  readonly maxHeldMs: number
  readonly meanHeldMs: number
  /** Jobs sent before the end of the fault that were not accepted until then, and those of them that were within 2 s of it. */
  readonly openAtEnd: number
  readonly acceptedSoon: number
  /** Jobs that were never accepted. */
  readonly lost: number
}

const SOON_MS = 2_000

/** Sums up a day. */
export function summarizeSilence (options: SilenceOptions, { attempts, acceptedAtMs }: SilenceResult): SilenceSummary {
  // An attempt that was sent shortly before the fault may still wait.
  const during = attempts.filter(({ sentAtMs }) => sentAtMs >= options.faultFromMs - 100 && sentAtMs < options.faultToMs)
  const byAnswer = new Map<SilenceAttempt['answer'], number>()
  for (const { answer } of during) byAnswer.set(answer, (byAnswer.get(answer) ?? 0) + 1)
  const held = during.map(({ heldMs }) => heldMs)
  const jobs = [...new Set(attempts.map(({ job }) => job))]
  const openJobs = new Set(attempts.filter(({ job, sentAtMs }) => sentAtMs < options.faultToMs && (acceptedAtMs.get(job) ?? Infinity) >= options.faultToMs).map(({ job }) => job))
  return {
    attempts: during.length,
    byAnswer,
    maxHeldMs: Math.max(...held),
    meanHeldMs: held.reduce((sum, each) => sum + each, 0) / held.length,
    openAtEnd: openJobs.size,
    acceptedSoon: [...openJobs].filter((job) => (acceptedAtMs.get(job) ?? Infinity) < options.faultToMs + SOON_MS).length,
    lost: jobs.filter((job) => !acceptedAtMs.has(job)).length,
  }
}
