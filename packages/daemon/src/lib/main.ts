/**
 * Entry point of `vanillathreadd`.
 */
import { readFile } from 'node:fs/promises'
import { Command } from 'commander'
import { ConsolaEventLog } from '@vanillathread/kernel'
import { formatFault, parseSettings, ResultCode, type Settings } from '@vanillathread/model'
import { Daemon } from './Daemon.js'

/** Exit statuses of the daemon. @public */
export enum DaemonExit {
  Stopped = 0,
  StartFailed = 1,
  BadSettings = 2,
}

/**
 * Runs the daemon until the process gets SIGTERM or SIGINT; with `--check`, only checks the settings.
 *
 * @returns the exit status.
 *
 * @public
 */
export async function runDaemon (argv: readonly string[]): Promise<DaemonExit> {
  const command = new Command('vanillathreadd')
    .description('Daemon of vanillathread: carries requests to endpoints and maintains the fleet.')
    .requiredOption('--settings <file>', 'YAML file with the daemon\'s settings')
    .option('--check', 'check the settings and exit')
    .addHelpText('after', '\nExit status: 0 stopped, 1 start failed, 2 settings are not valid.\n')
  command.parse([...argv], { from: 'user' })
  const { settings: file, check } = command.opts<{ settings: string, check?: boolean }>()
  const settings = await readSettings(file)
  if (settings === undefined) return DaemonExit.BadSettings
  if (check === true) return DaemonExit.Stopped
  return runUntilSignal(settings)
}

/** Reads the settings. If they are not valid, prints every fault and returns undefined. */
async function readSettings (file: string): Promise<Settings | undefined> {
  let text: string
  try {
    text = await readFile(file, 'utf8')
  } catch (err) {
    const reason = err instanceof Error && 'code' in err ? String(err.code) : String(err)
    console.error(`${file}:1: [${ResultCode.FileUnreadable}] file cannot be read: ${reason}`)
    return undefined
  }
  const res = parseSettings(file, text)
  if (res.ok) return res.value
  for (const fault of res.error) console.error(formatFault(fault))
  return undefined
}

async function runUntilSignal (settings: Settings): Promise<DaemonExit> {
  const daemon = Daemon.create({ settings, log: ConsolaEventLog.create({ level: settings.log.level }) })
  const signal = new Promise<void>((resolve) => {
    process.once('SIGTERM', () => resolve())
    process.once('SIGINT', () => resolve())
  })
  try {
    await daemon.start()
  } catch (err) {
    console.error(`vanillathreadd: start failed: ${String(err)}`)
    return DaemonExit.StartFailed
  }
  await signal
  await daemon.stop()
  return DaemonExit.Stopped
}
