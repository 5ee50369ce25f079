/**
 * Differences between two sets of declarations, object by object.
 */
import { isDeepStrictEqual } from 'node:util'
import type { Declarations } from '@vanillathread/model'

/** Kinds of {@link DeclarationChange}. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** One object that differs. */
export interface DeclarationChange {
  readonly kind: ChangeKind
  /** Type and identifier, such as `vm lowicz-07`. */
  readonly object: string
  /** Fields that differ, with both values. Empty if the object was added or removed. */
  readonly fields: ReadonlyArray<{ readonly name: string, readonly before: unknown, readonly after: unknown }>
}

type ObjectsByName = Map<string, Record<string, unknown>>

const CHANGE_MARKS: Readonly<Record<ChangeKind, string>> = {
  [ChangeKind.Added]: '+',
  [ChangeKind.Removed]: '-',
  [ChangeKind.Changed]: '~',
}

/** Returns the changes from one set of declarations to another. */
export function diffDeclarations (before: Declarations | undefined, after: Declarations): DeclarationChange[] {
  const previousObjects = before === undefined ? new Map() : indexObjects(before)
  const nextObjects = indexObjects(after)
  const changes: DeclarationChange[] = []
  for (const [object, value] of nextObjects) {
    const previous = previousObjects.get(object)
    if (previous === undefined) changes.push({ kind: ChangeKind.Added, object, fields: [] })
    else if (!isDeepStrictEqual(previous, value)) changes.push({ kind: ChangeKind.Changed, object, fields: diffFields(previous, value) })
  }
  for (const object of previousObjects.keys()) {
    if (!nextObjects.has(object)) changes.push({ kind: ChangeKind.Removed, object, fields: [] })
  }
  return changes
}

/** Formats a change as one line. */
export function formatChange (change: DeclarationChange): string {
  const fields = change.fields.map(({ name, before, after }) => `${name}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`)
  return `${CHANGE_MARKS[change.kind]} ${change.object}${fields.length > 0 ? ` (${fields.join(', ')})` : ''}`
}

function indexObjects ({ inventory, rules }: Declarations): ObjectsByName {
  const objects: ObjectsByName = new Map()
  for (const region of inventory.regions) objects.set(`region ${region.id}`, region)
  for (const pool of inventory.pools) objects.set(`pool ${pool.id}`, pool)
  for (const vm of inventory.vms) objects.set(`vm ${vm.id}`, vm)
  for (const { endpoints, ...service } of inventory.services) {
    objects.set(`service ${service.id}`, service)
    for (const endpoint of endpoints) objects.set(`endpoint ${endpoint.id}`, endpoint)
  }
  for (const budget of rules.budgets) objects.set(`budget ${budget.pool}`, budget)
  for (const team of rules.teams) objects.set(`team ${team.id}`, team)
  for (const entry of rules.classes) objects.set(`class ${entry.class}`, entry)
  objects.set('windows', { windows: rules.windows })
  objects.set('maintenance', rules.maintenance)
  objects.set('weights', rules.weights)
  return objects
}

function diffFields (before: Record<string, unknown>, after: Record<string, unknown>): DeclarationChange['fields'] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])]
  return names
    .filter((name) => !isDeepStrictEqual(before[name], after[name]))
    .map((name) => ({ name, before: before[name], after: after[name] }))
}
