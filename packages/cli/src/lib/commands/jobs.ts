/**
 * Commands below `jobs`: what daemons' logs and metrics tell of the jobs system.
 */
import { writeFile } from 'node:fs/promises'
import { ResultCode } from '@vanillathread/model'
import { CliError } from '../CliError.js'
import { explainLogs, type LoggedKind } from '../jobs/explainLogs.js'
import { plotDay } from '../jobs/plotDay.js'
import { formatStatus, readStatus } from '../jobs/readStatus.js'
import { parseLine, sortByTime, type TimelineEntry } from '../logTimeline.js'
import type { Output } from '../Output.js'
import { readLogLines } from '../readLogLines.js'

/** Reads every line of the files that a daemon wrote, in the order of time. */
export async function readEntries (files: readonly string[]): Promise<TimelineEntry[]> {
  const entries: TimelineEntry[] = []
  for await (const line of readLogLines(files)) {
    const entry = parseLine(line)
    if (entry !== undefined) entries.push(entry)
  }
  return sortByTime(entries)
}

/** Prints why an object is as it is. */
export async function runJobsExplain (kind: LoggedKind, id: string, files: readonly string[], output: Output): Promise<void> {
  const explanation = explainLogs(kind, id, await readEntries(files))
  if (explanation === undefined) throw CliError.create(ResultCode.NotFound, `no line is about ${kind} ${id}`)
  const { outcome, cause, facts } = explanation
  output.print(explanation, [`${kind} ${id}: ${outcome}`, ...(cause === undefined ? [] : [`cause: ${cause}`]), ...facts.map((fact) => `  ${fact}`)])
}

/** Prints how daemons are. */
export async function runJobsStatus (addresses: readonly string[], output: Output): Promise<void> {
  const statuses = await Promise.all(addresses.map((address) => readStatus(address)))
  output.print({ daemons: statuses }, statuses.flatMap(formatStatus))
}

/** Writes a picture of a day. */
export async function runJobsPlot (files: readonly string[], to: string, output: Output): Promise<void> {
  const entries = await readEntries(files)
  if (entries.length === 0) throw CliError.create(ResultCode.NotFound, 'the files hold no line of a daemon')
  await writeFile(to, plotDay(entries))
  output.print({ file: to, lines: entries.length }, [`${to}: drawn from ${entries.length} lines`])
}
