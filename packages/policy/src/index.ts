/**
 * Decision logic as deterministic functions and small state classes. Time, random numbers and
 * observations are passed as arguments; the decisions are returned as data.
 *
 * @packageDocumentation
 */
export { RandomSource } from './lib/random/RandomSource.js'
export { rankSuccessors, shouldHandOver, type OwnerCandidate } from './lib/membership/rankSuccessors.js'
export { getRendezvousOwner, rankByRendezvous } from './lib/routing/rendezvous.js'
export { shareByDemand, type SlotDemand } from './lib/routing/shareByDemand.js'
export type { CreditGrant, CreditReport, LendableEndpoint, SlotCounts } from './lib/routing/credits.js'
export { CreditLedger, type CreditLedgerOptions } from './lib/routing/CreditLedger.js'
export type { LendingMember } from './lib/routing/LendableSlots.js'
export { CreditHolder, type CreditHolderOptions } from './lib/routing/CreditHolder.js'
export type { SlotSource } from './lib/routing/SlotSource.js'
export { pickEndpoint, type EndpointCandidate, type PickEndpointOptions } from './lib/routing/pickEndpoint.js'
export { ServiceQueue, type OfferResult, type QueuedItem } from './lib/admission/ServiceQueue.js'
export { ArrivalRates } from './lib/admission/ArrivalRates.js'
export { ServiceTimeEstimate, type Backlog } from './lib/admission/ServiceTimeEstimate.js'
export { decideAdmission, clampRetryDelayMs, type AdmissionDecision, type AdmissionState } from './lib/admission/decideAdmission.js'
export { decideWriteStart } from './lib/admission/decideWriteStart.js'
export { AttemptOutcomeKind, UnknownReason, type AttemptOutcome } from './lib/retry/AttemptOutcome.js'
export { RetryBudget, type RetryBudgetOptions } from './lib/retry/RetryBudget.js'
export { decideRetry, isServerError, RetryAction, type RetryDecision, type RetryState } from './lib/retry/decideRetry.js'
export { EndpointHealth, HealthChange, HealthState, type EndpointHealthOptions } from './lib/health/EndpointHealth.js'
export { VersionGate } from './lib/configuration/VersionGate.js'
export { MemberPhase, MembershipView, MemberState, type HeartbeatContent, type Member, type MemberCounter, type MemberRecord, type MembershipChange, type MembershipOptions } from './lib/membership/MembershipView.js'
export {
  budgetRecordSchema, createBudgetRecord, createLeaseRecord, createVmRecord, FLEET_PREFIX, fleetKeys, leaseRecordSchema, loanRecordSchema, OutReason, vmRecordSchema, VmState,
  type BudgetRecord, type LeaseRecord, type LoanRecord, type RowChange, type Stored, type VmRecord,
} from './lib/fleet/records.js'
export { canStartMaintenance } from './lib/fleet/canStartMaintenance.js'
export { HaltReason, decideWave, type WaveDecision } from './lib/fleet/decideWave.js'
export { EMPTY_BUDGET, FleetStepKind, countAvailable, planPool, type DeclaredVm, type FleetStep, type PoolView, type VmObservation } from './lib/fleet/planPool.js'
export { buildStepChanges, type StepContext } from './lib/fleet/buildStepChanges.js'
export { CapacityPolicy, type CapacityPolicyOptions, type CapacityWeights, type LendableVm, type LoanDecision, type PoolDemand } from './lib/fleet/CapacityPolicy.js'
export type { RosterClocks, RosterRecord, RosterWrite } from './lib/vms/rosterRecords.js'
export { TrackedVm } from './lib/vms/TrackedVm.js'
export { JobScheduler, type JobSchedulerOptions, type ClockReadings } from './lib/jobs/JobScheduler.js'
export type { JobProgress, OccurrenceProgress } from './lib/jobs/JobProgress.js'
export { OrderKind, StartOutcome, type Order } from './lib/jobs/orders.js'
export { SchedulerState, type DecisionFields, type DecisionLogger } from './lib/jobs/SchedulerState.js'
export { TrackedJob, TrackedStep, TrackedTask, type TrackedOccurrence } from './lib/jobs/TrackedJob.js'
export { RunPhase, StopReason, TrackedRun } from './lib/jobs/TrackedRun.js'
export { canInterruptTask, evacuateVm } from './lib/jobs/evacuateVm.js'
export { PaceController } from './lib/jobs/PaceController.js'
export { CapacityPlanner, type CapacityPlannerOptions, type PlannedMachine, type PlannedMove, type PlannedPool } from './lib/machines/CapacityPlanner.js'
export { planWave, WaveMachineState, type WaveMachine, type WaveView } from './lib/machines/planWave.js'
export { ArrivalMeter, type PoolCapacityDemand } from './lib/machines/PoolCapacityDemand.js'
