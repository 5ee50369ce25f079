/**
 * Command `log`: follows one id through the daemons' logs.
 */
import { ResultCode } from '@vanillathread/model'
import { CliError } from '../CliError.js'
import { buildTimeline, formatEntry } from '../logTimeline.js'
import type { Output } from '../Output.js'
import { readLogLines } from '../readLogLines.js'

/** Prints the timeline of an id. */
export async function runLog (id: string, files: readonly string[], output: Output): Promise<void> {
  const lines: string[] = []
  for await (const line of readLogLines(files)) {
    if (line.includes(id)) lines.push(line)
  }
  const entries = buildTimeline(lines, id)
  if (entries.length === 0) throw CliError.create(ResultCode.NotFound, `no log line is about ${id}`)
  output.print(entries, entries.map(formatEntry))
}
