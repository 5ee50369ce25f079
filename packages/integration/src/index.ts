/**
 * Clusters on one machine, for integration tests and benchmarks.
 *
 * @packageDocumentation
 */
export { createSettings, type LocalDaemon } from './lib/createSettings.js'
export { LocalCluster, SERVICE, type LocalClusterOptions } from './lib/LocalCluster.js'
export { send, type CallerOutcome, type CallerRequest } from './lib/send.js'
export { waitUntil } from './lib/waitUntil.js'
