/**
 * `vanillathread apply`: makes declarations the accepted configuration.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { encodeBundle, ResultCode, type ConfigurationHead } from '@vanillathread/model'
import { applyDeclarations, type ApplyError, type Platform } from '@vanillathread/ports'
import { CliError } from '../CliError.js'
import type { OperationsClient } from '../OperationsClient.js'
import type { Output } from '../Output.js'
import { readDeclarations } from '../readDeclarations.js'

/** Options of {@link runApply}. */
export interface ApplyOptions {
  readonly folder: string
  readonly basedOn: number
  readonly applyId: string
  readonly platform: Platform
  /** Daemon to which the accepted version is announced at once. */
  readonly operations?: OperationsClient
  /** Daemon to poll until the version is in force everywhere, and the longest time to wait for that. */
  readonly wait?: { readonly operations: OperationsClient, readonly timeoutMs: number }
}

const POLL_INTERVAL_MS = 200

/** States of the members that must have the version. Members in other states, such as `silent`, are not awaited. */
const AWAITED_MEMBER_STATES: ReadonlySet<string> = new Set(['self', 'live', 'leaving'])

/** Runs the command. */
export async function runApply (options: ApplyOptions, output: Output): Promise<void> {
  const declarations = await readDeclarations(options.folder)
  const startedMs = Date.now()
  const res = await applyDeclarations(options.platform, { declarations, basedOn: options.basedOn, applyId: options.applyId })
  if (!res.ok) {
    handleApplyError(res.error, options, output)
    return
  }
  const head = res.value
  await options.operations?.announce(head, encodeBundle(declarations).objects)
  if (options.wait === undefined) {
    output.print({ ...head, inForceEverywhere: null }, [`accepted as version ${head.version}`])
    return
  }
  const lacking = await waitUntilInForce(head, options.wait)
  const rollOutMs = Date.now() - startedMs
  if (lacking.length > 0) throw CliError.create(ResultCode.RolloutIncomplete, `version ${head.version} is not in force at ${lacking.join(', ')}`, { head, lacking })
  output.print({ ...head, inForceEverywhere: true, rollOutMs }, [`version ${head.version} is in force everywhere after ${rollOutMs} ms`])
}

/** Prints a message if there was nothing to apply; throws a {@link CliError} for every other error. */
function handleApplyError (error: ApplyError, options: ApplyOptions, output: Output): void {
  switch (error.code) {
    case ResultCode.NothingToApply:
      output.print({ ...error.head, changed: false }, [`nothing to apply: version ${error.head.version} equals the declarations`])
      break
    case ResultCode.VersionConflict:
      throw CliError.create(error.code, `edit is based on version ${error.basedOn}; version ${error.head.version} (apply id ${error.head.applyId}) is accepted`, error)
    default:
      throw CliError.create(error.code, `${error.reason}; to find out the outcome or to retry, use --apply-id ${options.applyId}`, { ...error, applyId: options.applyId })
  }
}

/**
 * Polls one daemon's list of members until each awaited member has the version or `timeoutMs` has passed.
 * @returns the daemons that still lack the version.
 */
async function waitUntilInForce (head: ConfigurationHead, wait: NonNullable<ApplyOptions['wait']>): Promise<string[]> {
  const endMs = Date.now() + wait.timeoutMs
  for (;;) {
    const status = await wait.operations.getStatus()
    const awaitedMembers = status.members.filter((member) => AWAITED_MEMBER_STATES.has(member.state))
    const lacking = awaitedMembers.filter((member) => member.version < head.version).map((member) => member.daemonId)
    if (lacking.length === 0 || Date.now() >= endMs) return lacking
    await sleep(POLL_INTERVAL_MS)
  }
}
