/**
 * The command-line tool `vanillathread`.
 *
 * @packageDocumentation
 */
export { CliExit } from './lib/exit.js'
export type { OutputStreams } from './lib/Output.js'
export { runCli } from './lib/runCli.js'
export { explainLogs, LoggedKind, type Explanation } from './lib/jobs/explainLogs.js'
export { plotDay } from './lib/jobs/plotDay.js'
export { parseStatus, type DaemonStatus } from './lib/jobs/readStatus.js'
export { buildTimeline, formatEntry, parseLine, sortByTime, type TimelineEntry } from './lib/logTimeline.js'
