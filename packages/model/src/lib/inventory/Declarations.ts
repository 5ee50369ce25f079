/**
 * Parses the operators' files into the declarations of one configuration.
 */
import { compareFaults, type Fault } from '../yaml/Fault.js'
import { Result } from '../result/Result.js'
import { YamlFile } from '../yaml/YamlFile.js'
import { checkInventory } from './checkInventory.js'
import { inventorySchema, rulesSchema, type Inventory, type Rules } from './inventorySchema.js'

/** Content of one configuration: inventory and rules. @public */
export interface Declarations {
  readonly inventory: Inventory
  readonly rules: Rules
}

/** Name and text of one file. @public */
export interface SourceFile {
  /** Name that faults give for the file. */
  readonly name: string
  readonly text: string
}

/**
 * Parses both files and checks each against the other.
 *
 * The checks run in three stages: YAML syntax, the schemas, then references between the parts. A stage runs only if
 * the one before it found no fault.
 *
 * @returns the declarations, or every fault that one stage found in both files, ordered by file and line.
 * @public
 */
export function parseDeclarations (inventoryFile: SourceFile, rulesFile: SourceFile): Result<Declarations, Fault[]> {
  const inventoryYaml = YamlFile.create(inventoryFile.name, inventoryFile.text)
  const rulesYaml = YamlFile.create(rulesFile.name, rulesFile.text)
  if (!inventoryYaml.ok || !rulesYaml.ok) return Result.err(joinFaults(inventoryYaml, rulesYaml))

  const inventory = inventoryYaml.value.parse(inventorySchema)
  const rules = rulesYaml.value.parse(rulesSchema)
  if (!inventory.ok || !rules.ok) return Result.err(joinFaults(inventory, rules))

  const declarations = { inventory: inventory.value, rules: rules.value }
  const faults = checkInventory(declarations, { inventory: inventoryYaml.value, rules: rulesYaml.value })
  return faults.length === 0 ? Result.ok(declarations) : Result.err(faults.sort(compareFaults))
}

function joinFaults (...results: Array<Result<unknown, Fault[]>>): Fault[] {
  return results.flatMap((res) => res.ok ? [] : res.error).sort(compareFaults)
}
