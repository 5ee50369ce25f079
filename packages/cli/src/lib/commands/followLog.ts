/**
 * Command `log`: follows an id through the logs of the daemons.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ResultCode } from '@vanillathread/model'
import { CliError } from '../CliError.js'
import { buildTimeline, formatEntry } from '../logTimeline.js'
import type { Output } from '../Output.js'

/** Prints the timeline of an id. */
export async function runLog (id: string, files: readonly string[], output: Output): Promise<void> {
  const lines: string[] = []
  for (const file of files) {
    try {
      for await (const line of createInterface({ input: createReadStream(file) })) {
        if (line.includes(id)) lines.push(line)
      }
    } catch (err) {
      throw CliError.create(ResultCode.FileUnreadable, `${file}: ${err instanceof Error ? err.message : String(err)}`)
    }
  }
  const entries = buildTimeline(lines, id)
  if (entries.length === 0) throw CliError.create(ResultCode.NotFound, `no line is about ${id}`)
  output.print(entries, entries.map(formatEntry))
}
