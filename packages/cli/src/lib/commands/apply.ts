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
  /** Daemon that is told of the accepted version at once. */
  readonly operations?: OperationsClient
  /** Daemon to ask, and time to wait, until the version is in force everywhere. */
  readonly wait?: { readonly operations: OperationsClient, readonly timeoutMs: number }
}

const POLL_MS = 200
const DAEMONS_IN_VIEW: ReadonlySet<string> = new Set(['self', 'live', 'leaving'])

/** Runs the command. */
export async function runApply (options: ApplyOptions, output: Output): Promise<void> {
  const declarations = await readDeclarations(options.folder)
  const startedMs = Date.now()
  const res = await applyDeclarations(options.platform, { declarations, basedOn: options.basedOn, applyId: options.applyId })
  if (!res.ok) {
    reportFailure(res.error, options, output)
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
  if (lacking.length > 0) throw CliError.create(ResultCode.RolloutIncomplete, `version ${head.version} is missing at ${lacking.join(', ')}`, { head, lacking })
  output.print({ ...head, inForceEverywhere: true, rollOutMs }, [`version ${head.version} is in force everywhere after ${rollOutMs} ms`])
}

function reportFailure (error: ApplyError, options: ApplyOptions, output: Output): void {
  switch (error.code) {
    case ResultCode.NothingToApply:
      output.print({ ...error.head, changed: false }, [`nothing to apply: version ${error.head.version} equals the declarations`])
      break
    case ResultCode.VersionConflict:
      throw CliError.create(error.code, `edit is based on version ${error.basedOn}; version ${error.head.version} (apply id ${error.head.applyId}) is accepted`, error)
    default:
      throw CliError.create(error.code, `${error.reason}; to find out or try again use --apply-id ${options.applyId}`, { ...error, applyId: options.applyId })
  }
}

/** Polls one daemon's view of all others. @returns the daemons that still lack the version at the end. */
async function waitUntilInForce (head: ConfigurationHead, wait: NonNullable<ApplyOptions['wait']>): Promise<string[]> {
  const endMs = Date.now() + wait.timeoutMs
  for (;;) {
    const status = await wait.operations.getStatus()
    const inView = status.members.filter((member) => DAEMONS_IN_VIEW.has(member.state))
    const lacking = inView.filter((member) => member.version < head.version).map((member) => member.daemonId)
    if (lacking.length === 0 || Date.now() >= endMs) return lacking
    await sleep(POLL_MS)
  }
}
