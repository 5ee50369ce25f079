/**
 * Interfaces (ports) to the platform's services, with implementations in memory and over HTTP.
 *
 * @packageDocumentation
 */
export { getPlatformResultCode, PlatformErrorKind, type PlatformError } from './lib/PlatformError.js'
export type { TableChange, TableChanges, TableCondition, TableRow, TableService, TableTransaction, TableWrite } from './lib/TableService.js'
export type { ObjectStore } from './lib/ObjectStore.js'
export { FleetVmState, type FleetList, type FleetSnapshot, type FleetVm } from './lib/FleetList.js'
export { VmPowerState, type VmActions, type PlatformVmState } from './lib/VmActions.js'
export type { Platform } from './lib/Platform.js'
export { MemoryTable, type TableCounters } from './lib/memory/MemoryTable.js'
export { MemoryObjectStore } from './lib/memory/MemoryObjectStore.js'
export { MemoryFleet } from './lib/memory/MemoryFleet.js'
export { MemoryPlatform } from './lib/memory/MemoryPlatform.js'
export { HttpPlatform } from './lib/http/HttpPlatform.js'
export { fleetAnswerSchema, observationAnswerSchema, readAnswerSchema, changesAnswerSchema, transactAnswerSchema, transactionSchema } from './lib/http/wire.js'
export { loadDeclarations, type AcceptedConfiguration } from './lib/loadDeclarations.js'
export { applyDeclarations, readConfigurationHead, type ApplyError, type ApplyRequest } from './lib/applyDeclarations.js'
export { StoreFailureKind, type RowCommit, type RowCondition, type RowKey, type RowPage, type RowPut, type RowRange, type RowStore, type RowTransaction, type StoreClockReading, type StoredRow, type StoreFailure } from './lib/jobs/RowStore.js'
export { readRow } from './lib/jobs/readRow.js'
export { readTable } from './lib/jobs/readTable.js'
export { VmAnswerKind, type RenewCall, type RunReference, type StartCall, type VmAnswer, type VmClient, type VmClients } from './lib/jobs/VmClient.js'
export { MachineRefusal, MachineState, type AdmissionService, type Changes, type FleetFeeds, type Machine, type MachineAnswer, type MachineOrderer, type MachineService, type OperatorChange, type VmChange, type MaintenanceWave } from './lib/jobs/FleetService.js'
export { IngressAnswerKind, type ClientApi, type ClientLimits, type ClientRequest, type Ingress, type IngressAnswer } from './lib/jobs/Ingress.js'
