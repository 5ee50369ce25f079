/**
 * Jobs and the operator's rules for them. A client submits a job of steps; all tasks of a step have the same needs.
 */
import type { TeamRules } from '../teams/TeamRules.js'

/** Capacity of a VM or machine, or what a task needs of it. @public */
export interface Capacity {
  /** Thousandths of a processor core. */
  readonly cpuMillis: number
  /** Mebibytes of memory. */
  readonly memoryMb: number
  /** Number of accelerators. */
  readonly accelerators: number
}

/** One step of a job. Its fields hold for each of its tasks. @public */
export interface StepSpec {
  readonly taskCount: number
  /** Capacity that each task needs. */
  readonly need: Capacity
  /** The client's estimate of a task's duration, in milliseconds. */
  readonly estimateMs: number
  /** Indexes of earlier steps of the job; all their tasks must be done before a task of this step starts. */
  readonly after: readonly number[]
  /** True if a task writes checkpoints, from which a later run continues. */
  readonly checkpointing: boolean
  /** True if all tasks must run at the same time: they start together, and if one ends without being done, the others are stopped. */
  readonly gang: boolean
  /** True if all tasks of a gang must run in the same rack. */
  readonly sameRack: boolean
  /** Label that a VM must have to run a task. */
  readonly requiredLabel?: string
  /** Rack that holds the step's data; VMs in it are preferred. */
  readonly dataRack?: string
  /** Largest number of tasks of the step on one VM. */
  readonly maxTasksPerVm?: number
  /** True if a second run of a slow task may work beside the first. */
  readonly speculative: boolean
  /** True if the tasks don't end by themselves but run until the job is cancelled. */
  readonly longRunning: boolean
  /** Image as the client gave it; the daemon does not use it. */
  readonly image?: string
  /** Target for the tail latency of a latency-sensitive task, in milliseconds. */
  readonly targetMs?: number
  /** True if the tasks are best-effort: they use only the processor time that other tasks leave, at a controlled pace. */
  readonly fills: boolean
  /** For long-running tasks: the largest number that evacuations may make unavailable at the same time; 0 sets no limit. */
  readonly mayMiss: number
}

/** Values of the fields that a client may leave out. @public */
export const STEP_DEFAULTS = {
  after: [], checkpointing: false, gang: false, sameRack: false, speculative: false, longRunning: false, fills: false, mayMiss: 0,
} as const satisfies Partial<StepSpec>

/** A job as a client submits it. @public */
export interface JobSpec {
  /** Text that is passed to each task unread. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  /** Number of occurrences of a scheduled job, or 0 for a job that runs once, as soon as it is accepted. */
  readonly repeatCount: number
  /** Wall-clock time at which occurrence 0 of a scheduled job is due, in milliseconds since 1970. */
  readonly firstRunMs: number
  /** Time between two occurrences of a scheduled job, in milliseconds. */
  readonly intervalMs: number
}

/** The rules of a queue in one configuration version. @public */
export interface QueueRules {
  readonly name: string
  /** Host to which clients send requests for the queue. */
  readonly host: string
  /** Prefix of the path; the id of a job follows it. The longest prefix that matches decides. */
  readonly pathPrefix: string
  /** Pool whose VMs run the tasks. */
  readonly pool: string
  /** Timeout of the queue in milliseconds, as configured; the daemon does not use it. */
  readonly timeoutMs: number
  /** Constant part of a job's objective, in milliseconds; see `deadlineFactor`. */
  readonly targetLatencyMs: number
  /** Order among jobs of equal urgency: the lowest number comes first. */
  readonly priority: number
  /** Number of failed runs of a finite task after which its job fails. */
  readonly maxAttempts: number
  /** A job should end within this multiple of its expected duration plus `targetLatencyMs`, counted from its acceptance. */
  readonly deadlineFactor: number
  /** Present if a task may only start on a VM for which the admission service granted a ticket. */
  readonly advice?: AdmissionServiceRules
  /** True if calls on the queue need no API key. Always true on a deployment without teams. */
  readonly isPublic: boolean
}

/** Times of the admission service, which grants tickets per step and VM. @public */
export interface AdmissionServiceRules {
  /** Time that a decision takes, in milliseconds; the daemon does not use it. */
  readonly decideMs: number
  /** Time that a decision takes for each VM, in milliseconds; the daemon does not use it. */
  readonly perVmMs: number
  /** Time for which a ticket is valid if the service does not say, in milliseconds. */
  readonly validMs: number
}

/** A pool as the operator configured it. @public */
export interface PoolRules {
  readonly name: string
  /** True if the machines of the pool are off and cost nothing until they are moved to another pool. */
  readonly standby: boolean
  /** True if the VMs of the pool refuse a task for which they lack free capacity. */
  readonly checksAdmission: boolean
}

/** One version of the operator's configuration. @public */
export interface OperatorConfiguration {
  /** Number that the operator gave the version. */
  readonly version: number
  readonly queues: readonly QueueRules[]
  readonly pools: readonly PoolRules[]
  /** Teams that share the queues; empty on a deployment without teams. */
  readonly teams: readonly TeamRules[]
  /** Largest body of a client's request, in bytes. */
  readonly maxBodyBytes: number
  /** Largest head of a client's request, in bytes; undefined if the operator sets none. */
  readonly maxHeaderBytes?: number
  /** Time that a client has for the head of a request, in milliseconds; undefined if the operator sets none. */
  readonly headerTimeoutMs?: number
  /** Time for which a client's connection may stay silent, in milliseconds; undefined if the operator sets none. */
  readonly idleTimeoutMs?: number
}

/** An accepted job with those rules of its queue that held when it was accepted. Stored as it is. @public */
export interface AcceptedJob {
  /** 16 hexadecimal digits chosen by the client. */
  readonly id: string
  readonly queue: string
  readonly pool: string
  /** Name of the team whose key submitted the job; absent if the queue is public. */
  readonly team?: string
  readonly spec: JobSpec
  readonly priority: number
  readonly maxAttempts: number
  readonly deadlineFactor: number
  readonly targetLatencyMs: number
  readonly advice?: AdmissionServiceRules
  /** Estimate of the store's steady clock at acceptance, in milliseconds. */
  readonly acceptedAtMs: number
  /** Version of the configuration that the rules came from. */
  readonly configurationVersion: number
}

/** State of a job, as stored and as sent to clients. @public */
export enum JobState {
  /** No task of the job has begun. */
  Queued = 'queued',
  /** A task of the job has begun. */
  Running = 'running',
  /** Every task is done. */
  Complete = 'complete',
  /** A finite task failed `maxAttempts` times. */
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Returns true if a job in this state never changes its state again. @public */
export function isFinalState (state: JobState): boolean {
  return state === JobState.Complete || state === JobState.Failed || state === JobState.Cancelled
}
