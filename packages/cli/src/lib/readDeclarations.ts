/**
 * Reads the operators' declarations.
 */
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { parseDeclarations, ResultCode, type Declarations, type Fault, type SourceFile } from '@vanillathread/model'
import { CliError } from './CliError.js'

/** Reads inventory.yaml and rules.yaml of a folder. Throws a {@link CliError} that lists every fault. */
export async function readDeclarations (folder: string): Promise<Declarations> {
  const inventory = await readSource(join(folder, 'inventory.yaml'))
  const rules = await readSource(join(folder, 'rules.yaml'))
  const res = parseDeclarations(inventory, rules)
  if (!res.ok) throw CliError.createFromFaults(res.error)
  return res.value
}

async function readSource (name: string): Promise<SourceFile> {
  try {
    return { name, text: await readFile(name, 'utf8') }
  } catch (err) {
    const found = err instanceof Error && 'code' in err ? String(err.code) : String(err)
    const fault: Fault = { code: ResultCode.FileUnreadable, file: name, line: 1, path: '(file)', found, allowed: 'a file that can be read' }
    throw CliError.createFromFaults([fault])
  }
}
