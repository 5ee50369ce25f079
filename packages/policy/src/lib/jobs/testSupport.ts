/**
 * Builders and helpers for tests of the scheduler.
 */
import { STEP_DEFAULTS, type AcceptedJob, type JobSpec, type StepSpec, type VmEntry } from '@vanillathread/model'
import type { OwnershipProof } from '../ownership/OwnershipProof.js'
import type { NearPlaceRules } from '../placement/NearPlaces.js'
import { JobScheduler } from './JobScheduler.js'
import { OrderKind, StartOutcome, type Order } from './orders.js'
import { RunPhase } from './TrackedRun.js'

const LEASE_MS = 5_000

/** Longest time that a stop takes. */
export const STOP_MS = 900

/** Creates a step of four small tasks without special requirements, except for the given fields. */
export function createTestStep (step: Partial<StepSpec> = {}): StepSpec {
  return {
    ...STEP_DEFAULTS,
    taskCount: 4,
    need: { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 },
    estimateMs: 500,
    ...step,
  }
}

/** Creates an accepted job with one such step, except for the given fields. */
export function createTestJob (spec: Partial<JobSpec> & { id?: string, acceptedAtMs?: number }): AcceptedJob {
  const { id, acceptedAtMs, ...rest } = spec
  return {
    id: id ?? '00000000000000aa',
    queue: 'queue',
    pool: 'pool',
    spec: { payload: '', steps: [createTestStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0, ...rest },
    priority: 0,
    maxAttempts: 2,
    deadlineFactor: 1.6,
    targetLatencyMs: 600,
    acceptedAtMs: acceptedAtMs ?? 0,
    configurationVersion: 1,
  }
}

export function createVmEntry (id: string, entry: Partial<VmEntry> = {}): VmEntry {
  return {
    id,
    machine: `m-${id}`,
    pool: 'pool',
    address: { host: 'h', port: 1 },
    zone: 'z',
    labels: ['k', 'r'],
    draining: false,
    bornMs: 1,
    capacity: { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 },
    ...entry,
  }
}

export function createScheduler (options: { generation?: number, nearPlaces?: NearPlaceRules, proof?: OwnershipProof } = {}): JobScheduler {
  return JobScheduler.create({
    generation: options.generation ?? 0, fencingToken: 1, leaseMs: LEASE_MS, stopMs: STOP_MS, previousOwnerRenewalMs: 0, startedAtMs: 0, logDecision: () => {}, nearPlaces: options.nearPlaces, proof: options.proof,
  })
}

/** Registers a VM and has it report all its runs at full pace. */
export function reportRunning (scheduler: JobScheduler, entry: VmEntry, nowMs: number): void {
  scheduler.applyRegistration(entry, nowMs)
  const vm = scheduler.state.vms.get(entry.id)
  if (vm === undefined) return
  vm.recorded = true
  const running = [...vm.runs.values()].map((run) => ({ task: run.name, run: run.number, checkpoint: '', percent: 100 }))
  scheduler.applyReport(vm, { clockMs: nowMs, bornMs: entry.bornMs, running, ends: [] }, nowMs, nowMs)
  vm.extendLease(nowMs, LEASE_MS)
}

/** Plans once, and accepts every start. */
export function planAndAccept (scheduler: JobScheduler, nowMs: number): Order[] {
  const orders = scheduler.plan({ nowMs, storeNowMs: nowMs, wallClockMs: nowMs }, () => undefined)
  for (const order of orders) {
    if (order.kind === OrderKind.Start && order.run.phase === RunPhase.Ordered) scheduler.applyStart(order.run, StartOutcome.Accepted, nowMs)
  }
  return orders
}
