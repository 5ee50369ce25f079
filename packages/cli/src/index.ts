/**
 * The command-line tool `vanillathread`.
 *
 * @packageDocumentation
 */
export { CliExit } from './lib/exit.js'
export type { OutputStreams } from './lib/Output.js'
export { runCli } from './lib/runCli.js'
