/**
 * The commands that change nothing: `check`, `diff`, `get`, `status` and `explain`.
 */
import { stringify } from 'yaml'
import { ResultCode } from '@vanillathread/model'
import { loadDeclarations, type AcceptedConfiguration, type Platform } from '@vanillathread/ports'
import { CliError } from '../CliError.js'
import { diffDeclarations, formatChange } from '../diffDeclarations.js'
import type { ExplainedKind, OperationsClient } from '../OperationsClient.js'
import type { Output } from '../Output.js'
import { readDeclarations } from '../readDeclarations.js'

const BYTES_PER_MEBIBYTE = 1024 * 1024

/** Checks the files of a folder. */
export async function runCheck (folder: string, output: Output): Promise<void> {
  const { inventory, rules } = await readDeclarations(folder)
  const counts = {
    vms: inventory.vms.length,
    pools: inventory.pools.length,
    services: inventory.services.length,
    budgets: rules.budgets.length,
    teams: rules.teams.length,
  }
  output.print({ valid: true, ...counts }, [`valid: ${Object.entries(counts).map(([name, count]) => `${count} ${name}`).join(', ')}`])
}

/** Shows what `apply` would change. */
export async function runDiff (folder: string, platform: Platform, output: Output): Promise<void> {
  const declarations = await readDeclarations(folder)
  const accepted = await loadAccepted(platform)
  const changes = diffDeclarations(accepted.declarations, declarations)
  const lines = changes.length === 0 ? ['no difference'] : changes.map(formatChange)
  output.print({ version: accepted.head.version, changes }, [`against version ${accepted.head.version}:`, ...lines])
}

/** Prints the accepted configuration. */
export async function runGet (platform: Platform, output: Output): Promise<void> {
  const { head, declarations } = await loadAccepted(platform)
  if (declarations === undefined) throw CliError.create(ResultCode.NotFound, 'no configuration has been accepted yet')
  output.print({ ...head, ...declarations }, [`# version ${head.version}, apply id ${head.applyId}`, stringify(declarations).trimEnd()])
}

/** Prints a daemon's status and the states of the other daemons as it sees them. */
export async function runStatus (operations: OperationsClient, output: Output): Promise<void> {
  const status = await operations.getStatus()
  const newestVersion = Math.max(...status.members.map((member) => member.version))
  const lines = [
    `daemon ${status.daemonId}: ${status.phase}, version ${status.version}, loop lag ${Math.round(status.loopLagMs)} ms, memory ${Math.round(status.memoryBytes / BYTES_PER_MEBIBYTE)} MiB`,
    ...status.members.map((member) => `  ${member.daemonId} in ${member.zone}: ${member.state}, version ${member.version}${member.version < newestVersion ? ' (behind)' : ''}`),
    ...status.services.map((service) => `  service ${service.id}: ${service.active} active, ${service.queued} queued, ${service.slots} slots${service.ejected.length > 0 ? `, ejected: ${service.ejected.join(', ')}` : ''}`),
    ...status.leavingVms.length > 0 ? [`  leaving VMs: ${status.leavingVms.join(', ')}`] : [],
  ]
  output.print(status, lines)
}

/** Prints a daemon's explanation of the state of an object. */
export async function runExplain (kind: ExplainedKind, id: string, operations: OperationsClient, output: Output): Promise<void> {
  const explanation = await operations.explain(kind, id)
  output.print(explanation, [stringify(explanation).trimEnd()])
}

async function loadAccepted (platform: Platform): Promise<AcceptedConfiguration> {
  const res = await loadDeclarations(platform)
  if (!res.ok) throw CliError.create(res.error, 'configuration cannot be read')
  return res.value
}
