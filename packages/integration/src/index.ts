/**
 * Clusters on one machine, for integration tests and benchmarks.
 *
 * @packageDocumentation
 */
export { createSettings, type LocalDaemonOptions } from './lib/createSettings.js'
export { LocalCluster, SERVICE, type LocalClusterOptions } from './lib/LocalCluster.js'
export { sendRequest, type CallerOutcome, type CallerRequest } from './lib/sendRequest.js'
export { waitUntil } from './lib/waitUntil.js'
export { JobHistory, type JobViolation } from './lib/jobs/JobHistory.js'
export { listTasks, type SubmittedJob } from './lib/jobs/SubmittedJob.js'
export { createJob, createStep } from './lib/jobs/JobLab.js'
export { createNaiveClients, NaiveOwner } from './lib/jobs/labVmClients.js'
