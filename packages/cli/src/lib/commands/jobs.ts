/**
 * Subcommands of `jobs`, which read the logs and metrics of daemons that serve jobs.
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

/** Reads the daemons' log lines from files and sorts them by time. Other lines are skipped. */
export async function readEntries (files: readonly string[]): Promise<TimelineEntry[]> {
  const entries: TimelineEntry[] = []
  for await (const line of readLogLines(files)) {
    const entry = parseLine(line)
    if (entry !== undefined) entries.push(entry)
  }
  return sortByTime(entries)
}

/** Prints the outcome of an object with its cause and the facts from the logs. */
export async function runJobsExplain (kind: LoggedKind, id: string, files: readonly string[], output: Output): Promise<void> {
  const explanation = explainLogs(kind, id, await readEntries(files))
  if (explanation === undefined) throw CliError.create(ResultCode.NotFound, `no log line is about ${kind} ${id}`)
  const { outcome, cause, facts } = explanation
  output.print(explanation, [`${kind} ${id}: ${outcome}`, ...(cause === undefined ? [] : [`cause: ${cause}`]), ...facts.map((fact) => `  ${fact}`)])
}

/** Prints the state of daemons. */
export async function runJobsStatus (addresses: readonly string[], output: Output): Promise<void> {
  const statuses = await Promise.all(addresses.map((address) => readStatus(address)))
  output.print({ daemons: statuses }, statuses.flatMap(formatStatus))
}

/** Plots the log lines of a day as an SVG file. */
export async function runJobsPlot (files: readonly string[], to: string, output: Output): Promise<void> {
  const entries = await readEntries(files)
  if (entries.length === 0) throw CliError.create(ResultCode.NotFound, 'the files contain no log line of a daemon')
  await writeFile(to, plotDay(entries))
  output.print({ file: to, lines: entries.length }, [`${to}: drawn from ${entries.length} lines`])
}
