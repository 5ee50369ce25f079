/**
 * Reads the daemons' logs line by line.
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { ResultCode } from '@vanillathread/model'
import { CliError } from './CliError.js'

/** Yields the lines of the files, one file after another. Throws a {@link CliError} if a file cannot be read. */
export async function * readLogLines (files: readonly string[]): AsyncGenerator<string> {
  for (const file of files) {
    try {
      yield * createInterface({ input: createReadStream(file) })
    } catch (err) {
      throw CliError.create(ResultCode.FileUnreadable, `${file}: ${err instanceof Error ? err.message : String(err)}`)
    }
  }
}
