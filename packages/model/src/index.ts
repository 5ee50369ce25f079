/**
 * Declarations, settings, jobs, VMs, result codes and log events: the types that all packages share. This package does no I/O.
 *
 * @packageDocumentation
 */
export { Result, type Err, type Ok } from './lib/result/Result.js'
export { decodeBySchema } from './lib/result/decodeBySchema.js'
export { exhaustiveSwitchError } from './lib/result/exhaustiveSwitchError.js'
export { Execution, RESULT_CODES, ResultCode, type ResultCodeInfo } from './lib/result/ResultCode.js'
export { EventCode, EventLevel, EVENTS, type EventInfo } from './lib/events/EventCode.js'
export { compareFaults, formatFault, type Fault } from './lib/yaml/Fault.js'
export { YamlFile } from './lib/yaml/YamlFile.js'
export { LogLevel, parseSettings, settingsSchema, type Address, type Settings } from './lib/settings/settingsSchema.js'
export {
  inventorySchema, rulesSchema, Weekday, WorkClass,
  type Budget, type Endpoint, type Inventory, type MaintenanceWindow, type Pool, type Rules, type Service, type Vm,
} from './lib/inventory/inventorySchema.js'
export { parseDeclarations, type Declarations, type SourceFile } from './lib/inventory/Declarations.js'
export {
  CONFIGURATION_HEAD_KEY, configurationHeadSchema, decodeBundle, decodeManifest, encodeBundle, getDigest,
  type ChunkReference, type ConfigurationHead, type EncodedBundle,
} from './lib/configuration/ConfigurationBundle.js'
export { assembleBundle, type AssembledBundle, type ObjectFetch } from './lib/configuration/assembleBundle.js'
export {
  isFinalState, STEP_DEFAULTS, JobState,
  type AcceptedJob, type AdmissionServiceRules, type Capacity, type JobSpec, type OperatorConfiguration, type PoolRules, type QueueRules, type StepSpec,
} from './lib/jobs/JobSpec.js'
export type { TeamRules } from './lib/teams/TeamRules.js'
export { OrderRefusal, RunEnd, type EndEntry, type RunningEntry, type VmEntry, type VmReport } from './lib/jobs/Vm.js'
export { decodeVmEntry, isUsableAddress } from './lib/jobs/decodeVmEntry.js'
export { formatStepName, formatTaskName, parseTaskName, type TaskName } from './lib/jobs/taskName.js'
