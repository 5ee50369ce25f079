/**
 * Measures what callers notice while the owner's own connections to the store fail and the other daemons reach it.
 */
import { EventCode, JobState } from '@vanillathread/model'
import { StoreFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab } from './JobLab.js'

const CUT_MS = 7_000

/** Time after the cut for which jobs are followed. */
const AFTER_CUT_MS = 4_000
const JOB_INTERVAL_MS = 50

/** Interval at which each client asks for the state of its job; the resolution of the times. */
const POLL_INTERVAL_MS = 20

/** Times in milliseconds, of the jobs that are submitted or end while the owner is cut off. */
export interface OwnerCutTimes {
  /** From the end of a job's last run to the time at which its client gets the state complete; infinite if it never does. */
  readonly shown: readonly number[]
  /** From a job's submission to the start of its first run; infinite if it never starts. */
  readonly firstStarts: readonly number[]
  readonly takeovers: number
  readonly violations: number
}

/** Simulates a steady load during which the owner alone has a fault of the store, and returns the times in order. */
export async function measureOwnerCut (fault: StoreFault, seed: number): Promise<OwnerCutTimes> {
  const lab = JobLab.create({ seed, daemons: 7 })
  await lab.start()
  const startedAtMs = new Map<string, number>()
  const endedAtMs = new Map<string, number>()
  const shownAtMs = new Map<string, number>()
  const { history, timers } = lab
  const onStart = history.onStart.bind(history)
  history.onStart = (vm, run, call) => {
    const job = run.task.split('.')[0] ?? ''
    if (!startedAtMs.has(job)) startedAtMs.set(job, timers.now())
    onStart(vm, run, call)
  }
  const onEnd = history.onEnd.bind(history)
  history.onEnd = (vm, run, end) => {
    endedAtMs.set(run.task.split('.')[0] ?? '', timers.now())
    onEnd(vm, run, end)
  }
  const follow = async (forMs: number): Promise<void> => {
    const untilMs = timers.now() + forMs
    while (timers.now() < untilMs) {
      await timers.advance(POLL_INTERVAL_MS)
      await lab.pollJobs()
      for (const { id, shownState } of history.jobs.values()) if (shownState === JobState.Complete && !shownAtMs.has(id)) shownAtMs.set(id, timers.now())
    }
  }
  const submission = timers.every(JOB_INTERVAL_MS, () => { lab.submit(createJob(createStep({ taskCount: 2, estimateMs: 400 }))) })
  await follow(4_000 + seed * 37)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  const countTakeovers = (): number => lab.daemons.flatMap(({ log }) => log.records).filter(({ code }) => code === EventCode.ShardTaken).length
  const takeoversBefore = countTakeovers()
  const cutAtMs = timers.now()
  owner.store.fault = fault
  await follow(CUT_MS)
  owner.store.fault = StoreFault.None
  submission.dispose()
  await follow(AFTER_CUT_MS)
  const takeovers = countTakeovers() - takeoversBefore
  await lab.finish(10_000)
  const jobs = [...history.jobs.values()].filter(({ accepted, submittedAtMs }) => accepted && submittedAtMs < cutAtMs + CUT_MS)
  const endedInCut = jobs.filter(({ id }) => (endedAtMs.get(id) ?? Infinity) > cutAtMs)
  const inOrder = (times: number[]): number[] => times.sort((a, b) => a - b)
  return {
    shown: inOrder(endedInCut.map(({ id }) => (shownAtMs.get(id) ?? Infinity) - (endedAtMs.get(id) ?? 0))),
    firstStarts: inOrder(jobs.filter(({ submittedAtMs }) => submittedAtMs >= cutAtMs).map(({ id, submittedAtMs }) => (startedAtMs.get(id) ?? Infinity) - submittedAtMs)),
    takeovers,
    violations: history.violations.length,
  }
}
