/**
 * Ports to the platform's services and their adapters.
 *
 * @packageDocumentation
 */
export { getPlatformResultCode, PlatformErrorKind, type PlatformError } from './lib/PlatformError.js'
export type { TableChange, TableChanges, TableCondition, TableRow, TableService, TableTransaction, TableWrite } from './lib/TableService.js'
export type { ObjectStore } from './lib/ObjectStore.js'
export { FleetVmState, type FleetList, type FleetSnapshot, type FleetVm } from './lib/FleetList.js'
export { VmPowerState, type VmActions, type VmObservation } from './lib/VmActions.js'
export type { Platform } from './lib/Platform.js'
export { MemoryTable, type TableCounters } from './lib/memory/MemoryTable.js'
export { MemoryObjectStore } from './lib/memory/MemoryObjectStore.js'
export { MemoryFleet } from './lib/memory/MemoryFleet.js'
export { MemoryPlatform } from './lib/memory/MemoryPlatform.js'
export { HttpPlatform } from './lib/http/HttpPlatform.js'
export { fleetAnswerSchema, observationAnswerSchema, readAnswerSchema, changesAnswerSchema, transactAnswerSchema, transactionSchema } from './lib/http/wire.js'
export { loadDeclarations, type AcceptedConfiguration } from './lib/loadDeclarations.js'
export { applyDeclarations, readConfigurationHead, type ApplyError, type ApplyRequest } from './lib/applyDeclarations.js'
