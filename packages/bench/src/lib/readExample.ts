/**
 * Reads the example declarations.
 */
import { readFile } from 'node:fs/promises'
import { formatFault, parseDeclarations, type Declarations } from '@vanillathread/model'

const EXAMPLES = new URL('../../../../examples/', import.meta.url)

/** Names of the examples. */
export enum Example {
  Lowicz = 'lowicz',
  Estrada = 'estrada',
}

/** Reads and checks an example. Throws if it has faults. */
export async function readExample (example: Example): Promise<Declarations> {
  const [inventory, rules] = await Promise.all(['inventory.yaml', 'rules.yaml'].map(async (name) => {
    const url = new URL(`${example}/${name}`, EXAMPLES)
    return { name: `examples/${example}/${name}`, text: await readFile(url, 'utf8') }
  }))
  if (inventory === undefined || rules === undefined) throw new Error('example is incomplete')
  const res = parseDeclarations(inventory, rules)
  if (!res.ok) throw new Error(res.error.map(formatFault).join('\n'))
  return res.value
}
