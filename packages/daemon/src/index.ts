/**
 * The daemon `vanillathreadd`.
 *
 * @packageDocumentation
 */
export { Daemon, type DaemonOptions } from './lib/Daemon.js'
export { DaemonPhase, DaemonState } from './lib/DaemonState.js'
export { DaemonExit, runDaemon } from './lib/main.js'
export { AnswerHeader, CallerHeader, EndpointHeader } from './lib/request/headers.js'
export type { Problem } from './lib/request/problem.js'
export type { ServiceStatus, StatusDocument } from './lib/operations/OperationsServer.js'
export type { SlotSourceFactory } from './lib/services.js'
export { claimOptions, configurationOptions, creditOptions, endpointOptions, membershipOptions, requestOptions, retryOptions } from './lib/options.js'
export { RequestStep } from './lib/request/RequestJournal.js'
export { FleetController, type FleetControllerOptions } from './lib/fleet/FleetController.js'
export { FleetWatch, type FleetWatchOptions } from './lib/fleet/FleetWatch.js'
export { fleetOptions } from './lib/options.js'
export { ConnectionGuard, type ConnectionGuardOptions, type ServerContext } from './lib/server/ConnectionGuard.js'
export { createHttpServer, type HttpServerOptions } from './lib/server/createHttpServer.js'
export { refuseOverdue, renderJsonRefusal, settleEarlyAnswer } from './lib/server/refusals.js'
export { runCall } from './lib/server/runCall.js'
// `platform` creates servers, and may not depend on `policy`.
export { ServerRole } from '@vanillathread/policy'
export { JobsDaemon, type JobsDaemonOptions, type JobsPlatform } from './lib/jobs/JobsDaemon.js'
export { HedgedRowStore, type HedgedRowStoreOptions, type StorePath, type StorePathChooser } from './lib/jobs/HedgedRowStore.js'
export { RelayedRowStore, type RelayedRowStoreOptions, type ReportedPeer } from './lib/jobs/RelayedRowStore.js'
export { StoreRelay, type StoreRelayOptions } from './lib/jobs/StoreRelay.js'
export type { JobsSettings } from './lib/jobs/JobsSettings.js'
export { encodeRow } from './lib/jobs/rows.js'
export type { ShardOwnershipOptions } from './lib/jobs/ShardOwnerContext.js'
export { ShardOwnership } from './lib/jobs/ShardOwnership.js'
export type { MessageHandler, PeerTransport, Reply } from './lib/peer/PeerTransport.js'
export { PeerMessageKind, type PeerMessage, type PeerMessageOf } from './lib/peer/messages.js'
export { shardOptions, taskOptions } from './lib/jobs/jobOptions.js'
