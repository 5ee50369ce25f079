/**
 * Measures the times from each kind of loss of a shard's owner to the steps of the takeover.
 */
import { EventCode } from '@vanillathread/model'
import { StoreFault, VmFault } from '@vanillathread/stand-ins'
import { createJob, createStep, JobLab, type LabDaemon } from './JobLab.js'

/** Interval between two reads of the logs. */
const LOG_READ_INTERVAL_MS = 5

/** Longest time for which a run of the previous owner can be in an unknown state: a takeover plus a lease on a slow clock. */
const MEASUREMENT_MS = 9_000

const JOB_INTERVAL_MS = 50

/** Functions that cause each kind of loss, by name. They return a promise if the loss takes time. */
export const LOSSES: Readonly<Record<string, (lab: JobLab, owner: LabDaemon) => unknown>> = {
  'owner killed': (lab) => lab.crashDaemon(lab.findOwner()),
  'owner silent (power, cut)': (lab, owner) => {
    owner.store.fault = StoreFault.Unresponsive
    lab.peers.cutAddresses.add(`${owner.address.host}:${owner.address.port}`)
  },
  'owner without the store': (_lab, owner) => { owner.store.fault = StoreFault.Unresponsive },
  'owner without the store on any path': (lab, owner) => {
    owner.store.fault = StoreFault.Unresponsive
    lab.peers.lostKinds.add('store-call')
  },
  'owner stopped': (_lab, owner) => { owner.daemon?.stop() },
  'all killed, back after 1 s': (lab) => Promise.all(lab.daemons.map((_daemon, index) => lab.crashDaemon(index, 1_000))),
  'owner killed, two VMs silent': (lab) => {
    for (const vm of lab.fleet.vms.filter(({ runs }) => runs.size > 0).slice(0, 2)) vm.fault = VmFault.Partitioned
    return lab.crashDaemon(lab.findOwner())
  },
}

/** Times from a loss to the events that follow, in milliseconds; undefined if the event did not happen. */
export interface TakeoverTimes {
  /** A daemon has become the owner of the shard. */
  readonly taken?: number
  /** The new owner has loaded the shard and begins to schedule. */
  readonly ready?: number
  /** The new owner has ordered its first start of a task. */
  readonly firstStart?: number
  /** The last run of the previous owner was adopted, or was given up as lost because its lease had expired. */
  readonly lastAccounted?: number
}

/** Events after which a run of the previous owner is no longer in an unknown state. */
const RUN_RESOLVED_EVENTS: ReadonlySet<EventCode> = new Set([EventCode.TaskAdopted, EventCode.TaskLost])

/** Simulates one loss under a steady load and returns the times. */
export async function measureTakeover (loss: string, seed: number): Promise<TakeoverTimes> {
  const lab = JobLab.create({ seed, daemons: 7 })
  await lab.start()
  const submission = lab.timers.every(JOB_INTERVAL_MS, () => { lab.submit(createJob(createStep({ taskCount: 4, estimateMs: 1_200 }))) })
  await lab.timers.advance(4_000 + seed * 37)
  const owner = lab.daemons[lab.findOwner()]
  if (owner === undefined) throw new Error('no owner')
  const readCounts = new Map(lab.daemons.map((daemon) => [daemon, daemon.log.records.length]))
  const lostAtMs = lab.timers.now()
  await LOSSES[loss]?.(lab, owner)
  const times: { -readonly [K in keyof TakeoverTimes]: number } = {}
  while (lab.timers.now() - lostAtMs < MEASUREMENT_MS) {
    await lab.timers.advance(LOG_READ_INTERVAL_MS)
    const afterMs = Math.round(lab.timers.now() - lostAtMs)
    for (const [daemon, from] of readCounts) {
      readCounts.set(daemon, daemon.log.records.length)
      for (const { code } of daemon.log.records.slice(from)) recordEvent(times, code, afterMs)
    }
  }
  submission.dispose()
  for (const { daemon } of lab.daemons) await daemon?.kill()
  return times
}

/** Records the time of an event of the takeover. `ready` counts only after `taken`, the others only after `ready`. */
function recordEvent (times: { -readonly [K in keyof TakeoverTimes]: number }, code: EventCode, afterMs: number): void {
  if (code === EventCode.ShardTaken) times.taken ??= afterMs
  if (times.taken === undefined) return
  if (code === EventCode.ShardReady) times.ready ??= afterMs
  if (times.ready === undefined) return
  if (code === EventCode.TaskStartOrdered) times.firstStart ??= afterMs
  if (RUN_RESOLVED_EVENTS.has(code)) times.lastAccounted = afterMs
}
