/**
 * Explains the outcome of a job, VM, queue, shard or wave, and its cause, from the daemons' log lines.
 */
import { EventCode, exhaustiveSwitchError } from '@vanillathread/model'
import { concerns, type TimelineEntry } from '../logTimeline.js'

/** Kinds of objects that can be explained. @public */
export enum LoggedKind {
  Job = 'job',
  Vm = 'vm',
  Queue = 'queue',
  Shard = 'shard',
  Wave = 'wave',
}

/** Explanation of one object. @public */
export interface Explanation {
  readonly kind: LoggedKind
  readonly id: string
  /** State or result of the object, in a few words. */
  readonly outcome: string
  /** Cause that the lines show for the outcome, or undefined if they show none. */
  readonly cause?: string
  /** Further details from the lines, one text for each. */
  readonly facts: readonly string[]
}

/** Wait for the first start from which a job counts as delayed, in milliseconds. */
const LONG_WAIT_MS = 500

/** Explains an object. Returns undefined if no line is about it. @public */
export function explainLogs (kind: LoggedKind, id: string, entries: readonly TimelineEntry[]): Explanation | undefined {
  const related = kind === LoggedKind.Queue ? entries.filter(({ fields }) => fields['queue'] === id) : entries.filter((entry) => concerns(entry, id))
  if (related.length === 0) return undefined
  switch (kind) {
    case LoggedKind.Job: return explainJob(id, related, entries)
    case LoggedKind.Vm: return explainVm(id, related)
    case LoggedKind.Queue: return explainQueue(id, related, entries)
    case LoggedKind.Shard: return explainShard(id, related)
    case LoggedKind.Wave: return explainWave(id, related.filter(({ fields }) => String(fields['wave']) === id))
    default: throw exhaustiveSwitchError(kind)
  }
}

function explainJob (id: string, related: readonly TimelineEntry[], all: readonly TimelineEntry[]): Explanation {
  const find = (code: EventCode): TimelineEntry | undefined => related.find(({ event }) => event === code)
  const refused = find(EventCode.JobRefused)
  const ended = find(EventCode.JobEnded)
  const accepted = find(EventCode.JobAccepted) ?? find(EventCode.JobOwned)
  const starts = filterByEvent(related, EventCode.TaskStartOrdered)
  const failures = filterByEvent(related, EventCode.TaskEnded).filter(({ fields }) => fields['end'] === 'failed')
  const lost = filterByEvent(related, EventCode.TaskLost)
  const stops = filterByEvent(related, EventCode.TaskStopOrdered)
  const crashes = filterByEvent(all, EventCode.VmCrashed).filter(({ fields }) => String(fields['suspects']).includes(id))
  const untilTime = ended?.time ?? related.at(-1)?.time ?? ''
  const takeovers = filterByEvent(all, EventCode.ShardTaken).filter(({ time }) => accepted !== undefined && time >= accepted.time && time <= untilTime)
  const waits = filterByEvent(related, EventCode.JobWaits)
  const firstWaitMs = Number(starts[0]?.fields['waitedMs'] ?? 0)
  const outcome = findOutcome(related)
  const facts = [
    ...(accepted === undefined ? [] : [`accepted at ${formatClockTime(accepted)} by ${accepted.daemon}`]),
    ...(starts.length === 0 ? [] : [`first start after ${firstWaitMs} ms, ${starts.length} starts`]),
    ...waits.map((entry) => `waited after ${String(entry.fields['waitedMs'])} ms: ${describeTeamWait(entry)}`),
    ...filterByEvent(related, EventCode.NearPlaceWait).map(describeNearPlaceWait),
    ...formatCounts('ends', filterByEvent(related, EventCode.TaskEnded), 'end'),
    ...formatCounts('stops', stops, 'reason'),
    ...formatCounts('runs lost', lost, 'reason'),
    ...crashes.map((entry) => `VM ${String(entry.fields['vm'])} crashed, found at ${formatClockTime(entry)}${entry.fields['trial'] === true ? ', in a trial of this job' : ''}`),
    ...takeovers.map((entry) => `shard taken at ${formatClockTime(entry)} by ${entry.daemon}: ${String(entry.fields['reason'])}`),
    ...(ended === undefined ? [] : [`${String(ended.fields['state'])} at ${formatClockTime(ended)}`]),
  ]
  return { kind: LoggedKind.Job, id, outcome, cause: findCause({ outcome, refused, givenUp: find(EventCode.JobGivenUp), failures, lost, takeovers, stops, waits, firstWaitMs }), facts }
}

/** Facts from which the cause of a job's outcome is derived. */
interface JobEvidence {
  readonly outcome: string
  readonly refused?: TimelineEntry
  /** Line that says that the job was given up because VMs crashed under one of its tasks. */
  readonly givenUp?: TimelineEntry
  readonly failures: readonly TimelineEntry[]
  readonly lost: readonly TimelineEntry[]
  readonly takeovers: readonly TimelineEntry[]
  readonly stops: readonly TimelineEntry[]
  /** Lines that say that rules for the job's team made it wait. */
  readonly waits: readonly TimelineEntry[]
  readonly firstWaitMs: number
}

/** Returns the most significant cause that the evidence supports, or undefined if it supports none. */
function findCause (evidence: JobEvidence): string | undefined {
  const { outcome, refused, givenUp, failures, lost, takeovers, stops, waits, firstWaitMs } = evidence
  if (outcome === 'refused') return String(refused?.fields['reason'])
  if (outcome === 'outcome unknown') return 'the store did not answer the write in time'
  if (outcome === 'failed' && givenUp !== undefined) return `VMs crashed under its tasks: ${String(givenUp.fields['vms'])}`
  if (outcome === 'failed') {
    const vms = new Set(failures.map(({ fields }) => fields['vm']))
    return vms.size === 1 ? `every failed run was on VM ${[...vms].join()}` : `its tasks failed on ${vms.size} VMs, so the job is at fault`
  }
  if (lost.length > 0) return `VM ${String(lost[0]?.fields['vm'])}: ${String(lost[0]?.fields['reason'])}`
  if (takeovers.length > 0) return `the shard changed its owner: ${String(takeovers[0]?.fields['reason'])}`
  if (failures.length > 0) return `runs failed on VM ${[...new Set(failures.map(({ fields }) => fields['vm']))].join(', ')}`
  const [wait] = waits
  if (wait !== undefined) return describeTeamWait(wait)
  if (firstWaitMs >= LONG_WAIT_MS) return `waited ${firstWaitMs} ms for room in its pool`
  const stop = stops.find(({ fields }) => fields['reason'] !== 'unwanted')
  return stop === undefined ? undefined : `a run was stopped: ${String(stop.fields['reason'])}`
}

function describeTeamWait ({ fields }: TimelineEntry): string {
  const team = `team ${String(fields['team'])}`
  if (fields['reason'] === 'share') return `${team} had the share of its weight while others waited for room`
  if (fields['reason'] === 'beyond weight') return `${team} submitted more jobs a second than its weight, and there was no room`
  return `${team} was at its cap: ${String(fields['cpuMillis'])} of ${String(fields['capCpuMillis'])} thousandths of a core, ${String(fields['memoryMb'])} of ${String(fields['capMemoryMb'])} MB (0: no limit)`
}

function describeNearPlaceWait ({ fields }: TimelineEntry): string {
  const step = `step ${String(fields['step'])}`
  if (fields['outcome'] === 'over') return `${step}: wait for a near place over after ${String(fields['waitedMs'])} ms: ${String(fields['near'])} tasks near, ${String(fields['far'])} far`
  return `${step}: ${String(fields['tasks'])} tasks wait for rack ${String(fields['rack'])} for up to ${String(fields['untilMs'])} ms: expected wait ${String(fields['waitCostMs'])} ms, a far place costs ${String(fields['farCostMs'])} ms`
}

function findOutcome (related: readonly TimelineEntry[]): string {
  const has = (code: EventCode): boolean => related.some(({ event }) => event === code)
  const [ended] = filterByEvent(related, EventCode.JobEnded)
  if (ended !== undefined) return String(ended.fields['state'])
  if (has(EventCode.JobCancelled)) return 'cancelled'
  if (has(EventCode.JobOwned) || has(EventCode.JobAccepted)) return 'not ended'
  if (has(EventCode.JobOutcomeUnknown)) return 'outcome unknown'
  return has(EventCode.JobRefused) ? 'refused' : 'not accepted'
}

function explainVm (id: string, related: readonly TimelineEntry[]): Explanation {
  const last = [...related].reverse().find(({ event }) => VM_STATE_BY_EVENT.has(event))
  const outcome = VM_STATE_BY_EVENT.get(last?.event ?? 0) ?? 'not seen'
  const reason = last?.fields['reason']
  return {
    kind: LoggedKind.Vm,
    id,
    outcome,
    cause: reason === undefined ? undefined : String(reason),
    facts: [
      `${filterByEvent(related, EventCode.TaskStartOrdered).length} starts`,
      ...formatCounts('ends', filterByEvent(related, EventCode.TaskEnded), 'end'),
      ...related.filter(({ event }) => VM_STATE_BY_EVENT.has(event)).map((entry) => `${VM_STATE_BY_EVENT.get(entry.event) ?? ''} at ${formatClockTime(entry)}`),
    ],
  }
}

/** Outcome of a VM by the latest of these events. */
const VM_STATE_BY_EVENT: ReadonlyMap<number, string> = new Map([
  [EventCode.VmSeen, 'registered'], [EventCode.VmDraining, 'draining'], [EventCode.VmUnregistered, 'not registered'],
  [EventCode.VmForgotten, 'gone'], [EventCode.VmSilent, 'silent'], [EventCode.VmAnswers, 'answering'],
  [EventCode.VmRestarted, 'restarted'], [EventCode.VmAvoided, 'avoided'], [EventCode.EvacuationStarted, 'being emptied'],
])

function explainQueue (id: string, related: readonly TimelineEntry[], all: readonly TimelineEntry[]): Explanation {
  const jobs = new Set(filterByEvent(related, EventCode.JobOwned).map(({ fields }) => String(fields['job'])))
  const ended = filterByEvent(all, EventCode.JobEnded).filter(({ fields }) => jobs.has(String(fields['job'])))
  const waitsMs = listFirstWaitsMs(all, jobs)
  const medianMs = waitsMs[Math.floor(waitsMs.length / 2)]
  const longestMs = waitsMs.at(-1)
  return {
    kind: LoggedKind.Queue,
    id,
    outcome: `${jobs.size} jobs, ${ended.length} ended`,
    cause: longestMs !== undefined && longestMs >= LONG_WAIT_MS ? `jobs waited up to ${longestMs} ms for room in the pool` : undefined,
    facts: [...formatCounts('jobs', ended, 'state'), ...(medianMs === undefined ? [] : [`first start after ${medianMs} ms in the median, ${String(longestMs)} ms at the most`])],
  }
}

function listFirstWaitsMs (all: readonly TimelineEntry[], jobs: ReadonlySet<string>): number[] {
  const waitMsByJob = new Map<string, number>()
  for (const { fields } of filterByEvent(all, EventCode.TaskStartOrdered)) {
    const job = String(fields['task']).slice(0, JOB_ID_LENGTH)
    if (jobs.has(job) && !waitMsByJob.has(job)) waitMsByJob.set(job, Number(fields['waitedMs']))
  }
  return [...waitMsByJob.values()].sort((a, b) => a - b)
}

/** Number of digits of a job's id. The name of each of its tasks begins with the id. */
const JOB_ID_LENGTH = 16

function explainShard (id: string, related: readonly TimelineEntry[]): Explanation {
  const taken = filterByEvent(related, EventCode.ShardTaken)
  const last = taken.at(-1)
  return {
    kind: LoggedKind.Shard,
    id,
    outcome: last === undefined ? 'no owner seen' : `owned by ${last.daemon}`,
    cause: last === undefined ? undefined : String(last.fields['reason']),
    facts: taken.map((entry) => {
      const ready = related.find((other) => other.event === EventCode.ShardReady && other.fields['fencingToken'] === entry.fields['fencingToken'])
      const loaded = ready === undefined ? 'never loaded' : `loaded ${String(ready.fields['jobs'])} jobs in ${String(ready.fields['tookMs'])} ms`
      return `${formatClockTime(entry)} ${entry.daemon}, token ${String(entry.fields['fencingToken'])}: ${String(entry.fields['reason'])}; ${loaded}`
    }),
  }
}

function explainWave (id: string, related: readonly TimelineEntry[]): Explanation {
  const seen = related.find(({ event }) => event === EventCode.WaveSeen)
  const complete = related.find(({ event }) => event === EventCode.WaveComplete)
  const doneMachines = new Set(filterByEvent(related, EventCode.MaintenanceAnswered).filter(({ fields }) => fields['outcome'] === 'done').map(({ fields }) => fields['machine']))
  const startedMachines = new Set(related.filter(({ event }) => event === EventCode.EvacuationStarted || event === EventCode.MaintenanceOrdered).map(({ fields }) => fields['machine']))
  const unfinishedMachines = [...startedMachines].filter((machine) => !doneMachines.has(machine))
  return {
    kind: LoggedKind.Wave,
    id,
    outcome: complete === undefined ? 'not complete' : `complete at ${formatClockTime(complete)}`,
    cause: complete !== undefined || unfinishedMachines.length === 0 ? undefined : `not yet down: ${unfinishedMachines.join(', ')}`,
    facts: [
      ...(seen === undefined ? [] : [`${String(seen.fields['machines'])} machines, ${String(seen.fields['cap'])} at once, seen at ${formatClockTime(seen)}`]),
      `${doneMachines.size} orders carried out`,
      ...formatCounts('answers', filterByEvent(related, EventCode.MaintenanceAnswered).filter(({ fields }) => fields['outcome'] !== 'done'), 'reason'),
    ],
  }
}

function filterByEvent (entries: readonly TimelineEntry[], code: EventCode): TimelineEntry[] {
  return entries.filter(({ event }) => event === code)
}

/** Returns one line with the number of entries for each value of a field, or no line if there are no entries. */
function formatCounts (name: string, entries: readonly TimelineEntry[], field: string): string[] {
  if (entries.length === 0) return []
  const counts = new Map<string, number>()
  for (const { fields } of entries) counts.set(String(fields[field]), (counts.get(String(fields[field])) ?? 0) + 1)
  return [`${name}: ${[...counts].map(([value, sum]) => `${sum} ${value}`).join(', ')}`]
}

function formatClockTime (entry: TimelineEntry): string {
  return entry.time.slice(11, 23)
}
