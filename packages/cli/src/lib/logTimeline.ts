/**
 * Timeline of one id, built from the structured logs of any number of daemons.
 */
import { EventCode, EVENTS } from '@vanillathread/model'

/** A log line that concerns the id. @public */
export interface TimelineEntry {
  readonly time: string
  readonly daemon: string
  /** Number of the event; see {@link EventCode}. */
  readonly event: number
  /** Text of the event, or empty if its number is unknown. */
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields that hold ids of jobs, tasks, VMs, machines, shards and waves, or names of owners; `former` is the previous owner. */
const ID_FIELDS = ['job', 'task', 'vm', 'machine', 'shard', 'wave', 'former', 'owner'] as const

/** Fields that every line has. {@link TimelineEntry.fields} does not repeat them. */
const COMMON_FIELDS = new Set(['time', 'daemon', 'event', 'message', 'level'])

/**
 * Returns the entries about an id, sorted by time. The id of a job also matches the job's tasks. Text before the first brace
 * of a line is ignored, so that lines with a collector's prefix are read too.
 * @public
 */
export function buildTimeline (lines: Iterable<string>, id: string): TimelineEntry[] {
  const entries: TimelineEntry[] = []
  for (const line of lines) {
    if (!line.includes(id)) continue
    const entry = parseLine(line)
    if (entry !== undefined && concerns(entry, id)) entries.push(entry)
  }
  return sortByTime(entries)
}

/** Sorts entries by time. Entries with equal times keep their order. @public */
export function sortByTime (entries: TimelineEntry[]): TimelineEntry[] {
  return entries.sort((a, b) => (a.time < b.time ? -1 : a.time > b.time ? 1 : 0))
}

/** Formats one entry as a line. @public */
export function formatEntry (entry: TimelineEntry): string {
  const fields = Object.entries(entry.fields).map(([name, value]) => `${name}=${String(value)}`).join(' ')
  return `${entry.time.slice(11, 23)} ${entry.daemon} [${entry.event}] ${entry.message}: ${fields}`
}

/** Parses a log line. Returns undefined if it was not written by a daemon. @public */
export function parseLine (line: string): TimelineEntry | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  let content: Record<string, unknown>
  try {
    content = JSON.parse(line.slice(start)) as Record<string, unknown>
  } catch {
    return undefined
  }
  const { time, daemon, event } = content
  if (typeof time !== 'string' || typeof event !== 'number') return undefined
  const fields = Object.fromEntries(Object.entries(content).filter(([name]) => !COMMON_FIELDS.has(name)))
  return { time, daemon: String(daemon), event, message: EVENTS[event as EventCode]?.message ?? '', fields }
}

/** Returns true if an entry names the id, or a task of the job with this id. @public */
export function concerns (entry: TimelineEntry, id: string): boolean {
  return ID_FIELDS.some((name) => {
    const value = entry.fields[name]
    return value !== undefined && (String(value) === id || String(value).startsWith(`${id}.`))
  })
}
