/**
 * The command-line tool `vanillathread`.
 *
 * @packageDocumentation
 */
export { CliExit } from './lib/exit.js'
export type { OutputStreams } from './lib/Output.js'
export { runCli } from './lib/runCli.js'
export { buildTimeline, formatEntry, type TimelineEntry } from './lib/logTimeline.js'
