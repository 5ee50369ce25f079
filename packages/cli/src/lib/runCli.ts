/**
 * Defines the commands and options of `vanillathread`, and runs them.
 */
import { randomUUID } from 'node:crypto'
import { Command, CommanderError, Option, InvalidArgumentError } from 'commander'
import { RESULT_CODES } from '@vanillathread/model'
import { HttpPlatform } from '@vanillathread/ports'
import { CliError } from './CliError.js'
import { runApply } from './commands/apply.js'
import { runCheck, runDiff, runExplain, runGet, runStatus } from './commands/inspect.js'
import { runLog } from './commands/followLog.js'
import { runJobsExplain, runJobsPlot, runJobsStatus } from './commands/jobs.js'
import { CliExit } from './exit.js'
import { ExplainedKind, OperationsClient } from './OperationsClient.js'
import { LoggedKind } from './jobs/explainLogs.js'
import { Output, OutputFormat, type OutputStreams } from './Output.js'

interface CommonOptions {
  readonly output: OutputFormat
  readonly platform?: string
  readonly operations?: string
}

const PLATFORM_TIMEOUT_MS = 10_000
const MILLISECONDS_PER_SECOND = 1000
const DEFAULT_WAIT_SECONDS = '30'

const EXAMPLES = `
Examples:
  vanillathread check examples/lowicz
  vanillathread diff examples/lowicz --platform http://10.20.0.5:8790
  vanillathread apply examples/lowicz --based-on 41 --platform http://10.20.0.5:8790 --wait --operations http://10.20.0.11:8701
  vanillathread status --operations http://10.20.0.11:8701 --output json
  vanillathread explain vm lowicz-07 --operations http://10.20.0.11:8701
  vanillathread log 5c0e7a21d94b36f8 /var/log/vanillathread/*.log
  vanillathread jobs explain job 5c0e7a21d94b36f8 /var/log/vanillathread/*.log
  vanillathread jobs status 10.1.0.9:7061 10.2.0.23:7061
  vanillathread jobs plot /var/log/vanillathread/*.log --out day.svg

Exit status:
  0 done            1 failed           2 wrong arguments
  3 faults in files 4 conflict         5 platform or daemon cannot be reached
  6 outcome unknown 7 not in force everywhere yet
  8 not found`

/** Runs one command. @returns the exit status. @public */
export async function runCli (argv: readonly string[], streams: OutputStreams): Promise<CliExit> {
  const program = createProgram(streams)
  try {
    await program.parseAsync([...argv], { from: 'user' })
    return CliExit.Done
  } catch (err) {
    return reportError(err, argv, streams)
  }
}

function createProgram (streams: OutputStreams): Command {
  const program = new Command('vanillathread')
    .description('Operates a fleet from declarations kept in version control.')
    .exitOverride()
    .configureOutput({ writeOut: (text) => streams.stdout(text.trimEnd()), writeErr: (text) => streams.stderr(text.trimEnd()) })
    .addHelpText('after', EXAMPLES)
  addCheck(program, streams)
  addDiff(program, streams)
  addApply(program, streams)
  addGet(program, streams)
  addStatus(program, streams)
  addExplain(program, streams)
  addLog(program, streams)
  addJobs(program, streams)
  return program
}

function addCheck (program: Command, streams: OutputStreams): void {
  addCommand(program, 'check <folder>', 'check inventory.yaml and rules.yaml of a folder')
    .action(async (folder: string, options: CommonOptions) => runCheck(folder, createOutput(options, streams)))
}

function addDiff (program: Command, streams: OutputStreams): void {
  addCommand(program, 'diff <folder>', 'show what apply would change').addOption(platformOption())
    .action(async (folder: string, options: CommonOptions) =>
      withPlatform(options, (platform) => runDiff(folder, platform, createOutput(options, streams))))
}

function addApply (program: Command, streams: OutputStreams): void {
  addCommand(program, 'apply <folder>', 'make the declarations of a folder the accepted configuration')
    .addOption(platformOption())
    .requiredOption('--based-on <version>', 'version that the edit was based on; 0 for the first', parseWholeNumber)
    .option('--apply-id <id>', 'id of this edit; give the same one to repeat a command whose outcome is unknown')
    .option('--wait [seconds]', `wait until the version is in force everywhere (${DEFAULT_WAIT_SECONDS} s by default)`)
    .option('--operations <url>', 'operations port of any daemon: it is told of the accepted version at once, and polled with --wait')
    .action(async (folder: string, options: CommonOptions & { basedOn: number, applyId?: string, wait?: string | true }) =>
      withPlatform(options, (platform) => runApply({
        folder,
        basedOn: options.basedOn,
        applyId: options.applyId ?? randomUUID(),
        platform,
        ...options.operations === undefined ? {} : { operations: createOperations(options) },
        ...options.wait === undefined ? {} : { wait: createWait(options, options.wait) },
      }, createOutput(options, streams))))
}

function addGet (program: Command, streams: OutputStreams): void {
  addCommand(program, 'get', 'print the accepted configuration').addOption(platformOption())
    .action(async (options: CommonOptions) => withPlatform(options, (platform) => runGet(platform, createOutput(options, streams))))
}

function addStatus (program: Command, streams: OutputStreams): void {
  addCommand(program, 'status', 'print a daemon\'s status and the states of the other daemons as it sees them').addOption(operationsOption())
    .action(async (options: CommonOptions) => runStatus(createOperations(options), createOutput(options, streams)))
}

function addExplain (program: Command, streams: OutputStreams): void {
  addCommand(program, 'explain <kind> <id>', `explain the state of an object; kind is one of ${Object.values(ExplainedKind).join(', ')}`)
    .addOption(operationsOption())
    .action(async (kind: string, id: string, options: CommonOptions) => {
      if (!isExplainedKind(kind)) throw new InvalidArgumentError(`unknown kind "${kind}"; allowed: ${Object.values(ExplainedKind).join(', ')}`)
      await runExplain(kind, id, createOperations(options), createOutput(options, streams))
    })
}

function addLog (program: Command, streams: OutputStreams): void {
  addCommand(program, 'log <id> <files...>', 'follow a job, task, VM, machine, shard or wave through the daemons\' logs')
    .action(async (id: string, files: string[], options: CommonOptions) => runLog(id, files, createOutput(options, streams)))
}

function addJobs (program: Command, streams: OutputStreams): void {
  const jobs = program.command('jobs').description('read the logs and metrics of daemons that serve jobs')
  addCommand(jobs, 'status <addresses...>', 'print the state of daemons; an address is the host and port of a daemon\'s metrics')
    .action(async (addresses: string[], options: CommonOptions) => runJobsStatus(addresses, createOutput(options, streams)))
  addCommand(jobs, 'explain <kind> <id> <files...>', `explain the outcome of an object and its cause; kind is one of ${Object.values(LoggedKind).join(', ')}`)
    .action(async (kind: string, id: string, files: string[], options: CommonOptions) => {
      const known = Object.values(LoggedKind).find((each) => each === kind)
      if (known === undefined) throw new InvalidArgumentError(`unknown kind "${kind}"; allowed: ${Object.values(LoggedKind).join(', ')}`)
      await runJobsExplain(known, id, files, createOutput(options, streams))
    })
  addCommand(jobs, 'plot <files...>', 'plot a day\'s open jobs, VMs by pool and refusals as SVG')
    .requiredOption('--out <file>', 'file to write')
    .action(async (files: string[], options: CommonOptions & { out: string }) => runJobsPlot(files, options.out, createOutput(options, streams)))
}

function addCommand (program: Command, usage: string, description: string): Command {
  const format = new Option('--output <format>', 'output format').choices(Object.values(OutputFormat)).default(OutputFormat.Text)
  return program.command(usage).description(description).addOption(format)
}

function platformOption (): Option {
  return new Option('--platform <url>', 'URL of the platform').env('VANILLATHREAD_PLATFORM').makeOptionMandatory()
}

function operationsOption (): Option {
  return new Option('--operations <url>', 'operations port of any daemon').env('VANILLATHREAD_OPERATIONS').makeOptionMandatory()
}

async function withPlatform (options: CommonOptions, use: (platform: HttpPlatform) => Promise<void>): Promise<void> {
  const platform = HttpPlatform.create({ url: options.platform ?? '', timeoutMs: PLATFORM_TIMEOUT_MS })
  try {
    await use(platform)
  } finally {
    await platform.dispose()
  }
}

function createOutput (options: CommonOptions, streams: OutputStreams): Output {
  return Output.create({ format: options.output, streams })
}

function createOperations (options: CommonOptions): OperationsClient {
  if (options.operations === undefined) throw new InvalidArgumentError('--wait requires --operations')
  return OperationsClient.create(options.operations)
}

function createWait (options: CommonOptions, wait: string | true): { operations: OperationsClient, timeoutMs: number } {
  const seconds = parseWholeNumber(wait === true ? DEFAULT_WAIT_SECONDS : wait)
  return { operations: createOperations(options), timeoutMs: seconds * MILLISECONDS_PER_SECOND }
}

function parseWholeNumber (text: string): number {
  if (!/^\d+$/.test(text)) throw new InvalidArgumentError(`"${text}" is not a whole number`)
  return Number(text)
}

function isExplainedKind (text: string): text is ExplainedKind {
  return Object.values<string>(ExplainedKind).includes(text)
}

function reportError (err: unknown, argv: readonly string[], streams: OutputStreams): CliExit {
  if (err instanceof CliError) {
    const output = Output.create({ format: isJsonRequested(argv) ? OutputFormat.Json : OutputFormat.Text, streams })
    output.fail({ code: err.code, title: RESULT_CODES[err.code].title, message: err.message, ...err.details }, err.message)
    return err.exitStatus
  }
  if (err instanceof CommanderError) {
    // Commander has printed help and its own usage errors already, but not errors thrown by actions.
    if (err instanceof InvalidArgumentError) streams.stderr(`error: ${err.message}`)
    return err.exitCode === 0 ? CliExit.Done : CliExit.Usage
  }
  streams.stderr(`error: ${err instanceof Error ? err.message : String(err)}`)
  return CliExit.Failed
}

function isJsonRequested (argv: readonly string[]): boolean {
  return argv.includes('--output=json') || argv[argv.indexOf('--output') + 1] === OutputFormat.Json
}
