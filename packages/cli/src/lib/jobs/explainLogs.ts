/**
 * Says what became of a job, VM, queue, shard or wave, and why, out of the daemons' log lines.
 */
import { EventCode, exhaustiveSwitchError } from '@vanillathread/model'
import { concerns, type TimelineEntry } from '../logTimeline.js'

/** What can be explained. @public */
export enum LoggedKind {
  Job = 'job',
  Vm = 'vm',
  Queue = 'queue',
  Shard = 'shard',
  Wave = 'wave',
}

/** An explanation. @public */
export interface Explanation {
  readonly kind: LoggedKind
  readonly id: string
  /** What became of it, in a word or two. */
  readonly outcome: string
  /** What the lines show to be the reason, or undefined where nothing went wrong. */
  readonly cause?: string
  readonly facts: readonly string[]
}

/** Wait for a first start from which a job counts as held up, in milliseconds. */
const LONG_WAIT_MS = 500

/** Explains an object. Returns undefined where no line is about it. @public */
export function explainLogs (kind: LoggedKind, id: string, entries: readonly TimelineEntry[]): Explanation | undefined {
  const own = kind === LoggedKind.Queue ? entries.filter(({ fields }) => fields['queue'] === id) : entries.filter((entry) => concerns(entry, id))
  if (own.length === 0) return undefined
  switch (kind) {
    case LoggedKind.Job: return explainJob(id, own, entries)
    case LoggedKind.Vm: return explainVm(id, own)
    case LoggedKind.Queue: return explainQueue(id, own, entries)
    case LoggedKind.Shard: return explainShard(id, own)
    case LoggedKind.Wave: return explainWave(id, own.filter(({ fields }) => String(fields['wave']) === id))
    default: throw exhaustiveSwitchError(kind)
  }
}

function explainJob (id: string, own: readonly TimelineEntry[], all: readonly TimelineEntry[]): Explanation {
  const find = (code: EventCode): TimelineEntry | undefined => own.find(({ event }) => event === code)
  const refused = find(EventCode.JobRefused)
  const ended = find(EventCode.JobEnded)
  const accepted = find(EventCode.JobAccepted) ?? find(EventCode.JobOwned)
  const starts = select(own, EventCode.TaskStartOrdered)
  const failures = select(own, EventCode.TaskEnded).filter(({ fields }) => fields['end'] === 'failed')
  const lost = select(own, EventCode.TaskLost)
  const stops = select(own, EventCode.TaskStopOrdered)
  const untilTime = ended?.time ?? own.at(-1)?.time ?? ''
  const owners = select(all, EventCode.ShardTaken).filter(({ time }) => accepted !== undefined && time >= accepted.time && time <= untilTime)
  const firstWaitMs = Number(starts[0]?.fields['waitedMs'] ?? 0)
  const outcome = outcomeOf(own)
  const facts = [
    ...(accepted === undefined ? [] : [`accepted at ${clock(accepted)} by ${accepted.daemon}`]),
    ...(starts.length === 0 ? [] : [`first start after ${firstWaitMs} ms, ${starts.length} starts`]),
    ...count('ends', select(own, EventCode.TaskEnded), 'end'),
    ...count('stops', stops, 'reason'),
    ...count('runs lost', lost, 'reason'),
    ...owners.map((entry) => `shard taken at ${clock(entry)} by ${entry.daemon}: ${String(entry.fields['reason'])}`),
    ...(ended === undefined ? [] : [`${String(ended.fields['state'])} at ${clock(ended)}`]),
  ]
  return { kind: LoggedKind.Job, id, outcome, cause: causeOf({ outcome, refused, failures, lost, owners, stops, firstWaitMs }), facts }
}

interface JobClues {
  readonly outcome: string
  readonly refused?: TimelineEntry
  readonly failures: readonly TimelineEntry[]
  readonly lost: readonly TimelineEntry[]
  readonly owners: readonly TimelineEntry[]
  readonly stops: readonly TimelineEntry[]
  readonly firstWaitMs: number
}

/** The clue that weighs most. */
function causeOf (clues: JobClues): string | undefined {
  const { outcome, refused, failures, lost, owners, stops, firstWaitMs } = clues
  if (outcome === 'refused') return String(refused?.fields['reason'])
  if (outcome === 'outcome unknown') return 'the store did not answer the write in time'
  if (outcome === 'failed') {
    const vms = new Set(failures.map(({ fields }) => fields['vm']))
    return vms.size === 1 ? `every failed run was on VM ${[...vms].join()}` : `its tasks failed on ${vms.size} VMs, so the job is at fault`
  }
  if (lost.length > 0) return `VM ${String(lost[0]?.fields['vm'])}: ${String(lost[0]?.fields['reason'])}`
  if (owners.length > 0) return `the shard changed its owner: ${String(owners[0]?.fields['reason'])}`
  if (failures.length > 0) return `runs failed on VM ${[...new Set(failures.map(({ fields }) => fields['vm']))].join(', ')}`
  if (firstWaitMs >= LONG_WAIT_MS) return `waited ${firstWaitMs} ms for room in its pool`
  const stop = stops.find(({ fields }) => fields['reason'] !== 'unwanted')
  return stop === undefined ? undefined : `a run was stopped: ${String(stop.fields['reason'])}`
}

function outcomeOf (own: readonly TimelineEntry[]): string {
  const has = (code: EventCode): boolean => own.some(({ event }) => event === code)
  const [ended] = select(own, EventCode.JobEnded)
  if (ended !== undefined) return String(ended.fields['state'])
  if (has(EventCode.JobCancelled)) return 'cancelled'
  if (has(EventCode.JobOwned) || has(EventCode.JobAccepted)) return 'not ended'
  if (has(EventCode.JobOutcomeUnknown)) return 'outcome unknown'
  return has(EventCode.JobRefused) ? 'refused' : 'not accepted'
}

function explainVm (id: string, own: readonly TimelineEntry[]): Explanation {
  const last = [...own].reverse().find(({ event }) => VM_STATES.has(event))
  const outcome = VM_STATES.get(last?.event ?? 0) ?? 'not seen'
  const reason = last?.fields['reason']
  return {
    kind: LoggedKind.Vm,
    id,
    outcome,
    cause: reason === undefined ? undefined : String(reason),
    facts: [
      `${select(own, EventCode.TaskStartOrdered).length} starts`,
      ...count('ends', select(own, EventCode.TaskEnded), 'end'),
      ...own.filter(({ event }) => VM_STATES.has(event)).map((entry) => `${VM_STATES.get(entry.event) ?? ''} at ${clock(entry)}`),
    ],
  }
}

const VM_STATES: ReadonlyMap<number, string> = new Map([
  [EventCode.VmSeen, 'registered'], [EventCode.VmDraining, 'draining'], [EventCode.VmUnregistered, 'not registered'],
  [EventCode.VmForgotten, 'gone'], [EventCode.VmSilent, 'silent'], [EventCode.VmAnswers, 'answering'],
  [EventCode.VmRestarted, 'restarted'], [EventCode.VmAvoided, 'avoided'], [EventCode.EvacuationStarted, 'being emptied'],
])

function explainQueue (id: string, own: readonly TimelineEntry[], all: readonly TimelineEntry[]): Explanation {
  const jobs = new Set(select(own, EventCode.JobOwned).map(({ fields }) => String(fields['job'])))
  const ended = select(all, EventCode.JobEnded).filter(({ fields }) => jobs.has(String(fields['job'])))
  const waits = firstWaits(all, jobs)
  const median = waits[Math.floor(waits.length / 2)]
  const longest = waits.at(-1)
  return {
    kind: LoggedKind.Queue,
    id,
    outcome: `${jobs.size} jobs, ${ended.length} ended`,
    cause: longest !== undefined && longest >= LONG_WAIT_MS ? `jobs waited up to ${longest} ms for room in the pool` : undefined,
    facts: [...count('jobs', ended, 'state'), ...(median === undefined ? [] : [`first start after ${median} ms in the median, ${String(longest)} ms at the most`])],
  }
}

function firstWaits (all: readonly TimelineEntry[], jobs: ReadonlySet<string>): number[] {
  const waits = new Map<string, number>()
  for (const { fields } of select(all, EventCode.TaskStartOrdered)) {
    const job = String(fields['task']).slice(0, JOB_ID_LENGTH)
    if (jobs.has(job) && !waits.has(job)) waits.set(job, Number(fields['waitedMs']))
  }
  return [...waits.values()].sort((a, b) => a - b)
}

/** Digits of a job's id, with which the names of its tasks begin. */
const JOB_ID_LENGTH = 16

function explainShard (id: string, own: readonly TimelineEntry[]): Explanation {
  const taken = select(own, EventCode.ShardTaken)
  const last = taken.at(-1)
  return {
    kind: LoggedKind.Shard,
    id,
    outcome: last === undefined ? 'no owner seen' : `owned by ${last.daemon}`,
    cause: last === undefined ? undefined : String(last.fields['reason']),
    facts: taken.map((entry) => {
      const ready = own.find((other) => other.event === EventCode.ShardReady && other.fields['fencingToken'] === entry.fields['fencingToken'])
      const loaded = ready === undefined ? 'never loaded' : `loaded ${String(ready.fields['jobs'])} jobs in ${String(ready.fields['tookMs'])} ms`
      return `${clock(entry)} ${entry.daemon}, token ${String(entry.fields['fencingToken'])}: ${String(entry.fields['reason'])}; ${loaded}`
    }),
  }
}

function explainWave (id: string, own: readonly TimelineEntry[]): Explanation {
  const seen = own.find(({ event }) => event === EventCode.WaveSeen)
  const complete = own.find(({ event }) => event === EventCode.WaveComplete)
  const done = new Set(select(own, EventCode.MaintenanceAnswered).filter(({ fields }) => fields['outcome'] === 'done').map(({ fields }) => fields['machine']))
  const begun = new Set(own.filter(({ event }) => event === EventCode.EvacuationStarted || event === EventCode.MaintenanceOrdered).map(({ fields }) => fields['machine']))
  const waiting = [...begun].filter((machine) => !done.has(machine))
  return {
    kind: LoggedKind.Wave,
    id,
    outcome: complete === undefined ? 'not complete' : `complete at ${clock(complete)}`,
    cause: complete !== undefined || waiting.length === 0 ? undefined : `not yet down: ${waiting.join(', ')}`,
    facts: [
      ...(seen === undefined ? [] : [`${String(seen.fields['machines'])} machines, ${String(seen.fields['cap'])} at once, seen at ${clock(seen)}`]),
      `${done.size} orders carried out`,
      ...count('answers', select(own, EventCode.MaintenanceAnswered).filter(({ fields }) => fields['outcome'] !== 'done'), 'reason'),
    ],
  }
}

function select (entries: readonly TimelineEntry[], code: EventCode): TimelineEntry[] {
  return entries.filter(({ event }) => event === code)
}

/** One line that counts entries by a field, or none. */
function count (name: string, entries: readonly TimelineEntry[], field: string): string[] {
  if (entries.length === 0) return []
  const counts = new Map<string, number>()
  for (const { fields } of entries) counts.set(String(fields[field]), (counts.get(String(fields[field])) ?? 0) + 1)
  return [`${name}: ${[...counts].map(([value, sum]) => `${sum} ${value}`).join(', ')}`]
}

function clock (entry: TimelineEntry): string {
  return entry.time.slice(11, 23)
}
