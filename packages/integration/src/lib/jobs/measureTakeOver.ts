/**
 * How long a shard is without an owner after each kind of loss.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault, VmFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab, type LabDaemon } from './JobLab.js'

/** Step of looking at the logs. */
const STEP_MS = 5

/** Longest that a run of the former owner can be in doubt: a take-over, and a lease on a slow clock. */
const WATCH_MS = 9_000

const JOB_EVERY_MS = 50

/** What is lost. Each returns a promise where it takes time. */
export const LOSSES: Readonly<Record<string, (lab: JobLab, owner: LabDaemon) => unknown>> = {
  'owner killed': (lab) => lab.crashDaemon(lab.findOwner()),
  'owner silent (power, cut)': (lab, owner) => {
    owner.store.fault = StoreFault.Silent
    lab.peers.cut.add(`${owner.address.host}:${owner.address.port}`)
  },
  'owner without the store': (_lab, owner) => { owner.store.fault = StoreFault.Silent },
  'owner stopped': (_lab, owner) => { owner.daemon?.stop() },
  'all killed, back after 1 s': (lab) => Promise.all(lab.daemons.map((_daemon, index) => lab.crashDaemon(index, 1_000))),
  'owner killed, two VMs silent': (lab) => {
    for (const vm of lab.fleet.vms.filter(({ runs }) => runs.size > 0).slice(0, 2)) vm.fault = VmFault.Cut
    return lab.crashDaemon(lab.findOwner())
  },
}

/** Milliseconds from a loss to what follows; undefined where it did not happen. */
export interface TakeOver {
  readonly taken?: number
  readonly ready?: number
  readonly firstStart?: number
  /** The last run of the former owner that was found, or given up as its lease was over. */
  readonly lastAccounted?: number
}

const ACCOUNTS: ReadonlySet<EventCode> = new Set([EventCode.TaskAdopted, EventCode.TaskLost])

/** Plays one loss under a steady load. */
export async function measureTakeOver (loss: string, seed: number): Promise<TakeOver> {
  const lab = JobLab.create({ seed, daemons: 7 })
  await lab.start()
  const feed = lab.timers.every(JOB_EVERY_MS, () => { lab.submit(createJob(createStep({ taskCount: 4, estimateMs: 1_200 }))) })
  await lab.timers.advance(4_000 + seed * 37)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  const seen = new Map(lab.daemons.map((daemon) => [daemon, daemon.log.records.length]))
  const lostAtMs = lab.timers.now()
  await LOSSES[loss]?.(lab, owner)
  const times: { -readonly [K in keyof TakeOver]: number } = {}
  while (lab.timers.now() - lostAtMs < WATCH_MS) {
    await lab.timers.advance(STEP_MS)
    const afterMs = Math.round(lab.timers.now() - lostAtMs)
    for (const [daemon, from] of seen) {
      seen.set(daemon, daemon.log.records.length)
      for (const { code } of daemon.log.records.slice(from)) note(times, code, afterMs)
    }
  }
  feed.dispose()
  for (const { daemon } of lab.daemons) await daemon?.crash()
  return times
}

function note (times: { -readonly [K in keyof TakeOver]: number }, code: EventCode, afterMs: number): void {
  if (code === EventCode.ShardTaken) times.taken ??= afterMs
  if (times.taken === undefined) return
  if (code === EventCode.ShardReady) times.ready ??= afterMs
  if (times.ready === undefined) return
  if (code === EventCode.TaskStartOrdered) times.firstStart ??= afterMs
  if (ACCOUNTS.has(code)) times.lastAccounted = afterMs
}
