/**
 * Small stand-ins for outside systems, with injected faults, for tests, benches and the demo.
 *
 * @packageDocumentation
 */
export { EndpointFault, EndpointStandIn, type EndpointRun, type EndpointStandInOptions } from './lib/EndpointStandIn.js'
export { PlatformFault, PlatformFaults } from './lib/PlatformFaults.js'
export { FaultyPlatform, type Delay, type FaultyPlatformOptions } from './lib/FaultyPlatform.js'
export { RandomFaultPlatform, type FaultProbabilities, type RandomFaultOptions } from './lib/RandomFaultPlatform.js'
export { PlatformServer, type PlatformServerOptions } from './lib/PlatformServer.js'
export { StoreClientStandIn, StoreFault, StoreStandIn } from './lib/jobs/StoreStandIn.js'
export { RESTORE_DURATION_MS, VmFault, VmStandIn, type ObservedVm, type VmStandInRun, type TaskBehaviour, type VmObserver, type VmStandInOptions } from './lib/jobs/VmStandIn.js'
export { FleetFeedsStandIn, putOperatorConfiguration, putWaveRequest } from './lib/jobs/FleetFeedsStandIn.js'
export { FleetStandIn, type FleetStandInOptions, type MachineObserver } from './lib/jobs/FleetStandIn.js'
